"""Complete runs on a manual clock, with engines in memory and their faults."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown, Usage
from fireflyward.routing import Candidate, Router, RunShape
from fireflyward.runs import Deliver, End, PromptStep, RunTask
from fireflyward.standins import EngineCosts, EngineModel, MemoryEngine, answer_text
from fireflyward.upstreams import Accepted, EngineCall, Finished, Piece

TOKENS = 12
PROMPT = "beam 7, pass or fail?"
WANTED = answer_text("m", "v1", "", PROMPT, TOKENS)


class SingleReadEngine:
    """An engine whose events all arrive in a single read of its socket."""

    async def generate(self, call):
        yield Accepted("v1", 0)
        for offset in range(3):
            yield Piece(offset, 1, "x")
        yield Finished(Usage(6, 3, 0))


class TaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        costs = EngineCosts(prefill_ms_per_token=1.0, decode_ms_per_token=10.0)
        self.engine_by_name = {
            name: MemoryEngine(
                EngineModel({"m": "v1"}, costs), self.clock, piece_tokens=size
            )
            for name, size in (("a", 1), ("b", 5))
        }
        self.a = self.engine_by_name["a"]
        self.b = self.engine_by_name["b"]
        self.router = Router("d", seed=1)
        self.router.set_replicas([Candidate("a", "d", ("m",), {"m": "v1"})])
        self.texts = []
        self.outcome = None

    def add_replica_b(self):
        candidate = Candidate("b", "d", ("m",), {"m": "v1"})
        candidate.suspect_until_ms = 1 << 40
        first = Candidate("a", "d", ("m",), {"m": "v1"})
        self.router.set_replicas([first, candidate])

    def make(self, **options):
        return RunTask(
            clock=self.clock,
            router=self.router,
            engine_by_name=self.engine_by_name,
            call=EngineCall("r1", "m", "v1", PROMPT, TOKENS),
            shape=RunShape("acc", "m", "v1", 6),
            deadline_ms=self.clock.now_ms() + options.pop("deadline_ms", 60_000),
            **options,
        )

    async def collect(self, task):
        async for result in task.results():
            if isinstance(result, Deliver):
                self.texts.append(result.text)
            elif isinstance(result, End):
                self.outcome = result.outcome

    async def run_for(self, task, duration_ms):
        reader = asyncio.ensure_future(self.collect(task))
        await self.clock.advance_ms(duration_ms)
        if not reader.done():
            reader.cancel()
            await asyncio.wait({reader})
        elif reader.exception():
            raise reader.exception()

    def assert_complete(self):
        self.assertEqual("".join(self.texts), WANTED)
        self.assertIsInstance(self.outcome, Answered)

    async def test_results_that_arrived_together_are_pending(self):
        """Guards against a write to the caller for each of several available pieces."""
        self.engine_by_name["a"] = SingleReadEngine()
        task = self.make()
        pending = [task.has_pending async for _ in task.results()]
        self.assertEqual(pending, [True, True, True, True, False])

    async def test_a_single_piece_does_not_wait_for_the_next(self):
        task = self.make()
        pending = []

        async def collect():
            async for result in task.results():
                if isinstance(result, Deliver):
                    pending.append(task.has_pending)

        reader = asyncio.ensure_future(collect())
        await self.clock.advance_ms(500)
        await reader
        self.assertEqual(pending[:-1], [False] * (TOKENS - 1))

    async def test_run_without_faults(self):
        await self.run_for(self.make(), 500)
        self.assert_complete()

    async def test_silent_stream_is_resumed_over_a_new_connection(self):
        """Guards against a stream that stops in the middle and never ends.

        A device between node and replica drops the connection's state without notice.
        The node must query the run's state over a new connection.
        """
        self.a.faults.silent_streams, self.a.faults.after_tokens = 1, 4
        await self.run_for(self.make(), 4_000)
        self.assert_complete()
        self.assertEqual(self.a.started_run_ids, ["r1"])

    async def test_answer_is_continuous_after_a_cut_stream_and_a_lost_replica(self):
        self.add_replica_b()
        self.a.faults.cut_streams, self.a.faults.after_tokens = 1, 3
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(60)
        self.a.faults.unreachable = True
        await self.clock.advance_ms(1_000)
        await task
        self.assert_complete()
        self.assertEqual(self.b.started_run_ids, ["r1"])

    async def test_run_leaves_a_paused_replica_within_four_seconds(self):
        """Guards against prompts that hang while a replica's process is paused.

        Its machine still accepts connections, but no data arrives over old or new ones.
        Silence must count as a failure, and not only a refused connection.
        """
        self.add_replica_b()
        self.a.faults.paused = True
        await self.run_for(self.make(), 4_500)
        self.assert_complete()

    async def test_slow_prefill_with_keep_alives_is_not_cancelled(self):
        costs = EngineCosts(prefill_ms_per_token=1_200.0, decode_ms_per_token=1.0)
        self.a.model = EngineModel({"m": "v1"}, costs)
        await self.run_for(self.make(), 9_000)
        self.assert_complete()
        self.assertEqual(self.a.cancelled_run_ids, [])

    async def test_lost_request_is_sent_to_another_replica(self):
        self.add_replica_b()
        self.a.faults.lost_requests = 1
        await self.run_for(self.make(), 6_000)
        self.assert_complete()

    async def test_lost_answer_is_read_from_the_run_that_continues(self):
        self.a.faults.lost_answers = 1
        await self.run_for(self.make(), 6_000)
        self.assert_complete()
        self.assertEqual(self.a.started_run_ids, ["r1"])

    async def test_crossed_stream_is_not_delivered(self):
        self.a.faults.crossed_streams = 1
        await self.run_for(self.make(), 1_000)
        self.assert_complete()

    async def test_deadline_ends_a_started_run(self):
        await self.run_for(self.make(deadline_ms=50), 60)
        self.assertEqual(self.outcome.reason, Reason.DEADLINE)
        self.assertIsInstance(self.outcome, Unknown)
        self.assertEqual(self.a.cancelled_run_ids, ["r1"])

    async def test_caller_gone_cancels_the_run(self):
        await self.run_for(self.make(), 50)
        await self.clock.advance_ms(1)
        self.assertEqual(self.a.cancelled_run_ids, ["r1"])

    async def test_run_without_a_replica_is_not_run(self):
        self.router.set_replicas([])
        await self.run_for(self.make(), 10)
        self.assertIsInstance(self.outcome, NotRun)

    async def test_prepare_is_awaited_before_the_start(self):
        prepared = []

        async def prepare(replica, call, shape):
            prepared.append((replica, call.run_id, list(self.a.started_run_ids)))

        await self.run_for(self.make(prepare=prepare), 500)
        self.assertEqual(prepared, [("a", "r1", [])])
        self.assert_complete()

    async def test_prepare_that_hangs_only_delays_the_run(self):
        async def prepare(replica, call, shape):
            await self.clock.sleep_ms(1 << 30)

        await self.run_for(self.make(prepare=prepare), 3_000)
        self.assert_complete()

    async def test_caller_that_reads_nothing_uses_bounded_memory(self):
        """Guards against unlimited memory for unread answers.

        Callers keep their connections open and read nothing. The queue of pieces must
        have a limit.
        """
        task = self.make(deadline_ms=600_000)
        task._call = EngineCall("r1", "m", "v1", PROMPT, 5_000)
        task._attempt._call = task._call
        results = task.results()
        await results.__anext__()
        await self.clock.advance_ms(16_000)
        self.assertLessEqual(task._outbox.qsize(), 65)
        self.assertEqual(self.a.cancelled_run_ids, [])
        await self.clock.advance_ms(16_000)
        self.assertEqual(self.a.cancelled_run_ids, ["r1"])
        await results.aclose()

    async def test_error_in_a_step_ends_the_run(self):
        def observe(step):
            raise RuntimeError(step)

        with self.assertRaises(RuntimeError):
            await self.run_for(self.make(observe=observe), 100)

    async def test_run_whose_caller_leaves_at_the_dispatch_is_not_reported_as_not_run(
        self,
    ):
        """Guards against logging a run as not run although its replica executed it.

        The caller closes its connection between the dispatch and the next iteration of
        the event loop. The run must record the dispatch before it handles the message
        of the closed connection.
        """
        task = self.make()
        may_have_run_at_end = []

        def record_end(step):
            if step is PromptStep.ENDED:
                may_have_run_at_end.append(task._run.may_have_run)

        task._observe = record_end
        results = task.results()
        reader = asyncio.ensure_future(anext(results))
        while not self.a.dispatches:
            await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait({reader})
        await results.aclose()
        self.assertEqual(may_have_run_at_end, [True])
