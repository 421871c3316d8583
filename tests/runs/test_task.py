"""Whole runs on a faked clock, with engines in memory and their faults."""

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


class AtOnceEngine:
    """An engine whose events all come with one read of its socket."""

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

    def serve_b_too(self):
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

    def assert_whole(self):
        self.assertEqual("".join(self.texts), WANTED)
        self.assertIsInstance(self.outcome, Answered)

    async def test_what_came_together_is_known_to_be_pending(self):
        """A caller's answer took one write for each of the pieces that lay ready."""
        self.engine_by_name["a"] = AtOnceEngine()
        task = self.make()
        pending = [task.has_pending async for _ in task.results()]
        self.assertEqual(pending, [True, True, True, True, False])

    async def test_a_piece_that_comes_alone_waits_for_no_other(self):
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

    async def test_plain_run(self):
        await self.run_for(self.make(), 500)
        self.assert_whole()

    async def test_silent_stream_is_resumed_over_a_new_connection(self):
        """Symptom: a stream stops in the middle and never ends. Sequence:
        something between node and replica forgets the connection. Cause: nobody
        asked on a new connection whether the run goes on."""
        self.a.faults.silent_streams, self.a.faults.after_tokens = 1, 4
        await self.run_for(self.make(), 4_000)
        self.assert_whole()
        self.assertEqual(self.a.started_run_ids, ["r1"])

    async def test_cut_stream_and_then_a_dead_replica_leave_no_seam(self):
        self.serve_b_too()
        self.a.faults.cut_streams, self.a.faults.after_tokens = 1, 3
        task = asyncio.ensure_future(self.collect(self.make()))
        await self.clock.advance_ms(60)
        self.a.faults.unreachable = True
        await self.clock.advance_ms(1_000)
        await task
        self.assert_whole()
        self.assertEqual(self.b.started_run_ids, ["r1"])

    async def test_paused_replica_is_left_within_four_seconds(self):
        """Symptom: prompts hang while one replica's process is stopped. Sequence:
        its machine still accepts connections, and nothing comes over old or new
        ones. Cause: only a refused connection counted as a failure."""
        self.serve_b_too()
        self.a.faults.paused = True
        await self.run_for(self.make(), 4_500)
        self.assert_whole()

    async def test_silence_with_keep_alives_is_a_slow_prefill(self):
        costs = EngineCosts(prefill_ms_per_token=1_200.0, decode_ms_per_token=1.0)
        self.a.model = EngineModel({"m": "v1"}, costs)
        await self.run_for(self.make(), 9_000)
        self.assert_whole()
        self.assertEqual(self.a.cancelled_run_ids, [])

    async def test_lost_request_is_found_to_be_lost(self):
        self.serve_b_too()
        self.a.faults.lost_requests = 1
        await self.run_for(self.make(), 6_000)
        self.assert_whole()

    async def test_lost_answer_is_read_from_the_run_that_goes_on(self):
        self.a.faults.lost_answers = 1
        await self.run_for(self.make(), 6_000)
        self.assert_whole()
        self.assertEqual(self.a.started_run_ids, ["r1"])

    async def test_crossed_stream_is_not_delivered(self):
        self.a.faults.crossed_streams = 1
        await self.run_for(self.make(), 1_000)
        self.assert_whole()

    async def test_deadline_ends_a_run_in_the_middle(self):
        await self.run_for(self.make(deadline_ms=50), 60)
        self.assertEqual(self.outcome.reason, Reason.DEADLINE)
        self.assertIsInstance(self.outcome, Unknown)
        self.assertEqual(self.a.cancelled_run_ids, ["r1"])

    async def test_caller_gone_cancels_the_run(self):
        await self.run_for(self.make(), 50)
        await self.clock.advance_ms(1)
        self.assertEqual(self.a.cancelled_run_ids, ["r1"])

    async def test_no_replica_is_not_run(self):
        self.router.set_replicas([])
        await self.run_for(self.make(), 10)
        self.assertIsInstance(self.outcome, NotRun)

    async def test_prepare_is_awaited_before_the_start(self):
        seen = []

        async def prepare(replica, call, shape):
            seen.append((replica, call.run_id, list(self.a.started_run_ids)))

        await self.run_for(self.make(prepare=prepare), 500)
        self.assertEqual(seen, [("a", "r1", [])])
        self.assert_whole()

    async def test_prepare_that_hangs_only_makes_the_run_slower(self):
        async def prepare(replica, call, shape):
            await self.clock.sleep_ms(1 << 30)

        await self.run_for(self.make(prepare=prepare), 3_000)
        self.assert_whole()

    async def test_caller_that_reads_nothing_holds_bounded_memory(self):
        """Symptom: a node's memory grows by whole answers. Sequence: callers keep
        their connections open and read nothing. Cause: pieces were queued without
        a bound."""
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

    async def test_error_in_a_step_ends_the_run_and_does_not_hang(self):
        def observe(step):
            raise RuntimeError(step)

        with self.assertRaises(RuntimeError):
            await self.run_for(self.make(observe=observe), 100)

    async def test_caller_that_goes_at_the_dispatch_is_not_told_not_run(self):
        """Symptom: a run is logged as not run and its replica ran it. Sequence: the
        caller closes between the dispatch and the next turn of the event loop.
        Cause: the note of the dispatch waited in a queue behind the caller's end."""
        task = self.make()
        ends = []

        def end_here(step):
            if step is PromptStep.ENDED:
                ends.append(task._run.may_have_run)

        task._observe = end_here
        results = task.results()
        reader = asyncio.ensure_future(anext(results))
        while not self.a.dispatches:
            await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait({reader})
        await results.aclose()
        self.assertEqual(ends, [True])
