"""How long a call may take, by the times of earlier ones."""

import unittest

from fireflyward.feeds._call_limit import MAX_OVERHEAD_MS, CallLimit


class CallLimitTests(unittest.TestCase):
    def setUp(self):
        self.limit = CallLimit()

    def test_a_slow_store_has_the_time_that_it_needs(self):
        """Guards against a slow store that is taken for an unavailable one."""
        self.assertGreaterEqual(self.limit.overhead_ms(failures=0), 200)
        for overhead_ms in (100, 200, 400):
            self.limit.on_answer(overhead_ms)
            self.assertGreater(self.limit.overhead_ms(failures=0), overhead_ms)

    def test_a_store_that_turns_slow_at_once_has_more_time_after_a_failure(self):
        for failures in (2, 3, 60):
            limit_ms = self.limit.overhead_ms(failures=failures)
            self.assertEqual(limit_ms, MAX_OVERHEAD_MS)

    def test_a_store_that_is_fast_again_has_less_time_soon(self):
        """Guards against a pause of the process that prolongs later lost answers."""
        self.limit.on_answer(30_000)
        self.assertEqual(self.limit.overhead_ms(failures=0), MAX_OVERHEAD_MS)
        for _ in range(10):
            self.limit.on_answer(2)
        self.assertEqual(self.limit.overhead_ms(failures=0), 300)
