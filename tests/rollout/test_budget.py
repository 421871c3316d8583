import unittest

from fireflyward.rollout import LoadBudget


class BudgetTests(unittest.TestCase):
    def test_rate_limit_applies_across_successive_drivers(self):
        """Guards against loads that exceed the rate limit of the weight store.

        The driver changes every few seconds, and each one started with a full bucket.
        """
        acquired = 0
        for start_ms in range(0, 60_000, 5_000):
            budget = LoadBudget(per_minute=30, now_ms=start_ms)
            acquired += sum(
                budget.try_acquire(now_ms)
                for now_ms in range(start_ms, start_ms + 5_000, 50)
            )
        self.assertLessEqual(acquired, 30)
        self.assertGreaterEqual(acquired, 20)

    def test_burst_is_two_loads(self):
        budget = LoadBudget(per_minute=600, now_ms=0)
        self.assertEqual(
            [budget.try_acquire(60_000) for _ in range(3)], [True, True, False]
        )
