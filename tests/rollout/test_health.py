import unittest

from fireflyward.clock import ManualClock
from fireflyward.outcomes import Reason, Usage
from fireflyward.rollout import Health, HealthWatch, WatchedEngine, regression
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineCall,
    Finished,
    Piece,
    Refused,
)

CALL = EngineCall("r1", "clauses", "v2", "beam 7?", 1)


class FakeEngine:
    def __init__(self, clock, events):
        self.clock = clock
        self.events = events

    async def generate(self, call):
        for event in self.events:
            if isinstance(event, Piece):
                self.clock._now_ms += 30
            yield event

    async def load(self):
        return "a report"


class RegressionTests(unittest.TestCase):
    def test_too_few_runs_are_not_compared(self):
        self.assertEqual(regression(Health(19, 19), Health(100, 0)), "")

    def test_more_errors_are_worse(self):
        self.assertIn("errors in 10.0%", regression(Health(40, 4), Health(40, 0)))

    def test_cold_cache_does_not_count_as_slow_weights(self):
        """Guards against a hold of every rollout.

        A new version has nothing in the cache, so its first tokens take ten times as
        long. The comparison must take the number of computed tokens into account.
        """
        warm = Health(40, 0, 40 * 20.0, 40 * 300)
        cold = Health(40, 0, 40 * 200.0, 40 * 3_000)
        self.assertEqual(regression(cold, warm), "")

    def test_slower_with_the_same_work_is_worse(self):
        fast = Health(40, 0, 40 * 50.0, 40 * 1_000)
        slow = Health(40, 0, 40 * 150.0, 40 * 1_000)
        self.assertIn("first token after 150 ms", regression(slow, fast))


class WatchedEngineTests(unittest.IsolatedAsyncioTestCase):
    async def count(self, *events):
        clock, watch = ManualClock(), HealthWatch()
        engine = WatchedEngine(FakeEngine(clock, events), watch, clock)
        passed = [event async for event in engine.generate(CALL)]
        self.assertEqual(passed, list(events))
        self.assertEqual(await engine.load(), "a report")
        return watch.of("clauses", "v2")

    async def test_finished_run_counts_its_first_token(self):
        finished = Finished(Usage(1_000, 1, 400))
        health = await self.count(Accepted("v2", 0), Piece(0, 1, "a"), finished)
        self.assertEqual((health.runs, health.failures), (1, 0))
        self.assertEqual((health.first_token_ms, health.computed_tokens), (30, 856))

    async def test_broken_run_is_a_failure(self):
        health = await self.count(Accepted("v2", 0), Broken(True, "cut"))
        self.assertEqual((health.runs, health.failures), (1, 1))

    async def test_rejected_run_is_not_counted(self):
        health = await self.count(Refused(Reason.OVERLOADED))
        self.assertEqual(health.runs, 0)
