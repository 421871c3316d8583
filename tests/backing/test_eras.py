"""Detecting answers and conditions of an earlier era."""

import unittest

from fireflyward.backing import Eras, Position


class ErasTests(unittest.TestCase):
    def setUp(self):
        self.eras = Eras()
        self.new_eras = []
        self.eras.on_new_era = lambda: self.new_eras.append(self.eras.latest)

    def test_first_era_is_not_a_new_era(self):
        self.eras.era_of_answer(7)
        self.assertEqual((self.eras.latest, self.new_eras), (7, []))

    def test_each_later_era_is_reported_once(self):
        for era in (1, 2, 1, 2, 3):
            self.eras.era_of_answer(era)
        self.assertEqual(self.new_eras, [2, 3])

    def test_first_era_after_answers_without_an_era_is_a_new_era(self):
        self.eras.era_of_answer(None)
        self.eras.era_of_answer(1)
        self.assertEqual(self.new_eras, [1])

    def test_answer_of_an_earlier_era_is_outdated(self):
        self.eras.observe(2)
        self.assertEqual(self.eras.era_of_answer(1), 1)
        self.assertTrue(self.eras.is_outdated(1))
        self.assertFalse(self.eras.is_outdated(2))

    def test_one_condition_of_an_earlier_era_is_enough(self):
        self.eras.observe(2)
        conditions = [Position(2, 4), Position(1, 9)]
        self.assertTrue(self.eras.may_match_reused_version(conditions))
        self.assertFalse(self.eras.may_match_reused_version(conditions[:1]))

    def test_implausible_era_is_rejected(self):
        """Guards against one answer after which all later ones count as outdated."""
        self.eras.observe(2)
        with self.assertLogs("fireflyward.store", "ERROR"):
            self.assertEqual(self.eras.era_of_answer(99_999), 2)
        self.assertFalse(self.eras.is_outdated(2))
