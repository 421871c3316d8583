"""Records of streams, and the nodes that hold them."""

import unittest
from unittest import mock

from fireflyward.aggregators import Member
from fireflyward.streams import StreamStarts, choose_holders, stream_key
from fireflyward.streams._versions import STREAM_LIFETIME_MS


class StreamStartsTests(unittest.TestCase):
    def setUp(self):
        self.starts = StreamStarts()

    def test_a_record_lasts_as_long_as_its_stream_may(self):
        self.starts.add(0, "s", "v1", 7, is_own=True)
        self.assertEqual(self.starts.find(STREAM_LIFETIME_MS, 7), "v1")
        self.assertIsNone(self.starts.find(STREAM_LIFETIME_MS + 1, 7))

    def test_the_first_record_of_a_stream_stays(self):
        """Guards against a try that replaces the version of the first one."""
        self.starts.add(0, "s", "v1", 7, is_own=True)
        self.starts.add(1, "s", "v2", 7, is_own=False)
        self.assertEqual(self.starts.find(1, 7), "v1")

    def test_memory_is_bounded(self):
        with mock.patch("fireflyward.streams._starts._MAX_STREAMS", 10):
            for key in range(100):
                self.starts.add(key, "s", "v1", key, is_own=True)
        self.assertLessEqual(len(self.starts), 10)
        self.assertEqual(self.starts.find(100, 99), "v1")

    def test_only_own_streams_of_the_services_are_told(self):
        self.starts.add(0, "s", "v1", 1, is_own=True)
        self.starts.add(0, "s", "v1", 2, is_own=False)
        self.starts.add(0, "t", "v1", 3, is_own=True)
        self.assertEqual(self.starts.own_by_software(0, ["s"]), {("s", "v1"): [1]})


class HoldersTests(unittest.TestCase):
    def members(self, count, domains=3):
        return [
            Member(f"n{number}", f"d{number % domains}", ("127.0.0.1", number), 1.0)
            for number in range(count)
        ]

    def test_all_nodes_compute_the_same_holders(self):
        members = self.members(350, 5)
        for request in ("q1", "q2", "q3"):
            key = stream_key("acme", request)
            first = choose_holders(key, members)
            self.assertEqual(first, choose_holders(key, members[::-1]))

    def test_holders_are_in_different_failure_domains(self):
        """Guards against a record that is lost with one failure domain."""
        for key in range(50):
            chosen = choose_holders(key, self.members(9))
            self.assertEqual(len({item.failure_domain for item in chosen}), 3)

    def test_few_domains_or_nodes_still_hold_a_record(self):
        self.assertEqual(len(choose_holders(1, self.members(9, 1))), 3)
        self.assertEqual(len(choose_holders(1, self.members(2))), 2)
        self.assertEqual(choose_holders(1, []), [])


if __name__ == "__main__":
    unittest.main()
