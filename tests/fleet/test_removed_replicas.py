"""How long a removed replica gets requests after a node's reads of the list failed."""

import asyncio
import json
import types
import unittest

from fireflyward.backing import Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import Changes, FeedFollower, Snapshot, TableRow, TableUpdate
from fireflyward.fleet._paces import replicas_pace
from fireflyward.fleet._views import ReplicaView
from fireflyward.replicas import ReplicaDirectory
from tests.platform_standins import ReplicaStandIn
from tests.positions import at

_DRAIN_MS = 2_000
_UPDATE_INTERVAL_MS = 700
_LONGEST_MS = 30_000
_STEP_MS = 100
# A removal counts once the store has been available for this time.
_STABLE_MS = 3_000
_BEGIN_MS = 5_000


class _ReplicaListTestCase(unittest.IsolatedAsyncioTestCase):
    """Two replicas of a service are listed, and then i-1 is removed."""

    def setUp(self):
        self.start()

    def start(self):
        self.directory = ReplicaDirectory()
        self.clock = ManualClock(0)
        self.view = ReplicaView(
            clock=self.clock,
            directory=self.directory,
            pool=types.SimpleNamespace(close_idle=lambda address: None),
            heartbeat_ms=1_200,
            on_removed=lambda state: None,
        )
        self.update(self.row("i-1"), self.row("i-2"), is_snapshot=True)

    def row(self, name, **changes):
        entry = json.loads(ReplicaStandIn(name).entry("s", **changes))
        entry["address"] = f"10.0.0.{name.removeprefix('i-')}:80"
        return TableRow(name, json.dumps(entry).encode(), at(1))

    def update(self, *rows, is_snapshot=False, unavailable_ms=0):
        now_ms, is_outage = self.clock.now_ms(), unavailable_ms >= 1_000
        self.view.on_table_update(
            TableUpdate(
                rows,
                is_snapshot,
                now_ms,
                unavailable_ms,
                at(2),
                failed_calls=3 if is_outage else bool(unavailable_ms),
            )
        )

    def remove(self, **options):
        self.update(TableRow("i-1", b"", at(3), is_deleted=True), **options)

    @property
    def names(self):
        return [state.entry.incarnation for state in self.directory.of_service("s")]

    async def time_until_unused_ms(self, *, has_updates=True):
        """Return for how long after now i-1 gets requests."""
        since_ms = self.clock.now_ms()
        elapsed_ms = 0
        while "i-1" in self.names and elapsed_ms < _LONGEST_MS:
            await self.clock.advance_ms(_STEP_MS)
            elapsed_ms = self.clock.now_ms() - since_ms
            if has_updates and not elapsed_ms % _UPDATE_INTERVAL_MS:
                self.update()
        return elapsed_ms


class RemovedReplicaTests(_ReplicaListTestCase):
    """The node reads the list through updates that the tests make."""

    async def remove_after_failed_read(self):
        self.update(unavailable_ms=40)
        await self.clock.advance_ms(100)
        self.remove()

    async def remove_in_update_after_failed_read(self):
        self.remove(unavailable_ms=40)

    async def read_list_without_it_after_failed_read(self):
        self.update(self.row("i-2"), is_snapshot=True, unavailable_ms=40)

    async def remove_long_after_outage(self):
        self.update(unavailable_ms=3_000)
        await self.clock.advance_ms(1_900)
        self.remove()

    async def report_leaving_after_outage(self):
        self.update(self.row("i-1", state="draining"), unavailable_ms=3_000)

    async def test_a_removed_replica_gets_requests_for_the_drain_time_at_most(self):
        """Guards against a failed read of one node that counts as a store's outage."""
        for remove in (
            self.remove,
            self.remove_after_failed_read,
            self.remove_in_update_after_failed_read,
            self.read_list_without_it_after_failed_read,
            self.remove_long_after_outage,
            self.report_leaving_after_outage,
        ):
            with self.subTest(remove.__name__):
                self.start()
                waiting = remove()
                if waiting is not None:
                    await waiting
                self.assertLessEqual(await self.time_until_unused_ms(), _DRAIN_MS)

    async def test_a_replica_that_expired_in_an_outage_is_used_until_it_may_return(
        self,
    ):
        """Guards against rejecting every request when the store is available again."""
        self.update(self.row("i-2"), is_snapshot=True, unavailable_ms=3_000)
        await self.clock.advance_ms(2_000)
        self.assertIn("i-1", self.names)
        self.update(self.row("i-1"))
        self.assertEqual(await self.time_until_unused_ms(), _LONGEST_MS)

    async def test_a_kept_replica_is_removed_without_further_updates(self):
        """Guards against an entry that expires only when the list is read again."""
        removing = asyncio.create_task(self.view.run())
        self.update(self.row("i-2"), is_snapshot=True, unavailable_ms=3_000)
        await self.time_until_unused_ms(has_updates=False)
        self.assertEqual(self.clock.now_ms(), 2_300)
        removing.cancel()
        await asyncio.gather(removing, return_exceptions=True)

    async def test_a_removed_replica_gets_no_requests_without_further_updates(self):
        """Guards against an entry that expires only when the list is read again."""
        await self.remove_after_failed_read()
        unused_ms = await self.time_until_unused_ms(has_updates=False)
        self.assertLessEqual(unused_ms, _DRAIN_MS)


