"""The versions at which the streams of a service may have begun."""

import unittest

from fireflyward.streams import SoftwareVersions
from fireflyward.streams._versions import STREAM_LIFETIME_MS


class SoftwareVersionsTests(unittest.TestCase):
    def setUp(self):
        self.versions = SoftwareVersions()
        self.versions.on_list(0, {"s": {"v1"}, "other": {"v7"}})

    def test_a_version_counts_as_long_as_its_streams_may_last(self):
        """Guards against streams of a version that was forgotten with its replicas."""
        self.versions.on_list(1_000, {"s": {"v2"}})
        self.assertEqual(self.versions.recent(1_000, "s"), {"v1", "v2"})
        end_ms = 1_000 + STREAM_LIFETIME_MS
        self.assertEqual(self.versions.recent(end_ms, "s"), {"v1", "v2"})
        self.assertEqual(self.versions.recent(end_ms + 1, "s"), {"v2"})

    def test_a_version_that_comes_back_counts_without_end(self):
        self.versions.on_list(1_000, {"s": {"v2"}})
        self.versions.on_list(2_000, {"s": {"v1", "v2"}})
        late_ms = 3_000 + STREAM_LIFETIME_MS
        self.assertEqual(self.versions.recent(late_ms, "s"), {"v1", "v2"})

    def test_the_second_version_of_a_service_is_reported_once(self):
        listed = {"s": {"v1", "v2"}, "other": {"v7"}}
        self.assertEqual(self.versions.on_list(1, listed), ["s"])
        self.assertEqual(self.versions.on_list(2, listed), [])

    def test_a_second_version_that_was_told_before_is_reported(self):
        """Guards against earlier streams that are told to nobody.

        Another node may tell of the second version before this node's list has it.
        """
        self.versions.on_told(1, "s", ["v2"])
        self.assertEqual(self.versions.on_list(2, {"s": {"v1", "v2"}}), ["s"])

    def test_a_service_is_reported_again_after_it_had_one_version(self):
        self.assertEqual(self.versions.on_list(1, {"s": {"v1", "v2"}}), ["s"])
        self.versions.on_list(2, {"s": {"v2"}})
        late_ms = 3 + STREAM_LIFETIME_MS
        self.assertEqual(self.versions.on_list(late_ms, {"s": {"v2"}}), [])
        self.assertEqual(self.versions.on_list(late_ms, {"s": {"v2", "v3"}}), ["s"])

    def test_a_version_told_by_another_node_counts(self):
        """Guards against a list that is behind the one of the node that told."""
        self.versions.on_told(5, "s", ["v1", "v2"])
        self.assertEqual(self.versions.recent(5, "s"), {"v1", "v2"})
        self.assertEqual(self.versions.recent(6 + STREAM_LIFETIME_MS, "s"), {"v1"})

    def test_a_version_counts_as_long_as_streams_of_others_may_last(self):
        """Guards against a version that is forgotten while streams begin at it."""
        self.versions.on_begun(0, "s", "v2")
        self.versions.on_begun(20_000, "s", "v2")
        end_ms = 20_000 + STREAM_LIFETIME_MS
        self.assertEqual(self.versions.recent(end_ms, "s"), {"v1", "v2"})
        self.assertEqual(self.versions.recent(end_ms + 1, "s"), {"v1"})

    def test_an_old_stream_does_not_shorten_how_long_its_version_counts(self):
        self.versions.on_begun(20_000, "s", "v2")
        self.versions.on_begun(0, "s", "v2")
        end_ms = 20_000 + STREAM_LIFETIME_MS
        self.assertEqual(self.versions.recent(end_ms, "s"), {"v1", "v2"})

    def test_what_others_told_is_not_known_at_first_hand(self):
        """Guards against nodes that remind each other of a version without end."""
        self.versions.on_told(5, "s", ["v2"])
        self.versions.on_begun(5, "s", "v3")
        self.assertEqual(self.versions.first_hand(5, "s"), {"v1", "v3"})
        self.assertEqual(self.versions.recent(5, "s"), {"v1", "v2", "v3"})

    def test_services_do_not_share_versions(self):
        self.assertEqual(self.versions.recent(0, "other"), {"v7"})
        self.assertEqual(self.versions.recent(0, "unlisted"), frozenset())


if __name__ == "__main__":
    unittest.main()
