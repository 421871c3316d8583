import unittest

from fireflyward.quarantine import Free, Held, OnTrial, SuspectRow, Suspects

HOUR_MS = 3_600_000


class SuspectTests(unittest.TestCase):
    def setUp(self):
        self.suspects = Suspects()

    def end(self, start, *fingerprints, now_ms=0):
        for fingerprint in fingerprints:
            self.suspects.on_ends(now_ms, fingerprint, [start])

    def verdict(self, fingerprint, now_ms=1_000):
        return self.suspects.verdict(now_ms, fingerprint)

    def test_two_ends_are_chance(self):
        self.end(1, "a")
        self.end(2, "a")
        self.assertEqual(self.verdict("a"), Free())
        self.assertEqual(self.verdict("unheard of"), Free())

    def test_the_same_end_told_thrice_is_one(self):
        for _ in range(3):
            self.end(1, "a")
        self.assertEqual(self.verdict("a"), Free())

    def test_the_third_end_holds_it(self):
        """Symptom: one request ends replica after replica.

        It comes again under new ids and is sent on each time; others were under way
        beside it, each at one of the ends.
        """
        for start in (1, 2, 3):
            self.end(start, "deadly", f"beside-{start}")
        self.assertIsInstance(self.verdict("deadly"), Held)
        for start in (1, 2, 3):
            self.assertEqual(self.verdict(f"beside-{start}"), Free())

    def test_two_at_the_same_three_ends_are_tried(self):
        """Symptom: a harmless request is refused for an hour.

        It was under way beside the deadly one at each of the three ends.
        """
        for start in (1, 2, 3):
            self.end(start, "deadly", "beside")
        self.assertEqual(self.verdict("deadly"), OnTrial())
        self.assertEqual(self.verdict("beside"), OnTrial())

    def test_a_further_end_tells_them_apart(self):
        for start in (1, 2, 3):
            self.end(start, "deadly", "beside")
        self.end(4, "deadly")
        self.assertIsInstance(self.verdict("deadly"), Held)
        self.assertEqual(self.verdict("beside"), OnTrial())

    def test_trials_are_few(self):
        for start in (1, 2, 3):
            self.end(start, "deadly", "beside")
        self.suspects.on_row(1_000, "deadly", SuspectRow((1, 2, 3), trials=2))
        self.assertIsInstance(self.verdict("deadly"), Held)

    def test_a_trial_that_is_given_back_may_be_had_again(self):
        for start in (1, 2, 3):
            self.end(start, "deadly", "beside")
        self.suspects.on_row(1_000, "beside", SuspectRow((1, 2, 3), trials=2))
        self.suspects.on_row(1_100, "beside", SuspectRow((1, 2, 3), trials=1))
        self.assertEqual(self.verdict("beside", 1_200), OnTrial())

    def test_an_answer_clears_it(self):
        for start in (1, 2, 3):
            self.end(start, "a")
        self.assertEqual(self.suspects.clear("a"), frozenset((1, 2, 3)))
        self.assertEqual(self.verdict("a"), Free())
        self.assertEqual(self.suspects.held, 0)

    def test_late_news_of_forgiven_ends_changes_nothing(self):
        for start in (1, 2, 3):
            self.end(start, "a")
        self.suspects.clear("a")
        for start in (1, 2, 3):
            self.end(start, "a", now_ms=2_000)
        self.assertEqual(self.verdict("a", 3_000), Free())

    def test_a_held_one_is_tried_after_an_hour_then_after_two(self):
        for start in (1, 2, 3):
            self.end(start, "a")
        self.assertIsInstance(self.verdict("a", HOUR_MS - 1), Held)
        self.assertEqual(self.verdict("a", HOUR_MS), OnTrial())
        self.suspects.on_row(HOUR_MS, "a", SuspectRow((1, 2, 3), trials=1))
        self.assertIsInstance(self.verdict("a", 3 * HOUR_MS - 1), Held)
        self.assertEqual(self.verdict("a", 3 * HOUR_MS), OnTrial())

    def test_held_tells_when_to_come_back(self):
        for start in (1, 2, 3):
            self.end(start, "a")
        self.assertEqual(self.verdict("a", 600_000).retry_after_ms, HOUR_MS - 600_000)

    def test_a_row_alone_holds_it(self):
        """Symptom: all nodes lose power, and the request goes on to end replicas.

        What was known of it was known in their memories only.
        """
        self.suspects.on_row(0, "a", SuspectRow((1, 2, 3)))
        self.assertIsInstance(self.verdict("a"), Held)

    def test_the_table_is_told_from_the_second_end_on(self):
        self.end(1, "a")
        self.assertFalse(self.suspects.needs_writing("a"))
        self.end(2, "a")
        self.assertTrue(self.suspects.needs_writing("a"))
        self.suspects.on_row(0, "a", self.suspects.row_of("a"))
        self.assertFalse(self.suspects.needs_writing("a"))
        self.end(3, "a")
        self.assertTrue(self.suspects.needs_writing("a"))

    def test_a_row_and_own_ends_add_up(self):
        self.end(3, "a")
        self.suspects.on_row(0, "a", SuspectRow((1, 2)))
        self.assertIsInstance(self.verdict("a"), Held)
        self.assertTrue(self.suspects.needs_writing("a"))

    def test_two_deadly_ones_at_different_replicas_are_both_held(self):
        for start in (1, 2, 3):
            self.end(start, "one")
            self.end(start + 10, "other")
        self.end(4, "one")
        self.assertIsInstance(self.verdict("one"), Held)
        self.assertIsInstance(self.verdict("other"), Held)

    def test_what_is_not_asked_again_is_forgotten(self):
        self.end(1, "seldom")
        for start in (1, 2, 3):
            self.end(start, "held")
        self.suspects.on_row(0, "held", self.suspects.row_of("held"))
        self.assertEqual(self.suspects.forget(2 * HOUR_MS), [])
        self.assertEqual(len(self.suspects), 1)
        self.assertEqual(self.suspects.forget(25 * HOUR_MS), ["held"])
        self.assertEqual(len(self.suspects), 0)

    def test_memory_is_bounded(self):
        for number in range(12_000):
            self.end(number, f"f{number}")
        self.assertEqual(len(self.suspects), 10_000)
