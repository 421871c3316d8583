"""Records of non-idempotent requests on a faked clock and table."""

import asyncio
import unittest

from fireflyward.backing import Uncertain
from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown, Usage
from fireflyward.runs import EarlierAnswer, EarlierRun, Permit, RecordOfRun, RunRecords
from fireflyward.standins import MemoryTable


class LateTable(MemoryTable):
    """Commits whose answer is lost and that take effect only at ``land``."""

    def __init__(self):
        super().__init__()
        self.late = 0
        self.waiting = []

    async def commit(self, *, expected, puts, deletes=()):
        if self.late:
            self.late -= 1
            self.waiting.append((dict(expected), dict(puts)))
            return Uncertain("lost on the way")
        return await super().commit(expected=expected, puts=puts, deletes=deletes)

    async def land(self):
        waiting, self.waiting = self.waiting, []
        for expected, puts in waiting:
            await super().commit(expected=expected, puts=puts)


class RecordTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = LateTable()
        self.nodes = [self.node(name) for name in ("entry-1", "entry-2")]

    def node(self, name):
        return RunRecords(self.table, self.clock, node_name=name)

    def record(self, node=0, *, key="k", body="f", account="a", owner=""):
        owner = owner or f"owner-{node}-{id(object())}"
        return RecordOfRun(
            self.nodes[node],
            account=account,
            request_key=key,
            owner=owner,
            fingerprint=body,
        )

    async def soon(self, work, duration_ms=200):
        task = asyncio.ensure_future(work)
        await self.clock.advance_ms(duration_ms)
        for _ in range(200):
            await asyncio.sleep(0)
        self.assertTrue(task.done())
        return task.result()

    async def test_of_two_claims_one_is_permitted(self):
        first, second = self.record(0), self.record(1)
        results = await self.soon(asyncio.gather(first.claim("r"), second.claim("s")))
        self.assertEqual(sum(isinstance(item, Permit) for item in results), 1)

    async def test_duplicate_is_led_to_the_run_and_later_given_its_answer(self):
        first = self.record(0)
        await self.soon(first.claim("engine-1"))
        self.assertEqual(
            await self.soon(self.record(1).claim("engine-2")), EarlierRun("engine-1")
        )
        usage = Usage(3, 4, 1)
        await self.soon(first.settle(Answered(usage), "text"), 700)
        result = await self.soon(self.record(1).claim("engine-2"))
        self.assertEqual(result, EarlierAnswer("text", usage))

    async def test_answer_that_is_too_long_is_known_to_have_been_given(self):
        first = self.record(0)
        await self.soon(first.claim("engine-1"))
        await self.soon(first.settle(Answered(), "x" * 20_000), 700)
        result = await self.soon(self.record(1).claim("engine-2"))
        self.assertEqual((type(result), result.reason), (Unknown, Reason.ALREADY_RUN))

    async def test_same_key_with_another_body_is_refused(self):
        await self.soon(self.record(0).claim("r"))
        result = await self.soon(self.record(1, body="other").claim("r"))
        self.assertEqual((type(result), result.reason), (NotRun, Reason.KEY_REUSED))

    async def test_same_key_of_another_account_is_another_request(self):
        await self.soon(self.record(0).claim("r"))
        result = await self.soon(self.record(1, account="b").claim("r"))
        self.assertIsInstance(result, Permit)

    async def test_key_is_free_again_after_a_run_that_was_not(self):
        """Symptom: a caller is told "not run", asks again and is told "unknown" for
        a day. Sequence: its record was written, then no replica took the run.
        Cause: the record stayed as if the run had been dispatched."""
        first = self.record(0)
        await self.soon(first.claim("r"))
        await first.settle(NotRun(Reason.NO_UPSTREAM), "")
        await self.clock.advance_ms(200)
        self.assertIsInstance(await self.soon(self.record(1).claim("r")), Permit)

    async def test_unknown_end_keeps_the_key_taken(self):
        first = self.record(0)
        await self.soon(first.claim(""))
        await self.soon(first.settle(Unknown(Reason.UPSTREAM_FAILED), ""))
        result = await self.soon(self.record(1).claim(""))
        self.assertEqual(result.reason, Reason.DUPLICATE_RUNNING)
        self.assertIsInstance(result, Unknown)

    async def test_lost_answer_of_a_commit_that_landed_is_a_permit(self):
        self.table.lose_answers = 1
        self.assertIsInstance(await self.soon(self.record(0).claim("r")), Permit)

    async def test_commit_that_lands_late_cannot_land_beside_its_second_try(self):
        self.table.late = 1
        first = self.record(0)
        self.assertIsInstance(await self.soon(first.claim("r")), Permit)
        writes = self.table.writes
        await self.table.land()
        self.assertEqual(self.table.writes, writes)

    async def test_record_that_lands_after_its_refusal_is_taken_back(self):
        """Symptom: a request that was refused as not run stays unknown to its own
        retries. Sequence: the commit's answer is lost, the table stays away until
        the node gives up, then the commit takes effect. Cause: the node read "no
        record" and forgot that the write was still on its way."""
        self.table.late = 1_000
        result = await self.soon(self.record(0).claim("r"), 5_000)
        self.assertEqual((type(result), result.reason), (NotRun, Reason.PLATFORM_AWAY))
        self.table.late = 0
        await self.table.land()
        self.assertEqual(
            await self.soon(self.record(1).claim("r"), 100), EarlierRun("r")
        )
        await self.clock.advance_ms(70_000)
        self.assertIsInstance(await self.soon(self.record(1).claim("r")), Permit)

    async def test_table_away_is_not_run_at_once(self):
        self.table.unavailable = True
        result = await self.soon(self.record(0).claim("r"), 1)
        self.assertEqual((type(result), result.reason), (NotRun, Reason.PLATFORM_AWAY))

    async def test_table_away_while_a_duplicate_is_looked_up_is_unknown(self):
        """Symptom: a retry is told "not run" while the first request runs.
        Sequence: the retry's claim meets the first one's row, then the table goes
        away before that row is read. Cause: a failed read counted as no row."""
        await self.soon(self.record(0).claim("r"))

        async def get(key):
            self.table.unavailable = True
            return await MemoryTable.get(self.table, key)

        self.table.get = get
        result = await self.soon(self.record(1).claim("r"))
        self.assertIsInstance(result, Unknown)

    async def test_many_claims_take_few_commits(self):
        records = [self.record(0, key=f"k{number}") for number in range(300)]
        work = asyncio.gather(*(record.claim("r") for record in records))
        results = await self.soon(work, 2_000)
        self.assertTrue(all(isinstance(item, Permit) for item in results))
        self.assertLessEqual(self.table.writes, 3)

    async def test_lost_answer_of_a_batch_costs_no_read_of_each_record(self):
        self.table.lose_answers = 1
        records = [self.record(0, key=f"k{number}") for number in range(100)]
        work = asyncio.gather(*(record.claim("r") for record in records))
        results = await self.soon(work, 500)
        self.assertTrue(all(isinstance(item, Permit) for item in results))
        self.assertEqual(self.table.reads, 0)

    async def test_one_moved_row_does_not_hold_up_the_others_of_its_batch(self):
        await self.soon(self.record(1, key="taken").claim("r"))
        work = asyncio.gather(
            *(self.record(0, key=key).claim("r") for key in ("x", "taken", "y"))
        )
        results = await self.soon(work)
        self.assertIsInstance(results[0], Permit)
        self.assertIsInstance(results[1], EarlierRun)
        self.assertIsInstance(results[2], Permit)

    async def test_silent_table_is_given_up_in_bounded_time(self):
        async def commit(**_):
            await asyncio.get_running_loop().create_future()

        self.table.commit = commit
        result = await self.soon(self.record(0).claim("r"), 6_500)
        self.assertIsInstance(result, NotRun)

    async def test_permit_counts_from_before_the_write(self):
        """Symptom: a request runs twice, a long time apart. Sequence: its node is
        paused while the table answers, and wakes when the record is gone. Cause:
        the permit's time began when the answer was read, not when it was asked."""
        commit = self.table.commit

        async def slow_commit(**options):
            result = await commit(**options)
            await self.clock.sleep_ms(1_000)
            return result

        self.table.commit = slow_commit
        began_ms = self.clock.now_ms()
        permit = await self.soon(self.record(0).claim("r"), 1_500)
        self.assertEqual(permit.valid_until_ms, began_ms + 10_000)
