import unittest

from fireflyward.presence import Absences

_PERIOD_MS = 1_000


class AbsencesTests(unittest.TestCase):
    def setUp(self):
        self.absences = Absences()
        self.now_ms = 0

    def ask(self, names, *, until_ms, answers):
        """Ask each second; ``answers`` returns whether a node answers at a time."""
        asked = 0
        while self.now_ms < until_ms:
            for name in self.absences.to_ask(self.now_ms, names, period_ms=_PERIOD_MS):
                asked += 1
                self.absences.on_asked(self.now_ms, name)
                if answers(name, self.now_ms):
                    self.absences.on_answer(self.now_ms, name)
            self.now_ms += _PERIOD_MS
        self.found = self.absences.absent(self.now_ms, names)
        return asked

    def test_a_node_that_has_gone_is_found_after_two_minutes(self):
        self.ask("ab", until_ms=120_000, answers=lambda name, now_ms: name == "a")
        self.assertEqual(self.found, [])
        self.ask("ab", until_ms=150_000, answers=lambda name, now_ms: name == "a")
        self.assertEqual(self.found, ["b"])

    def test_a_node_that_comes_back_within_a_minute_keeps_its_row(self):
        """Guards against budgets that are divided by too few nodes during a release."""

        def answers(name, now_ms):
            return name == "a" or not 40_000 <= now_ms < 100_000

        for until_ms in range(10_000, 400_000, 10_000):
            self.ask("ab", until_ms=until_ms, answers=answers)
            self.assertEqual(self.found, [])

    def test_no_node_is_absent_if_none_answers(self):
        """Guards against a node without links that ends the rows of all others."""
        self.ask("abc", until_ms=400_000, answers=lambda name, now_ms: False)
        self.assertEqual(self.found, [])

    def test_lost_datagrams_make_no_node_absent(self):
        """Guards against ended rows of nodes behind a link that loses two of three."""
        answered = {"a": 0, "b": 0}

        def answers(name, now_ms):
            answered[name] += 1
            return answered[name] % 3 == 0

        for until_ms in range(10_000, 900_000, 10_000):
            self.ask("ab", until_ms=until_ms, answers=answers)
            self.assertEqual(self.found, [])

    def test_questions_to_many_nodes_are_spread(self):
        """Guards against 350 answers that arrive at one node at the same time."""
        names = [f"n{number}" for number in range(350)]
        asked = self.ask(names, until_ms=30_000, answers=lambda name, now_ms: True)
        self.assertEqual(asked, len(names))
        burst = self.absences.to_ask(self.now_ms, names, period_ms=_PERIOD_MS)
        self.assertLessEqual(len(burst), 12)

    def test_nothing_is_known_after_a_reset(self):
        """Guards against a new holder that counts silence before it held the lease."""
        self.ask("ab", until_ms=119_000, answers=lambda name, now_ms: name == "a")
        self.absences.reset()
        self.ask("ab", until_ms=200_000, answers=lambda name, now_ms: name == "a")
        self.assertEqual(self.found, [])
