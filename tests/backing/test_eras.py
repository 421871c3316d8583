"""Which answers and conditions are of an earlier era."""

import unittest

from fireflyward.backing import Eras, Position


class ErasTests(unittest.TestCase):
    def setUp(self):
        self.eras = Eras()
        self.told = []
        self.eras.on_new_era = lambda: self.told.append(self.eras.latest)

    def test_the_first_era_is_no_new_one(self):
        self.eras.era_of_answer(7)
        self.assertEqual((self.eras.latest, self.told), (7, []))

    def test_a_later_one_is_told_once(self):
        for era in (1, 2, 1, 2, 3):
            self.eras.era_of_answer(era)
        self.assertEqual(self.told, [2, 3])

    def test_an_era_after_answers_that_told_none_is_a_new_one(self):
        self.eras.era_of_answer(None)
        self.eras.era_of_answer(1)
        self.assertEqual(self.told, [1])

    def test_an_answer_of_an_earlier_era_is_late(self):
        self.eras.observe(2)
        self.assertEqual(self.eras.era_of_answer(1), 1)
        self.assertTrue(self.eras.is_outdated(1))
        self.assertFalse(self.eras.is_outdated(2))

    def test_one_condition_of_an_earlier_era_is_enough(self):
        self.eras.observe(2)
        conditions = [Position(2, 4), Position(1, 9)]
        self.assertTrue(self.eras.may_match_reused_version(conditions))
        self.assertFalse(self.eras.may_match_reused_version(conditions[:1]))

    def test_a_number_that_cannot_be_a_count_of_drills_is_not_believed(self):
        """Guards against one answer that shuts out all later ones."""
        self.eras.observe(2)
        with self.assertLogs("fireflyward.store", "ERROR"):
            self.assertEqual(self.eras.era_of_answer(99_999), 2)
        self.assertFalse(self.eras.is_outdated(2))
