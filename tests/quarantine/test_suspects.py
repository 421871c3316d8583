import unittest

from fireflyward.quarantine import Free, Held, OnTrial, SuspectRow, Suspects

HOUR_MS = 3_600_000


class SuspectTests(unittest.TestCase):
    def setUp(self):
        self.suspects = Suspects()

    def crash(self, start, *fingerprints, now_ms=0):
        for fingerprint in fingerprints:
            self.suspects.on_crashes(now_ms, fingerprint, [start])

    def verdict(self, fingerprint, now_ms=1_000):
        return self.suspects.verdict(now_ms, fingerprint)

    def test_two_crashes_do_not_hold_a_request(self):
        self.crash(1, "a")
        self.crash(2, "a")
        self.assertEqual(self.verdict("a"), Free())
        self.assertEqual(self.verdict("unheard of"), Free())

    def test_the_same_crash_reported_three_times_counts_once(self):
        for _ in range(3):
            self.crash(1, "a")
        self.assertEqual(self.verdict("a"), Free())

    def test_the_third_crash_holds_a_request(self):
        """Guards against one request that crashes replica after replica.

        The request is repeated under new ids and sent to a replica each time. Other
        requests were in flight at the same time, each at one of the crashes.
        """
        for start in (1, 2, 3):
            self.crash(start, "deadly", f"beside-{start}")
        self.assertIsInstance(self.verdict("deadly"), Held)
        for start in (1, 2, 3):
            self.assertEqual(self.verdict(f"beside-{start}"), Free())

    def test_two_requests_with_the_same_three_crashes_are_tried(self):
        """Guards against rejecting a harmless request for an hour.

        The harmless request was in flight at each of the three crashes that another
        request caused.
        """
        for start in (1, 2, 3):
            self.crash(start, "deadly", "beside")
        self.assertEqual(self.verdict("deadly"), OnTrial())
        self.assertEqual(self.verdict("beside"), OnTrial())

    def test_a_further_crash_distinguishes_two_requests(self):
        for start in (1, 2, 3):
            self.crash(start, "deadly", "beside")
        self.crash(4, "deadly")
        self.assertIsInstance(self.verdict("deadly"), Held)
        self.assertEqual(self.verdict("beside"), OnTrial())

    def test_the_number_of_trials_is_limited(self):
        for start in (1, 2, 3):
            self.crash(start, "deadly", "beside")
        self.suspects.on_row(1_000, "deadly", SuspectRow((1, 2, 3), trials=2))
        self.assertIsInstance(self.verdict("deadly"), Held)

    def test_a_trial_that_did_not_count_may_be_repeated(self):
        for start in (1, 2, 3):
            self.crash(start, "deadly", "beside")
        self.suspects.on_row(1_000, "beside", SuspectRow((1, 2, 3), trials=2))
        self.suspects.on_row(1_100, "beside", SuspectRow((1, 2, 3), trials=1))
        self.assertEqual(self.verdict("beside", 1_200), OnTrial())

    def test_an_answer_clears_a_request(self):
        for start in (1, 2, 3):
            self.crash(start, "a")
        self.assertEqual(self.suspects.clear("a"), frozenset((1, 2, 3)))
        self.assertEqual(self.verdict("a"), Free())
        self.assertEqual(self.suspects.held, 0)

    def test_late_announcements_of_cleared_crashes_change_nothing(self):
        for start in (1, 2, 3):
            self.crash(start, "a")
        self.suspects.clear("a")
        for start in (1, 2, 3):
            self.crash(start, "a", now_ms=2_000)
        self.assertEqual(self.verdict("a", 3_000), Free())

    def test_a_held_request_is_tried_after_an_hour_then_after_two(self):
        for start in (1, 2, 3):
            self.crash(start, "a")
        self.assertIsInstance(self.verdict("a", HOUR_MS - 1), Held)
        self.assertEqual(self.verdict("a", HOUR_MS), OnTrial())
        self.suspects.on_row(HOUR_MS, "a", SuspectRow((1, 2, 3), trials=1))
        self.assertIsInstance(self.verdict("a", 3 * HOUR_MS - 1), Held)
        self.assertEqual(self.verdict("a", 3 * HOUR_MS), OnTrial())

    def test_a_held_request_has_a_retry_time(self):
        for start in (1, 2, 3):
            self.crash(start, "a")
        self.assertEqual(self.verdict("a", 600_000).retry_after_ms, HOUR_MS - 600_000)

    def test_a_row_alone_holds_a_request(self):
        """Guards against further replicas that a request crashes after a power failure.

        All nodes lost power, and the crashes that the request had caused were stored
        only in the memory of the nodes.
        """
        self.suspects.on_row(0, "a", SuspectRow((1, 2, 3)))
        self.assertIsInstance(self.verdict("a"), Held)

    def test_a_suspect_is_written_from_the_second_crash_on(self):
        self.crash(1, "a")
        self.assertFalse(self.suspects.needs_write("a"))
        self.crash(2, "a")
        self.assertTrue(self.suspects.needs_write("a"))
        self.suspects.on_row(0, "a", self.suspects.row_of("a"))
        self.assertFalse(self.suspects.needs_write("a"))
        self.crash(3, "a")
        self.assertTrue(self.suspects.needs_write("a"))

    def test_a_row_and_own_crashes_add_up(self):
        self.crash(3, "a")
        self.suspects.on_row(0, "a", SuspectRow((1, 2)))
        self.assertIsInstance(self.verdict("a"), Held)
        self.assertTrue(self.suspects.needs_write("a"))

    def test_two_requests_that_crash_different_replicas_are_both_held(self):
        for start in (1, 2, 3):
            self.crash(start, "one")
            self.crash(start + 10, "other")
        self.crash(4, "one")
        self.assertIsInstance(self.verdict("one"), Held)
        self.assertIsInstance(self.verdict("other"), Held)

    def test_a_request_that_is_not_repeated_is_dropped(self):
        self.crash(1, "seldom")
        for start in (1, 2, 3):
            self.crash(start, "held")
        self.suspects.on_row(0, "held", self.suspects.row_of("held"))
        self.assertEqual(self.suspects.forget(2 * HOUR_MS), [])
        self.assertEqual(len(self.suspects), 1)
        self.assertEqual(self.suspects.forget(25 * HOUR_MS), ["held"])
        self.assertEqual(len(self.suspects), 0)

    def test_memory_is_bounded(self):
        for number in range(12_000):
            self.crash(number, f"f{number}")
        self.assertEqual(len(self.suspects), 10_000)
