import unittest

from fireflyward.quarantine import Cuts


class CutTests(unittest.TestCase):
    def setUp(self):
        self.cuts = Cuts()

    def test_a_cut_without_a_crash_returns_no_request(self):
        self.assertEqual(self.cuts.on_cut(0, "a", 1), ())

    def test_a_crash_returns_the_requests_that_were_cut_there(self):
        self.cuts.on_cut(0, "a", 1)
        self.cuts.on_cut(1, "b", 1)
        self.cuts.on_cut(1, "c", 2)
        self.assertEqual(sorted(self.cuts.on_crash(3, 1)), ["a", "b"])

    def test_a_cut_after_the_crash_returns_the_request(self):
        self.cuts.on_crash(0, 1)
        self.assertEqual(self.cuts.on_cut(1, "a", 1), ("a",))

    def test_a_crash_returns_requests_only_once(self):
        self.cuts.on_cut(0, "a", 1)
        self.cuts.on_crash(1, 1)
        self.assertEqual(self.cuts.on_crash(2, 1), ())

    def test_a_request_cut_long_before_the_crash_was_not_in_flight(self):
        """Guards against holding a request whose replicas did not crash.

        Connections to the replicas that ran it broke, and each replica was replaced a
        minute later.
        """
        self.cuts.on_cut(0, "a", 1)
        self.assertEqual(self.cuts.on_crash(60_000, 1), ())

    def test_a_cut_counts_until_the_replica_s_entry_expires(self):
        self.cuts.on_cut(0, "a", 1)
        self.assertEqual(self.cuts.on_crash(3_700, 1), ("a",))
