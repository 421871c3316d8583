"""Records of non-idempotent requests, with a manual clock and a table in memory."""

import asyncio
import unittest

from fireflyward.backing import Row, Uncertain
from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown, Usage
from fireflyward.runs import (
    EarlierAnswer,
    EarlierRun,
    Permit,
    RequestRecord,
    RunRecords,
)
from fireflyward.runs._periods import PERIOD_KEY
from fireflyward.standins import MemoryTable


class LateTable(MemoryTable):
    """Loses the responses of commits, which take effect only in ``apply_late``."""

    def __init__(self):
        super().__init__()
        self.pending_late = 0
        self.late_commits = []

    async def commit(self, *, expected, puts, deletes=()):
        if self.pending_late:
            self.pending_late -= 1
            self.late_commits.append((dict(expected), dict(puts)))
            return Uncertain("response lost")
        return await super().commit(expected=expected, puts=puts, deletes=deletes)

    async def apply_late(self):
        late_commits, self.late_commits = self.late_commits, []
        for expected, puts in late_commits:
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
        return RequestRecord(
            self.nodes[node],
            account=account,
            request_key=key,
            owner=owner,
            fingerprint=body,
        )

    async def await_within(self, work, duration_ms=200):
        task = asyncio.ensure_future(work)
        await self.clock.advance_ms(duration_ms)
        for _ in range(200):
            await asyncio.sleep(0)
        self.assertTrue(task.done())
        return task.result()

    async def test_only_one_of_two_claims_is_permitted(self):
        first, second = self.record(0), self.record(1)
        results = await self.await_within(
            asyncio.gather(first.claim("r"), second.claim("s"))
        )
        self.assertEqual(sum(isinstance(item, Permit) for item in results), 1)

    async def test_duplicate_gets_the_replica_of_the_run_and_later_its_answer(self):
        first = self.record(0)
        await self.await_within(first.claim("engine-1"))
        self.assertEqual(
            await self.await_within(self.record(1).claim("engine-2")),
            EarlierRun("engine-1"),
        )
        usage = Usage(3, 4, 1)
        await self.await_within(first.settle(Answered(usage), "text"), 700)
        result = await self.await_within(self.record(1).claim("engine-2"))
        self.assertEqual(result, EarlierAnswer("text", usage))

    async def test_duplicate_of_a_request_with_a_long_answer_is_already_run(self):
        first = self.record(0)
        await self.await_within(first.claim("engine-1"))
        await self.await_within(first.settle(Answered(), "x" * 20_000), 700)
        result = await self.await_within(self.record(1).claim("engine-2"))
        self.assertEqual((type(result), result.reason), (Unknown, Reason.ALREADY_RUN))

    async def test_same_key_with_another_body_is_rejected(self):
        await self.await_within(self.record(0).claim("r"))
        result = await self.await_within(self.record(1, body="other").claim("r"))
        self.assertEqual((type(result), result.reason), (NotRun, Reason.KEY_REUSED))

    async def test_same_key_of_another_account_is_another_request(self):
        await self.await_within(self.record(0).claim("r"))
        result = await self.await_within(self.record(1, account="b").claim("r"))
        self.assertIsInstance(result, Permit)

    async def test_key_of_a_request_that_was_not_run_can_be_claimed_again(self):
        """Guards against "unknown" for a day after an outcome "not run".

        The record is written, and then no replica can execute the run. If the record
        stayed as if the run had been dispatched, each retry would end as unknown.
        """
        first = self.record(0)
        await self.await_within(first.claim("r"))
        await first.settle(NotRun(Reason.NO_UPSTREAM), "")
        await self.clock.advance_ms(200)
        self.assertIsInstance(
            await self.await_within(self.record(1).claim("r")), Permit
        )

    async def test_key_stays_claimed_after_an_unknown_outcome(self):
        first = self.record(0)
        await self.await_within(first.claim(""))
        await self.await_within(first.settle(Unknown(Reason.UPSTREAM_FAILED), ""))
        result = await self.await_within(self.record(1).claim(""))
        self.assertEqual(result.reason, Reason.DUPLICATE_RUNNING)
        self.assertIsInstance(result, Unknown)

    async def test_lost_response_of_a_successful_commit_gives_a_permit(self):
        self.table.lose_answers = 1
        self.assertIsInstance(
            await self.await_within(self.record(0).claim("r")), Permit
        )

    async def test_late_commit_has_no_effect_after_its_repetition(self):
        self.table.pending_late = 1
        first = self.record(0)
        self.assertIsInstance(await self.await_within(first.claim("r")), Permit)
        writes = self.table.writes
        await self.table.apply_late()
        self.assertEqual(self.table.writes, writes)

    async def test_record_written_after_the_rejection_is_released(self):
        """Guards against "unknown" for the retries of a request that was not run.

        The commit's response is lost, and the table stays unavailable until the node
        rejects the request; then the commit takes effect. Even if the node has read
        that no record exists, it must consider that the write may still be in flight.
        """
        self.table.pending_late = 1_000
        result = await self.await_within(self.record(0).claim("r"), 5_000)
        self.assertEqual((type(result), result.reason), (NotRun, Reason.PLATFORM_AWAY))
        self.table.pending_late = 0
        await self.table.apply_late()
        self.assertEqual(
            await self.await_within(self.record(1).claim("r"), 100), EarlierRun("r")
        )
        await self.clock.advance_ms(70_000)
        self.assertIsInstance(
            await self.await_within(self.record(1).claim("r")), Permit
        )

    async def test_request_is_rejected_immediately_if_the_table_is_unavailable(self):
        self.table.unavailable = True
        result = await self.await_within(self.record(0).claim("r"), 1)
        self.assertEqual((type(result), result.reason), (NotRun, Reason.PLATFORM_AWAY))

    async def test_duplicate_is_unknown_if_its_record_cannot_be_read(self):
        """Guards against "not run" for a retry while the first request runs.

        The retry's claim conflicts with the first request's row, and the table becomes
        unavailable before that row is read. A failed read must not count as a missing
        row.
        """
        await self.await_within(self.record(0).claim("r"))

        async def get(key):
            self.table.unavailable = True
            return await MemoryTable.get(self.table, key)

        self.table.get = get
        result = await self.await_within(self.record(1).claim("r"))
        self.assertIsInstance(result, Unknown)

    async def test_many_claims_need_few_commits(self):
        records = [self.record(0, key=f"k{number}") for number in range(300)]
        work = asyncio.gather(*(record.claim("r") for record in records))
        results = await self.await_within(work, 2_000)
        self.assertTrue(all(isinstance(item, Permit) for item in results))
        self.assertLessEqual(self.table.writes, 3)

    async def test_lost_response_of_a_batch_causes_no_reads_of_its_records(self):
        self.table.lose_answers = 1
        records = [self.record(0, key=f"k{number}") for number in range(100)]
        work = asyncio.gather(*(record.claim("r") for record in records))
        results = await self.await_within(work, 500)
        self.assertTrue(all(isinstance(item, Permit) for item in results))
        self.assertEqual(self.table.reads, 0)

    async def test_version_mismatch_of_one_row_does_not_delay_its_batch(self):
        await self.await_within(self.record(1, key="taken").claim("r"))
        work = asyncio.gather(
            *(self.record(0, key=key).claim("r") for key in ("x", "taken", "y"))
        )
        results = await self.await_within(work)
        self.assertIsInstance(results[0], Permit)
        self.assertIsInstance(results[1], EarlierRun)
        self.assertIsInstance(results[2], Permit)

    async def test_silent_table_leads_to_a_rejection_in_bounded_time(self):
        async def commit(**_):
            await asyncio.get_running_loop().create_future()

        self.table.commit = commit
        result = await self.await_within(self.record(0).claim("r"), 6_500)
        self.assertIsInstance(result, NotRun)

    async def test_a_write_that_raises_leaves_no_request_waiting(self):
        """Guards against requests that wait for ever for a task that has failed."""

        async def commit(**_):
            raise KeyError("row")

        working_commit, self.table.commit = self.table.commit, commit
        with self.assertLogs("fireflyward.runs", "ERROR"):
            result = await self.await_within(self.record(0).claim("r"))
        self.assertIsInstance(result, NotRun)
        self.table.commit = working_commit
        result = await self.await_within(self.record(0, key="other").claim("r"))
        self.assertIsInstance(result, Permit)

    async def test_an_odd_period_of_another_writer_leaves_no_request_waiting(self):
        """Guards against a row that all nodes read and at which all requests hang."""
        for value in (b'"seven"', b"[" * 100_000, b""):
            self.table.row_by_key[PERIOD_KEY] = Row(PERIOD_KEY, value, 1)
            with (
                self.subTest(value[:8]),
                self.assertLogs("fireflyward.runs", "ERROR"),
            ):
                result = await self.await_within(self.record(0).claim("r"))
                self.assertIsInstance(result, NotRun)

    async def test_validity_of_a_permit_starts_before_the_write(self):
        """Guards against running a request twice, a long time apart.

        The request's node is paused while the table responds, and resumes after the
        record was deleted. The permit's validity must start when the node sends the
        write and not when it reads the response.
        """
        commit = self.table.commit

        async def slow_commit(**options):
            result = await commit(**options)
            await self.clock.sleep_ms(1_000)
            return result

        self.table.commit = slow_commit
        started_ms = self.clock.now_ms()
        permit = await self.await_within(self.record(0).claim("r"), 1_500)
        self.assertEqual(permit.valid_until_ms, started_ms + 10_000)
