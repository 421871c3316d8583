"""Only the parts of replaced weights are freed."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.deployment import KvStore
from fireflyward.prefixes import (
    GarbageCollector,
    KvEvent,
    KvUpdate,
    PartKey,
    PartPlanner,
)
from fireflyward.prefixes._garbage import GarbageFinder

OLD, NEW, FOREIGN = PartKey("m~1", "p"), PartKey("m~2", "p"), PartKey("x", "p")
KEYS = (OLD, NEW, FOREIGN)


class GarbageFinderTests(unittest.TestCase):
    def setUp(self):
        self.finder = GarbageFinder()

    def find(self, now_ms, *used, newest=2, by=("r1",)):
        return self.finder.find(
            now_ms,
            KEYS,
            used={version: set(by) for version in used},
            newest_by_model={"m": newest},
        )

    def test_parts_are_freed_as_soon_as_all_replicas_have_newer_weights(self):
        """Guards against prompts prefilled completely for 3 s after a rollout.

        The stores are full of the old version's parts. These were kept for two seconds
        after the last replica had loaded the new weights, and for another second until
        the list of replicas showed the load.
        """
        self.assertEqual(self.find(0, ("m", 1), by=("r1", "r2")), [])
        self.assertEqual(self.find(100, ("m", 2), by=("r1", "r2")), [])
        self.assertEqual(self.find(299, ("m", 2), by=("r1", "r2")), [])
        self.assertEqual(self.find(300, ("m", 2), by=("r1", "r2")), [OLD])

    def test_parts_of_a_replica_that_is_no_longer_listed_are_kept_longer(self):
        """Guards against fetching memory that was freed in the meantime.

        A replica's entry expired because the replica could not reach the list. The
        replica still runs requests on the old weights, and fetches parts for them.
        """
        self.find(0, ("m", 1), by=("r1", "r2"))
        self.find(100, ("m", 2), by=("r1",))
        self.assertEqual(self.find(2_099, ("m", 2), by=("r1",)), [])
        self.assertEqual(self.find(2_100, ("m", 2), by=("r1",)), [OLD])

    def test_parts_of_a_version_on_no_replica_are_freed_after_a_delay(self):
        self.assertEqual(self.find(0, ("m", 2)), [])
        self.assertEqual(self.find(1_999, ("m", 2)), [])
        self.assertEqual(self.find(2_000, ("m", 2)), [OLD])

    def test_parts_of_a_version_that_a_replica_may_have_are_kept(self):
        """Guards against fetching memory that was freed in the meantime.

        A replica has the old version again after a restart, and begins to run requests.
        """
        self.find(0, ("m", 2))
        self.assertEqual(self.find(2_000, ("m", 1), ("m", 2)), [])
        self.assertEqual(self.find(2_100, ("m", 2)), [])

    def test_parts_of_a_version_that_no_replica_has_yet_are_kept(self):
        self.find(0, ("m", 1))
        self.assertEqual(self.find(9_000, ("m", 1)), [])


class _Freer:
    """Accepts every call, and reports no event for it."""

    def __init__(self):
        self.calls = []

    async def kv_free(self, address, *, epoch, keys, limit_ms):
        self.calls.append((address, epoch, keys))
        return True


class GarbageCollectorTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_part_whose_event_was_lost_is_not_freed_at_every_check(self):
        """Guards against freeing the same few parts three times a second at each store.

        The events of the freed parts never arrived at the node, so the parts stay in
        its index.
        """
        planner, freer, clock = PartPlanner(), _Freer(), ManualClock(0)
        planner.set_stores([KvStore("kv:1", "a", 10_000, 1_000.0, never_evicts=True)])
        (index,) = planner.indexes()
        index.apply(KvUpdate(7, (KvEvent(OLD, 100),), 1))
        collector = GarbageCollector(
            clock=clock,
            planner=planner,
            freer=freer,
            used=lambda: {("m", 2): {"r1"}},
            newest_by_model=lambda: {"m": 2},
            may_act=lambda: True,
        )
        for _ in range(30):
            await collector.step()
            clock._now_ms += 300
        self.assertEqual(freer.calls, [("kv:1", 7, [OLD])] * 2)
