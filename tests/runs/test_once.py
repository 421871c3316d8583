"""Non-idempotent runs and calls, whole, on a faked clock."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.runs import (
    Deliver,
    End,
    OnceStep,
    RecordOfRun,
    RunRecords,
    RunTask,
    ServiceTask,
)
from fireflyward.standins import (
    EngineCosts,
    EngineModel,
    MemoryEngine,
    MemoryTable,
    answer_text,
)
from fireflyward.upstreams import (
    Broken,
    EngineCall,
    Refused,
    ServiceCall,
    ServiceReply,
)

TOKENS = 8
WANTED = answer_text("m", "v1", "", "verdict?", TOKENS)
REPLY = ServiceReply(200, b"recorded", "text/plain")


class MemoryService:
    """Replies, in turn, as its list says; ``None`` is silence."""

    def __init__(self, clock, replies=(), late_ms=0):
        self.clock = clock
        self.replies = list(replies)
        self.late_ms = late_ms
        self.calls = []

    async def call(self, call):
        self.calls.append(call)
        await self.clock.sleep_ms(self.late_ms)
        reply = self.replies.pop(0) if self.replies else REPLY
        if reply is None:
            await asyncio.get_running_loop().create_future()
        return reply


class OnceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.arrivals = 0
        self.node = self.records("entry-1")
        costs = EngineCosts(prefill_ms_per_token=1.0, decode_ms_per_token=10.0)
        self.engine_by_name = {
            name: MemoryEngine(EngineModel({"m": "v1"}, costs), self.clock)
            for name in ("a", "b")
        }

    def records(self, name):
        return RunRecords(self.table, self.clock, node_name=name)

    def record(self, node=None):
        self.arrivals += 1
        return RecordOfRun(
            node or self.node,
            account="acc",
            request_key="k",
            owner=f"arrival-{self.arrivals}",
            fingerprint="f",
        )

    def started(self):
        engines = self.engine_by_name.values()
        return sum(len(engine.started_run_ids) for engine in engines)

    async def soon(self, work, duration_ms):
        task = asyncio.ensure_future(work)
        for _ in range(10):
            await self.clock.advance_ms(duration_ms / 10)
        self.assertTrue(task.done())
        return task.result()


class OnceRunTests(OnceTests):
    def make(self, node=None, replicas="ab", **options):
        router = Router("d", seed=1)
        router.set_replicas([Candidate(x, "d", ("m",), {"m": "v1"}) for x in replicas])
        return RunTask(
            clock=self.clock,
            router=router,
            engine_by_name=self.engine_by_name,
            call=EngineCall("r1", "m", "v1", "verdict?", TOKENS),
            shape=RunShape("acc", "m", "v1", 2),
            deadline_ms=self.clock.now_ms() + 60_000,
            once=self.record(node),
            **options,
        )

    async def collect(self, task):
        texts = []
        async for result in task.results():
            if isinstance(result, Deliver):
                texts.append(result.text)
            elif isinstance(result, End):
                return "".join(texts), result.outcome

    async def test_duplicate_during_the_run_and_after_it_gets_the_same_answer(self):
        first = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        other = self.records("entry-2")
        second = asyncio.ensure_future(self.collect(self.make(other)))
        await self.clock.advance_ms(500)
        third = await self.soon(self.collect(self.make(other)), 500)
        for text, outcome in (first.result(), second.result(), third):
            self.assertEqual(text, WANTED)
            self.assertIsInstance(outcome, Answered)
        self.assertEqual(self.started(), 1)

    async def test_run_whose_node_died_is_found_by_the_next(self):
        """Symptom: a verdict is lost though the replica computed it. Sequence: the
        entry VM dies in mid-stream, its caller asks another with the same key.
        Cause: the other node knew of the run and not where it was."""
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        task.cancel()
        text, outcome = await self.soon(
            self.collect(self.make(self.records("entry-2"))), 500
        )
        self.assertEqual((text, type(outcome)), (WANTED, Answered))
        self.assertEqual(self.started(), 1)

    async def test_lost_replica_is_unknown_and_stays_so_for_duplicates(self):
        self.engine_by_name["a"].faults.lost_answers = 1
        task = asyncio.ensure_future(self.collect(self.make(replicas="a")))
        await self.clock.advance_ms(100)
        self.engine_by_name["a"].faults.unreachable = True
        await self.clock.advance_ms(5_000)
        self.assertIsInstance(task.result()[1], Unknown)
        _, outcome = await self.soon(self.collect(self.make(replicas="b")), 2_000)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.started(), 1)

    async def test_holder_that_was_paused_past_its_permit_does_not_dispatch(self):
        """Symptom: a verdict is computed a second time, hours later. Sequence: a
        node claims the record and is paused before it dispatches; it wakes when
        its caller has long gone elsewhere. Cause: it believed its claim for ever."""

        def pause(step):
            if step is OnceStep.CLAIMED:
                self.clock._now_ms += 15_000

        task = self.make(observe=pause)
        _, outcome = await self.soon(self.collect(task), 500)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.started(), 0)

    async def test_caller_that_goes_during_the_claim_frees_the_key(self):
        commit = self.table.commit

        async def slow_commit(**options):
            await self.clock.sleep_ms(100)
            return await commit(**options)

        self.table.commit = slow_commit
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        task.cancel()
        await self.clock.advance_ms(1_000)
        self.assertEqual(self.started(), 0)
        text, _ = await self.soon(self.collect(self.make()), 1_000)
        self.assertEqual(text, WANTED)

    async def test_caller_that_goes_later_leaves_the_run_to_be_known(self):
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        task.cancel()
        await self.clock.advance_ms(1_000)
        cancelled = [
            item for x in "ab" for item in self.engine_by_name[x].cancelled_run_ids
        ]
        self.assertEqual(cancelled, [])
        for engine in self.engine_by_name.values():
            engine.faults.unreachable = True
        text, _ = await self.soon(self.collect(self.make()), 500)
        self.assertEqual(text, WANTED)

    async def test_table_away_is_not_run(self):
        self.table.away = True
        _, outcome = await self.soon(self.collect(self.make()), 200)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.reason, Reason.PLATFORM_AWAY)
        self.assertEqual(self.started(), 0)


class ServiceTests(OnceTests):
    def setUp(self):
        super().setUp()
        self.s1 = MemoryService(self.clock)
        self.s2 = MemoryService(self.clock)

    def make(self, *, once=False, replicas=("s1", "s2"), **options):
        return ServiceTask(
            clock=self.clock,
            service_by_name={"s1": self.s1, "s2": self.s2},
            replicas=replicas,
            call=ServiceCall("POST", "/revisions/7", b"r7", run_id="r1"),
            deadline_ms=self.clock.now_ms() + 30_000,
            record=self.record() if once else None,
            **options,
        ).outcome()

    def calls(self):
        return len(self.s1.calls) + len(self.s2.calls)

    async def test_lost_answer_of_a_non_idempotent_call_is_unknown(self):
        self.s1.replies = [Broken(True, "cut")]
        outcome = await self.soon(self.make(once=True), 500)
        self.assertIsInstance(outcome, Unknown)
        again = await self.soon(self.make(once=True), 500)
        self.assertIsInstance(again, Unknown)
        self.assertEqual(self.calls(), 1)

    async def test_refused_non_idempotent_call_goes_to_the_next_replica(self):
        for proof in (Refused(Reason.OVERLOADED), Broken(False, "refused")):
            with self.subTest(proof=proof):
                self.setUp()
                self.s1.replies = [proof]
                outcome = await self.soon(self.make(once=True), 500)
                self.assertEqual(outcome, REPLY)

    async def test_silent_non_idempotent_call_is_unknown_within_five_seconds(self):
        self.s1.replies = [None]
        outcome = await self.soon(self.make(once=True), 5_100)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.calls(), 1)

    async def test_slow_non_idempotent_call_ends_with_its_end_known(self):
        """Symptom: nobody learns whether a slow revision was recorded. Sequence:
        the service replies after eight seconds. Cause: the call was dropped when
        its caller had been told "unknown"."""
        self.s1.late_ms = 8_000
        first = await self.soon(self.make(once=True), 5_100)
        self.assertIsInstance(first, Unknown)
        await self.clock.advance_ms(5_000)
        again = await self.soon(self.make(once=True), 500)
        self.assertEqual(again, REPLY)
        self.assertEqual(self.calls(), 1)

    async def test_silent_idempotent_call_is_made_again_on_a_new_connection(self):
        self.s1.replies = [None]
        outcome = await self.soon(self.make(), 5_100)
        self.assertEqual(outcome, REPLY)
        self.assertTrue(self.s2.calls[0].needs_new_connection)

    async def test_slow_idempotent_call_is_not_killed_by_its_second(self):
        self.s1.late_ms, self.s2.late_ms = 6_000, 20_000
        outcome = await self.soon(self.make(), 6_100)
        self.assertEqual(outcome, REPLY)

    async def test_no_replica_is_not_run(self):
        outcome = await self.soon(self.make(replicas=()), 10)
        self.assertIsInstance(outcome, NotRun)

    async def test_failures_that_prove_nothing_end_as_unknown(self):
        self.s1.replies = [Broken(True, "cut")]
        self.s2.replies = [Refused(Reason.OVERLOADED)]
        outcome = await self.soon(self.make(), 500)
        self.assertIsInstance(outcome, Unknown)
