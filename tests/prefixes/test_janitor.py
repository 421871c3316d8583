"""Parts of replaced weights are freed, and no others."""

import unittest

from fireflyward.prefixes import PartKey
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
