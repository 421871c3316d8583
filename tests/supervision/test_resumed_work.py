"""What a task had left to do when it failed, and its next run does."""

import unittest
from types import SimpleNamespace
from unittest import mock

from fireflyward.backing import Position
from fireflyward.clock import ManualClock
from fireflyward.deployment import WeightTarget
from fireflyward.feeds import TableUpdate
from fireflyward.fleet._lost_rows import LostRowRecovery
from fireflyward.forwarding import WaitingSends, WeightVersions, WithdrawalTask
from fireflyward.observe import Metrics
from fireflyward.prefixes import KvEvent, KvUpdate, PartKey, StoreIndex
from fireflyward.replacements import ReplacementTask, VersionHistory
from fireflyward.supervision import BackgroundTasks


class _FailsOnce:
    """Raises at its first call and counts the others."""

    def __init__(self, result=None):
        self.calls = 0
        self._has_failed = False
        self._result = result

    def __call__(self, *args, **options):
        if not self._has_failed:
            self._has_failed = True
            raise ValueError("unexpected")
        self.calls += 1
        return self._result


class ResumedWorkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock(1_000)
        self.tasks = BackgroundTasks(clock=self.clock, metrics=Metrics())
        self.addAsyncCleanup(self.tasks.cancel)

    async def test_requests_are_withdrawn_after_a_check_that_failed(self):
        """Guards against requests that begin on replaced weights after a failure."""
        weights = WeightVersions(version_ms=12_000)
        task = WithdrawalTask(clock=self.clock, weights=weights, sends=WaitingSends())
        self.tasks.start("withdrawals", task.run)
        weights.set_target(1_000, WeightTarget("m", 1))
        fails = _FailsOnce()
        with mock.patch.object(WithdrawalTask, "check", fails):
            weights.set_target(1_000, WeightTarget("m", 2))
            with self.assertLogs("fireflyward.process", "ERROR"):
                await self.clock.advance_ms(1_000)
        self.assertEqual(fails.calls, 1)

    async def test_lost_rows_are_fetched_after_a_fetch_that_failed(self):
        """Guards against operators' rows that stay lost after a restore."""
        fails = _FailsOnce(())

        async def fetch(table):
            return fails()

        recovery = LostRowRecovery(
            "op",
            tables=SimpleNamespace(fetch_retained_rows=fetch),
            clock=self.clock,
            on_update=lambda update: None,
        )
        self.tasks.start("lost rows", recovery.run)
        recovery.on_table_update(TableUpdate((), True, 1_000, position=Position(2, 1)))
        with self.assertLogs("fireflyward.process", "ERROR"):
            await self.clock.advance_ms(60_000)
        self.assertGreater(fails.calls, 0)

    async def test_the_age_of_replaced_weights_is_found_after_a_failure(self):
        """Guards against weights whose age is never asked for again."""
        fails = _FailsOnce(True)
        task = ReplacementTask(
            VersionHistory(),
            SimpleNamespace(use_evidence=fails, is_written=lambda model: True),
            clock=self.clock,
            addresses=list,
            is_among_first=lambda count: False,
            place=lambda: 0.0,
            has_older_weights=lambda model: False,
        )
        self.tasks.start("replacements", task.run)
        task.on_named("m")
        with self.assertLogs("fireflyward.process", "ERROR"):
            await self.clock.advance_ms(10_000)
        self.assertGreater(fails.calls, 0)


class FailedEventsTests(unittest.TestCase):
    def test_events_that_failed_are_asked_for_again(self):
        """Guards against parts that a node never hears of after a failure."""
        index = StoreIndex("10.0.0.1:80", 1_000)
        update = KvUpdate(7, (KvEvent(PartKey("", "aa"), 5),), 3, since=0)
        with mock.patch.object(StoreIndex, "_apply_event", side_effect=ValueError):
            with self.assertRaises(ValueError):
                index.apply(update)
        self.assertEqual(index.next_event, 0)
