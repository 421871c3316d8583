import unittest

from fireflyward.quarantine import Cuts


class CutTests(unittest.TestCase):
    def setUp(self):
        self.cuts = Cuts()

    def test_a_cut_alone_blames_nobody(self):
        self.assertEqual(self.cuts.on_cut(0, "a", 1), ())

    def test_an_end_blames_what_was_cut_there(self):
        self.cuts.on_cut(0, "a", 1)
        self.cuts.on_cut(1, "b", 1)
        self.cuts.on_cut(1, "c", 2)
        self.assertEqual(sorted(self.cuts.on_end(3, 1)), ["a", "b"])

    def test_whatever_is_noticed_after_the_end_is_blamed_too(self):
        self.cuts.on_end(0, 1)
        self.assertEqual(self.cuts.on_cut(1, "a", 1), ("a",))

    def test_one_end_blames_once(self):
        self.cuts.on_cut(0, "a", 1)
        self.cuts.on_end(1, 1)
        self.assertEqual(self.cuts.on_end(2, 1), ())

    def test_what_was_cut_long_before_the_end_was_not_under_way(self):
        """Symptom: a request is held though the replicas that it was at were sound.

        Connections to them broke, and each was replaced a minute later.
        """
        self.cuts.on_cut(0, "a", 1)
        self.assertEqual(self.cuts.on_end(60_000, 1), ())

    def test_an_entry_lapses_within_that_time(self):
        self.cuts.on_cut(0, "a", 1)
        self.assertEqual(self.cuts.on_end(3_700, 1), ("a",))
