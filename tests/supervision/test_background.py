"""Background tasks that fail."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.invariants import Invariant, InvariantBroken
from fireflyward.observe import Metrics
from fireflyward.supervision import BackgroundTasks


class BackgroundTasksTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.tasks = BackgroundTasks(clock=self.clock, metrics=self.metrics)
        self.runs = 0

    async def asyncTearDown(self):
        await self.tasks.cancel()

    async def fail(self):
        self.runs += 1
        raise ValueError("unexpected")

    async def test_a_task_that_fails_starts_anew(self):
        """Guards against a process that ends, or goes on without one of its tasks."""
        with self.assertLogs("fireflyward.process", "ERROR") as logs:
            self.tasks.start("feed", self.fail)
            await self.clock.advance_ms(300)
        self.assertEqual(self.runs, 3)
        self.assertEqual(self.metrics.total("task_failures_total", task="feed"), 3)
        self.assertIn("task feed failed", logs.output[0])

    async def test_a_task_that_always_fails_is_tried_every_five_seconds(self):
        """Guards against a failing task that uses up the processor or the store."""
        with self.assertLogs("fireflyward.process", "ERROR"):
            self.tasks.start("feed", self.fail)
            await self.clock.advance_ms(60_000)
        self.assertLess(self.runs, 20)

    async def test_a_failing_task_leaves_the_others_alone(self):
        done = []

        async def step():
            done.append(self.clock.now_ms())

        with self.assertLogs("fireflyward.process", "ERROR"):
            self.tasks.start("feed", self.fail)
            self.tasks.start_periodic("steps", 100, step)
            await self.clock.advance_ms(1_000)
        self.assertEqual(len(done), 10)

    async def test_a_broken_invariant_is_not_run_again(self):
        """Guards against a process that goes on with a state that it cannot trust."""
        runs = []

        async def break_invariant():
            runs.append(1)
            raise InvariantBroken(Invariant.ONE_END, "twice")

        task = self.tasks.start("runs", break_invariant)
        await self.clock.advance_ms(10_000)
        self.assertEqual(len(runs), 1)
        self.assertIsInstance(task.exception(), InvariantBroken)

    async def test_a_task_whose_awaited_work_is_cancelled_starts_anew(self):
        """Guards against a task that ends for good, and without a line in the log."""

        async def run():
            self.runs += 1
            work = asyncio.get_running_loop().create_future()
            work.cancel()
            await work

        with self.assertLogs("fireflyward.process", "ERROR"):
            task = self.tasks.start("feed", run)
            await self.clock.advance_ms(300)
        self.assertEqual(self.runs, 3)
        task.cancel()
        await self.clock.advance_ms(10_000)
        self.assertEqual((self.runs, task.cancelled()), (3, True))

    async def test_a_cancelled_task_does_not_start_anew(self):
        with self.assertLogs("fireflyward.process", "ERROR"):
            task = self.tasks.start("feed", self.fail)
            await self.clock.advance_ms(0)
        await self.tasks.cancel()
        await self.clock.advance_ms(10_000)
        self.assertTrue(task.cancelled())
        self.assertEqual(self.runs, 1)
