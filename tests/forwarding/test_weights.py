"""Older weights may begin to run requests for a limited time."""

import unittest

from fireflyward.deployment import WeightTarget
from fireflyward.forwarding import WeightVersions


class WeightTests(unittest.TestCase):
    def setUp(self):
        self.versions = WeightVersions(version_ms=12_000)

    def test_a_newer_version_does_not_extend_the_limit_of_the_first(self):
        """Guards against a request that begins on weights that were replaced 12 s ago.

        A second version is named before all replicas have loaded the first, and the
        node no longer has the time at which the first was named.
        """
        self.versions.set_target(0, WeightTarget("m", 2))
        self.versions.set_target(4_000, WeightTarget("m", 3))
        self.assertEqual(self.versions.min_version(8_499, "m"), 0)
        self.assertEqual(self.versions.min_version(8_500, "m"), 2)
        self.assertEqual(self.versions.min_version(12_500, "m"), 3)

    def test_the_limit_includes_the_wait_in_a_replicas_queue(self):
        """Guards against a request that begins on weights that were replaced 12 s ago.

        The request was sent in time, but waited more than two seconds in the replica's
        queue.
        """
        self.versions.set_target(0, WeightTarget("m", 2))
        self.assertLessEqual(12_000 - 8_500, 3_500)
        self.assertEqual(self.versions.min_version(9_000, "m"), 2)

    def test_an_older_version_changes_nothing(self):
        self.assertTrue(self.versions.set_target(0, WeightTarget("m", 3)))
        self.assertFalse(self.versions.set_target(0, WeightTarget("m", 2)))
        self.assertEqual(self.versions.newest("m"), 3)

    def test_a_version_found_at_startup_may_have_been_named_long_ago(self):
        self.versions.set_target(0, WeightTarget("m", 2), at_start=True)
        self.assertEqual(self.versions.min_version(2_500, "m"), 2)

    def test_a_model_without_a_named_version(self):
        self.assertEqual(
            (self.versions.newest("m"), self.versions.min_version(0, "m")), (None, 0)
        )
