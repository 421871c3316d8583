"""Parts of replaced weights are freed, and no others."""

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
from fireflyward.prefixes._janitor import Garbage

OLD, NEW, FOREIGN = PartKey("m~1", "p"), PartKey("m~2", "p"), PartKey("x", "p")
KEYS = (OLD, NEW, FOREIGN)


class GarbageTests(unittest.TestCase):
    def setUp(self):
        self.garbage = Garbage()

    def of(self, now_ms, *used, newest=2, by=("r1",)):
        return self.garbage.of(
            now_ms,
            KEYS,
            used={version: set(by) for version in used},
            newest_by_model={"m": newest},
        )

    def test_room_is_made_as_soon_as_all_replicas_have_newer_weights(self):
        """Symptom: for three seconds after new weights every prompt is read whole.

        The stores are full of the old version's parts. These were kept for two
        seconds after the last replica had loaded, and another until the list said so.
        """
        self.assertEqual(self.of(0, ("m", 1), by=("r1", "r2")), [])
        self.assertEqual(self.of(100, ("m", 2), by=("r1", "r2")), [])
        self.assertEqual(self.of(299, ("m", 2), by=("r1", "r2")), [])
        self.assertEqual(self.of(300, ("m", 2), by=("r1", "r2")), [OLD])

    def test_parts_of_a_replica_that_is_not_listed_any_more_are_kept_longer(self):
        """Symptom: a fetch reads memory that was freed meanwhile.

        A replica's entry lapsed while it lives on, cut off from the list only. It
        runs on with the old weights, and with what it fetches for them.
        """
        self.of(0, ("m", 1), by=("r1", "r2"))
        self.of(100, ("m", 2), by=("r1",))
        self.assertEqual(self.of(2_099, ("m", 2), by=("r1",)), [])
        self.assertEqual(self.of(2_100, ("m", 2), by=("r1",)), [OLD])

    def test_a_version_that_no_replica_has_is_freed_after_a_while(self):
        self.assertEqual(self.of(0, ("m", 2)), [])
        self.assertEqual(self.of(1_999, ("m", 2)), [])
        self.assertEqual(self.of(2_000, ("m", 2)), [OLD])

    def test_a_version_that_a_replica_may_have_is_kept(self):
        """Symptom: a fetch reads memory that was freed meanwhile.

        A replica that restarted has the old version again, and runs begin there.
        """
        self.of(0, ("m", 2))
        self.assertEqual(self.of(2_000, ("m", 1), ("m", 2)), [])
        self.assertEqual(self.of(2_100, ("m", 2)), [])

    def test_a_version_that_no_replica_has_yet_is_kept(self):
        self.of(0, ("m", 1))
        self.assertEqual(self.of(9_000, ("m", 1)), [])


class _Freer:
    """Takes every call, and tells no event of it."""

    def __init__(self):
        self.calls = []

    async def kv_free(self, address, *, epoch, keys, limit_ms):
        self.calls.append((address, epoch, keys))
        return True


class JanitorTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_part_whose_event_was_lost_is_not_freed_with_every_look(self):
        """Symptom: calls to free the same few parts, three a second to each store.

        The events that told of them never arrived, so that they stay in the index.
        """
        planner, freer, clock = PartPlanner(), _Freer(), ManualClock(0)
        planner.set_stores([KvStore("kv:1", "a", 10_000, 1_000.0, drops_nothing=True)])
        (index,) = planner.indexes()
        index.take(KvUpdate(7, (KvEvent(OLD, 100),), 1))
        janitor = GarbageCollector(
            clock=clock,
            planner=planner,
            freer=freer,
            used=lambda: {("m", 2): {"r1"}},
            newest_by_model=lambda: {"m": 2},
            may_act=lambda: True,
        )
        for _ in range(30):
            await janitor.step()
            clock._now_ms += 300
        self.assertEqual(freer.calls, [("kv:1", 7, [OLD])] * 2)
