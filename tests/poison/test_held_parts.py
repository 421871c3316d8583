"""Parts that are held back, and their trials."""

import unittest

from fireflyward.poison import HeldParts, PartOnTrial
from fireflyward.poison._crash_log import CrashLog
from fireflyward.quarantine import Free, Held

BAD = 7
_SOON_MS = 20_000
_LATER_MS = 600_000
_LAST_MS = 3_600_000
_DAY_MS = 24 * 3_600_000


class HeldPartsTests(unittest.TestCase):
    def setUp(self):
        self.held = HeldParts()

    def verdict(self, now_ms, parts=(BAD,)):
        return self.held.verdict(now_ms, parts)

    def test_prompts_without_the_part_pass(self):
        self.held.hold(0, BAD, crashes=3)
        self.assertEqual(self.verdict(0, (1, 2)), Free())
        self.assertIsInstance(self.verdict(0, (1, BAD)), Held)

    def test_little_evidence_is_tried_soon_and_much_later(self):
        self.held.hold(0, BAD, crashes=3)
        self.assertEqual(self.verdict(_SOON_MS), PartOnTrial(BAD))
        self.held.by_part[BAD].crashes = 5
        self.assertIsInstance(self.verdict(_SOON_MS), Held)
        self.assertEqual(self.verdict(_LATER_MS), PartOnTrial(BAD))

    def test_a_part_that_had_answers_is_tried_soon(self):
        """Guards against ten minutes without a route for a wrong verdict."""
        self.held.hold(0, BAD, crashes=9, had_answers=True)
        self.assertEqual(self.verdict(_SOON_MS), PartOnTrial(BAD))

    def test_trials_are_limited(self):
        """Guards against more than three crashes by trials."""
        self.held.hold(0, BAD, crashes=3)
        now_ms, trials = 0, 0
        for wait_ms in (_SOON_MS, _LATER_MS, _LAST_MS):
            now_ms += wait_ms
            self.assertEqual(self.verdict(now_ms), PartOnTrial(BAD))
            trials += 1
            self.held.hold(now_ms, BAD, crashes=3 + trials, trials=trials)
            self.assertIsInstance(self.verdict(now_ms), Held)
        self.assertIsInstance(self.verdict(now_ms + _DAY_MS), Held)

    def test_a_provisional_hold_is_tried_at_once(self):
        """Guards against ten minutes without a route for crashes that nobody knows."""
        self.held.hold(0, BAD, crashes=9, is_provisional=True)
        self.assertIsInstance(self.verdict(1_999), Held)
        self.assertEqual(self.verdict(2_000), PartOnTrial(BAD))

    def test_a_trial_waits_for_calm_for_a_limited_time(self):
        """Guards against a part that is held for as long as some replica crashes."""
        self.held.hold(0, BAD, crashes=9, is_provisional=True)
        for now_ms in range(0, 20_000, 500):
            self.held.on_crash(now_ms)
            self.assertIsInstance(self.verdict(now_ms), Held)
        self.held.on_crash(20_000)
        self.assertEqual(self.verdict(20_000), PartOnTrial(BAD))

    def test_a_verdict_with_knowledge_replaces_a_provisional_one(self):
        self.held.hold(0, BAD, crashes=5, is_provisional=True)
        self.held.hold(0, BAD, crashes=5)
        self.assertIsInstance(self.verdict(_SOON_MS), Held)

    def test_a_part_that_no_request_has_is_forgotten(self):
        self.held.hold(0, BAD, crashes=3)
        self.assertEqual(self.held.unused(_DAY_MS), [])
        self.assertEqual(self.held.unused(_DAY_MS + 1), [BAD])

    def test_memory_is_bounded(self):
        for part in range(2_000):
            self.held.hold(part, part, crashes=3)
        self.assertLessEqual(len(self.held), 1_000)
        self.assertIn(1_999, self.held.by_part)


class CrashLogTests(unittest.TestCase):
    def test_memory_is_bounded(self):
        log = CrashLog()
        for number in range(600):
            log.add(number, number, dict.fromkeys(range(3_000), 1))
        recent = log.recent(600)
        self.assertLessEqual(len(recent), 256)
        self.assertLessEqual(len(recent[0].requests_by_part), 1_000)
        self.assertEqual(recent[-1].at_ms, 599)

    def test_old_crashes_do_not_count(self):
        log = CrashLog()
        log.add(0, 1, {BAD: 1})
        log.add(200_000, 2, {BAD: 1})
        self.assertEqual([item.at_ms for item in log.recent(300_001)], [200_000])


if __name__ == "__main__":
    unittest.main()
