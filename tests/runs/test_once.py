"""Complete non-idempotent runs and service calls on a manual clock."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.runs import (
    Deliver,
    End,
    OnceStep,
    RequestRecord,
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
    """Returns the replies of its list in turn; with ``None`` it never replies."""

    def __init__(self, clock, replies=(), delay_ms=0):
        self.clock = clock
        self.replies = list(replies)
        self.delay_ms = delay_ms
        self.calls = []

    async def call(self, call):
        self.calls.append(call)
        await self.clock.sleep_ms(self.delay_ms)
        reply = self.replies.pop(0) if self.replies else REPLY
        if reply is None:
            await asyncio.get_running_loop().create_future()
        return reply


class NonIdempotentTestCase(unittest.IsolatedAsyncioTestCase):
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
        return RequestRecord(
            node or self.node,
            account="acc",
            request_key="k",
            owner=f"arrival-{self.arrivals}",
            fingerprint="f",
        )

    def started(self):
        engines = self.engine_by_name.values()
        return sum(len(engine.started_run_ids) for engine in engines)

    async def await_within(self, work, duration_ms):
        task = asyncio.ensure_future(work)
        for _ in range(10):
            await self.clock.advance_ms(duration_ms / 10)
        self.assertTrue(task.done())
        return task.result()


class NonIdempotentRunTests(NonIdempotentTestCase):
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
            record=self.record(node),
            **options,
        )

    async def collect(self, task):
        texts = []
        async for result in task.results():
            if isinstance(result, Deliver):
                texts.append(result.text)
            elif isinstance(result, End):
                return "".join(texts), result.outcome

    async def test_duplicates_during_and_after_the_run_get_the_same_answer(self):
        first = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        other = self.records("entry-2")
        second = asyncio.ensure_future(self.collect(self.make(other)))
        await self.clock.advance_ms(500)
        third = await self.await_within(self.collect(self.make(other)), 500)
        for text, outcome in (first.result(), second.result(), third):
            self.assertEqual(text, WANTED)
            self.assertIsInstance(outcome, Answered)
        self.assertEqual(self.started(), 1)

    async def test_run_of_a_crashed_node_is_found_by_another_node(self):
        """Guards against losing an answer that the replica computed.

        The entry VM crashes during the stream, and its caller sends the request to
        another node with the same key. That node must find the run's replica in the
        record.
        """
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(50)
        task.cancel()
        text, outcome = await self.await_within(
            self.collect(self.make(self.records("entry-2"))), 500
        )
        self.assertEqual((text, type(outcome)), (WANTED, Answered))
        self.assertEqual(self.started(), 1)

    async def test_run_on_a_lost_replica_is_unknown_and_stays_so_for_duplicates(self):
        self.engine_by_name["a"].faults.lost_answers = 1
        task = asyncio.ensure_future(self.collect(self.make(replicas="a")))
        await self.clock.advance_ms(100)
        self.engine_by_name["a"].faults.unreachable = True
        await self.clock.advance_ms(5_000)
        self.assertIsInstance(task.result()[1], Unknown)
        _, outcome = await self.await_within(
            self.collect(self.make(replicas="b")), 2_000
        )
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.started(), 1)

    async def test_node_that_was_paused_past_its_permit_does_not_dispatch(self):
        """Guards against running a request a second time, hours later.

        A node claims the record and is paused before it dispatches. When it resumes,
        its caller sent the request to another node long ago. The permit must have
        expired.
        """

        def pause(step):
            if step is OnceStep.CLAIMED:
                self.clock._now_ms += 15_000

        task = self.make(observe=pause)
        _, outcome = await self.await_within(self.collect(task), 500)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(self.started(), 0)

    async def test_caller_that_leaves_during_the_claim_frees_the_key(self):
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
        text, _ = await self.await_within(self.collect(self.make()), 1_000)
        self.assertEqual(text, WANTED)

    async def test_run_is_completed_and_recorded_if_its_caller_leaves_later(self):
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
        text, _ = await self.await_within(self.collect(self.make()), 500)
        self.assertEqual(text, WANTED)

    async def test_request_with_the_table_unavailable_is_not_run(self):
        self.table.unavailable = True
        _, outcome = await self.await_within(self.collect(self.make()), 200)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.reason, Reason.PLATFORM_AWAY)
        self.assertEqual(self.started(), 0)


class ServiceTests(NonIdempotentTestCase):
    def setUp(self):
        super().setUp()
        self.first_service = MemoryService(self.clock)
        self.second_service = MemoryService(self.clock)

    def make(self, *, is_non_idempotent=False, replicas=("s1", "s2"), **options):
        return ServiceTask(
            clock=self.clock,
            service_by_name={"s1": self.first_service, "s2": self.second_service},
            replicas=replicas,
            call=ServiceCall("POST", "/revisions/7", b"r7", run_id="r1"),
            deadline_ms=self.clock.now_ms() + 30_000,
            record=self.record() if is_non_idempotent else None,
            **options,
        ).outcome()

    def calls(self):
        return len(self.first_service.calls) + len(self.second_service.calls)

    async def test_lost_answer_of_a_non_idempotent_call_is_unknown(self):
        self.first_service.replies = [Broken(True, "cut")]
        outcome = await self.await_within(self.make(is_non_idempotent=True), 500)
        self.assertIsInstance(outcome, Unknown)
        again = await self.await_within(self.make(is_non_idempotent=True), 500)
        self.assertIsInstance(again, Unknown)
        self.assertEqual(self.calls(), 1)

    async def test_rejected_non_idempotent_call_goes_to_the_next_replica(self):
        for proof in (Refused(Reason.OVERLOADED), Broken(False, "refused")):
            with self.subTest(proof=proof):
                self.setUp()
                self.first_service.replies = [proof]
                outcome = await self.await_within(
                    self.make(is_non_idempotent=True), 500
                )
                self.assertEqual(outcome, REPLY)

    async def test_silent_non_idempotent_call_is_unknown_within_five_seconds(self):
        self.first_service.replies = [None]
        outcome = await self.await_within(self.make(is_non_idempotent=True), 5_100)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.calls(), 1)

    async def test_late_reply_of_a_non_idempotent_call_is_recorded(self):
        """Guards against losing the reply of a slow call.

        The service replies after eight seconds. The call must not be cancelled when its
        caller has received the outcome "unknown".
        """
        self.first_service.delay_ms = 8_000
        first = await self.await_within(self.make(is_non_idempotent=True), 5_100)
        self.assertIsInstance(first, Unknown)
        await self.clock.advance_ms(5_000)
        again = await self.await_within(self.make(is_non_idempotent=True), 500)
        self.assertEqual(again, REPLY)
        self.assertEqual(self.calls(), 1)

    async def test_silent_idempotent_call_is_repeated_on_a_new_connection(self):
        self.first_service.replies = [None]
        outcome = await self.await_within(self.make(), 5_100)
        self.assertEqual(outcome, REPLY)
        self.assertTrue(self.second_service.calls[0].needs_new_connection)

    async def test_slow_idempotent_call_is_not_cancelled_by_its_repetition(self):
        self.first_service.delay_ms, self.second_service.delay_ms = 6_000, 20_000
        outcome = await self.await_within(self.make(), 6_100)
        self.assertEqual(outcome, REPLY)

    async def test_call_without_a_replica_is_not_run(self):
        outcome = await self.await_within(self.make(replicas=()), 10)
        self.assertIsInstance(outcome, NotRun)

    async def test_failures_of_which_one_may_have_run_end_as_unknown(self):
        self.first_service.replies = [Broken(True, "cut")]
        self.second_service.replies = [Refused(Reason.OVERLOADED)]
        outcome = await self.await_within(self.make(), 500)
        self.assertIsInstance(outcome, Unknown)
