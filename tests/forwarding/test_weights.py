"""Older weights may begin to run requests for a limited time."""

import unittest

from fireflyward.deployment import WeightTarget
from fireflyward.forwarding import WeightVersions


class WeightTests(unittest.TestCase):
    def setUp(self):
        self.versions = WeightVersions(version_ms=12_000)

    def name(self, version, *, confirmed_ms, heard_ms=None):
        """Name a version that the table last lacked at ``confirmed_ms``."""
        self.versions.confirm(confirmed_ms)
        heard_ms = confirmed_ms if heard_ms is None else heard_ms
        return self.versions.set_target(heard_ms, WeightTarget("m", version))

    def test_a_newer_version_does_not_extend_the_limit_of_the_first(self):
        """Guards against a request that begins on weights that were replaced 12 s ago.

        A second version is named before all replicas have loaded the first, and the
        node no longer has the time at which the first was named.
        """
        self.name(2, confirmed_ms=0)
        self.name(3, confirmed_ms=4_000)
        self.assertEqual(self.versions.min_version(8_499, "m"), 0)
        self.assertEqual(self.versions.min_version(8_500, "m"), 2)
        self.assertEqual(self.versions.min_version(12_500, "m"), 3)

    def test_the_limit_includes_the_wait_in_a_replicas_queue(self):
        """Guards against a request that begins on weights that were replaced 12 s ago.

        The request was sent in time, but waited more than two seconds in the replica's
        queue.
        """
        self.name(2, confirmed_ms=0)
        self.assertLessEqual(12_000 - 8_500, 3_500)
        self.assertEqual(self.versions.min_version(9_000, "m"), 2)

    def test_an_older_version_changes_nothing(self):
        self.assertTrue(self.name(3, confirmed_ms=0))
        self.assertFalse(self.name(2, confirmed_ms=0))
        self.assertEqual(self.versions.newest("m"), 3)

    def test_a_version_found_at_startup_may_have_been_named_long_ago(self):
        self.versions.set_target(0, WeightTarget("m", 2))
        self.assertEqual(self.versions.min_version(0, "m"), 2)

    def test_a_version_heard_of_late_counts_from_the_last_reading_without_it(self):
        """Guards against 12 s that begin when a node hears of a version."""
        self.name(2, confirmed_ms=1_000, heard_ms=9_000)
        self.assertEqual(self.versions.min_version(9_499, "m"), 0)
        self.assertEqual(self.versions.min_version(9_500, "m"), 2)

    def test_a_version_that_was_never_read_may_have_been_named_first(self):
        """Guards against the limit of the last of two versions of one standstill."""
        self.name(2, confirmed_ms=0)
        self.versions.confirm(100_000)
        self.name(4, confirmed_ms=200_000, heard_ms=206_000)
        self.assertEqual(self.versions.min_version(206_000, "m"), 2)
        self.assertFalse(self.versions.may_get_requests(208_500, "m", 2))
        self.assertFalse(self.versions.may_get_requests(208_500, "m", 3))

    def test_evidence_of_another_node_extends_what_is_known_at_a_start(self):
        self.versions.set_target(5_000, WeightTarget("m", 2))
        self.assertFalse(self.versions.may_get_requests(5_000, "m", 1))
        self.versions.history.on_evidence("m", 1, 3_000)
        self.assertTrue(self.versions.may_get_requests(11_499, "m", 1))
        self.assertFalse(self.versions.may_get_requests(11_500, "m", 1))

    def test_older_evidence_changes_nothing(self):
        self.name(2, confirmed_ms=3_000)
        self.assertFalse(self.versions.history.on_evidence("m", 1, 2_000))
        self.assertFalse(self.versions.history.on_evidence("m", 2, 9_000))
        self.assertEqual(self.versions.min_version(11_500, "m"), 2)

    def test_evidence_from_after_the_reading_of_a_newer_version_is_wrong(self):
        """Guards against one node that lets all others serve older weights again."""
        self.name(2, confirmed_ms=1_000, heard_ms=2_000)
        self.assertFalse(self.versions.history.on_evidence("m", 1, 50_000))
        self.assertFalse(self.versions.may_get_requests(50_000, "m", 1))

    def test_a_request_may_wait_longer_than_it_may_be_sent(self):
        self.name(2, confirmed_ms=0)
        self.assertEqual(self.versions.min_waiting_version(11_499, "m"), 0)
        self.assertEqual(self.versions.min_waiting_version(11_500, "m"), 2)

    def test_records_are_forgotten_and_the_limit_stays(self):
        self.name(2, confirmed_ms=0)
        self.versions.confirm(61_000)
        self.assertEqual(self.versions.history.models_being_replaced(), [])
        self.assertEqual(self.versions.min_version(61_000, "m"), 2)

    def test_a_model_without_a_named_version(self):
        self.assertEqual(
            (self.versions.newest("m"), self.versions.min_version(0, "m")), (None, 0)
        )
