"""Until when older weights may begin on a request."""

import unittest

from fireflyward.deployment import WeightTarget
from fireflyward.forwarding import WeightVersions


class WeightTests(unittest.TestCase):
    def setUp(self):
        self.book = WeightVersions(version_ms=12_000)

    def test_a_version_named_meanwhile_gives_the_first_no_more_time(self):
        """Symptom: a request begins on weights that were replaced 12 s ago.

        A second version is named before the first is in place everywhere, and
        the time since the first is forgotten.
        """
        self.book.set_target(0, WeightTarget("m", 2))
        self.book.set_target(4_000, WeightTarget("m", 3))
        self.assertEqual(self.book.min_version(8_499, "m"), 0)
        self.assertEqual(self.book.min_version(8_500, "m"), 2)
        self.assertEqual(self.book.min_version(12_500, "m"), 3)

    def test_requests_that_wait_in_a_queue_begin_in_time(self):
        """Symptom: as above, though the request was sent in time.

        It waited more than two seconds in the replica's queue.
        """
        self.book.set_target(0, WeightTarget("m", 2))
        self.assertLessEqual(12_000 - 8_500, 3_500)
        self.assertEqual(self.book.min_version(9_000, "m"), 2)

    def test_an_older_name_changes_nothing(self):
        self.assertTrue(self.book.set_target(0, WeightTarget("m", 3)))
        self.assertFalse(self.book.set_target(0, WeightTarget("m", 2)))
        self.assertEqual(self.book.newest("m"), 3)

    def test_what_a_node_finds_at_its_start_may_be_long_named(self):
        self.book.set_target(0, WeightTarget("m", 2), at_start=True)
        self.assertEqual(self.book.min_version(2_500, "m"), 2)

    def test_a_model_that_nobody_named(self):
        self.assertEqual(
            (self.book.newest("m"), self.book.min_version(0, "m")), (None, 0)
        )
