import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.peers._replay import Freshness, ReplayGuard


class ReplayGuardTests(unittest.TestCase):
    def setUp(self):
        self.guard = ReplayGuard()

    def check(self, sequence, incarnation=7):
        return self.guard.check("entry-1", incarnation, sequence)

    def test_reordered_frames_are_accepted_once(self):
        self.assertEqual(self.check(5), Freshness.NEW)
        self.assertEqual(self.check(3), Freshness.NEW)
        self.assertEqual(self.check(3), Freshness.REPEATED)
        self.assertEqual(self.check(5), Freshness.REPEATED)

    def test_frame_older_than_the_window_is_rejected(self):
        self.check(5_000)
        self.assertEqual(self.check(5_000 - 1_024), Freshness.REPEATED)
        self.assertEqual(self.check(5_000 - 1_023), Freshness.NEW)

    def test_restart_resets_the_window_and_rejects_the_earlier_incarnation(self):
        self.check(900)
        self.assertEqual(self.check(1, incarnation=8), Freshness.NEW)
        self.assertEqual(self.check(901), Freshness.BEHIND)
        self.assertEqual(self.guard.highest_incarnation("entry-1"), 8)

    def test_number_of_remembered_senders_is_bounded(self):
        for index in range(5_000):
            self.guard.check(f"entry-{index}", 1, 1)
        self.assertEqual(len(self.guard._window_by_sender), 4_096)

    @settings(max_examples=200, derandomize=True, database=None)
    @given(st.lists(st.integers(1, 3_000), max_size=60))
    def test_no_frame_is_accepted_twice(self, sequences):
        accepted = [number for number in sequences if self.is_new(number)]
        self.assertEqual(len(accepted), len(set(accepted)))
        self.guard = ReplayGuard()

    def is_new(self, number):
        return self.check(number) is Freshness.NEW
