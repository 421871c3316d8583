import random
import unittest

from fireflyward.backing import Breaker


class BreakerTests(unittest.TestCase):
    def setUp(self):
        self.breaker = Breaker(random.Random(1))

    def fail(self, now_ms, times=1):
        return [self.breaker.on_failure(now_ms) for _ in range(times)]

    def test_opens_after_failures_in_a_row_and_reports_it_once(self):
        self.assertEqual(self.fail(0, 2), [False, False])
        self.breaker.on_success(0)
        self.assertEqual(self.fail(0, 4), [False, False, True, False])
        self.assertFalse(self.breaker.may_call(100))

    def test_one_probe_at_a_time_after_the_wait(self):
        self.fail(0, 3)
        allowed = [self.breaker.may_call(1_000) for _ in range(5)]
        self.assertEqual(allowed, [True, False, False, False, False])

    def test_answered_probe_closes_the_breaker(self):
        self.fail(0, 3)
        self.breaker.may_call(1_000)
        self.assertTrue(self.breaker.on_success(1_010))
        self.assertTrue(self.breaker.may_call(1_010))

    def test_failed_probe_waits_longer_but_never_more_than_ten_seconds(self):
        self.fail(0, 3)
        now_ms = wait_ms = 0
        for _ in range(12):
            wait_start_ms = now_ms
            while not self.breaker.may_call(now_ms):
                now_ms += 10
            wait_ms = now_ms - wait_start_ms
            self.fail(now_ms)
        self.assertGreaterEqual(wait_ms, 5_000)
        self.assertLessEqual(wait_ms, 10_010)

    def test_probe_of_a_cancelled_caller_expires(self):
        """Guards against a node that never calls the table again.

        The caller whose request was the probe disconnected, and the probe never
        reported a result.
        """
        self.fail(0, 3)
        self.assertTrue(self.breaker.may_call(1_000))
        self.assertFalse(self.breaker.may_call(5_900))
        self.assertTrue(self.breaker.may_call(6_000))

    def test_late_failures_do_not_extend_the_wait(self):
        self.fail(0, 3)
        self.fail(1, 50)
        self.assertTrue(self.breaker.may_call(501))
