import unittest

import msgspec

from fireflyward.demo._demo import DemoReport

CLEAN = DemoReport(30, 30, 0, 0, 0, 0.4, {"p50": 1.0, "p95": 2.0}, 1, 1)


class DemoReportTests(unittest.TestCase):
    def test_only_a_run_without_lost_doubled_or_mixed_answers_is_clean(self):
        self.assertTrue(CLEAN.is_clean)
        for broken in ({"whole": 29}, {"lost": 1}, {"doubled": 1}, {"mixed": 1}):
            with self.subTest(broken):
                self.assertFalse(msgspec.structs.replace(CLEAN, **broken).is_clean)