class _RefusingStore:
    """Lists two replicas, refuses calls for a while, and removes i-1 later.

    Calls that wait while it begins to refuse others are still answered.
    """

    def __init__(self, clock, rows, *, away_ms, removed_ms):
        self._clock = clock
        self._rows = rows
        self._end_ms = _BEGIN_MS + away_ms
        self._removed_ms = removed_ms

    def _is_away(self):
        return _BEGIN_MS <= self._clock.now_ms() < self._end_ms

    async def rows(self, table, *, part="", limit_ms=1_000):
        return Snapshot(self._rows, at(2))

    async def changes(self, table, *, after, wait_ms, limit_ms):
        await self._clock.sleep_ms(1)
        if self._is_away():
            return Unavailable("refused")
        left_ms = self._removed_ms - self._clock.now_ms()
        if after >= at(3) or left_ms > wait_ms:
            await self._clock.sleep_ms(wait_ms)
            return Changes((), after)
        await self._clock.sleep_ms(left_ms)
        return Changes((TableRow("i-1", b"", at(3), is_deleted=True),), at(3))


class RemovedAfterOutageTests(_ReplicaListTestCase):
    """The node follows the list by itself, at a store that refuses calls."""

    async def longest_use_ms(self, *, away_ms, removed_ms):
        """Return for how long at most i-1 gets requests, whenever the node calls."""
        longest_ms = 0
        for phase_ms in range(0, 1_100, 100):
            self.start()
            rows = (self.row("i-1"), self.row("i-2"))
            reader = _RefusingStore(
                self.clock, rows, away_ms=away_ms, removed_ms=removed_ms
            )
            follower = FeedFollower(
                "servers",
                reader=reader,
                clock=self.clock,
                on_update=self.view.on_table_update,
                pace=lambda: replicas_pace(
                    _DRAIN_MS, is_shared=False, serves_other_nodes=False
                ),
            )
            await self.clock.advance_ms(phase_ms)
            tasks = [asyncio.create_task(x.run()) for x in (follower, self.view)]
            await self.clock.advance_ms(removed_ms - phase_ms)
            used_ms = await self.time_until_unused_ms(has_updates=False)
            longest_ms = max(longest_ms, used_ms)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return longest_ms

    async def test_a_replica_removed_after_an_outage_is_used_for_the_drain_time(self):
        """Guards against a removal that counts as an entry that expired before it."""
        for away_ms in (1_200, 2_000, 3_000, 6_000):
            with (
                self.subTest(away_ms=away_ms),
                self.assertLogs("fireflyward.feeds", "WARNING"),
            ):
                removed_ms = _BEGIN_MS + away_ms + _STABLE_MS
                used_ms = await self.longest_use_ms(
                    away_ms=away_ms, removed_ms=removed_ms
                )
                self.assertLessEqual(used_ms, _DRAIN_MS)
