"""Tests of the number of retries that one node may send."""

import unittest

from fireflyward.retries import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_budget(self):
        """A failing service could not recover because of the load of the retries.

        Every request fails on every node, and each node sends all allowed retries.
        """
        nodes, requests, retries = 9, 400, 0
        for _ in range(nodes):
            budget = RetryBudget(ratio=0.2, extra=58, window_ms=10_000)
            budget.set_nodes(nodes)
            for number in range(requests):
                budget.on_request(number, "s")
                retries += budget.try_acquire(number, "s")
        self.assertLessEqual(retries, 0.2 * nodes * requests + 58)
        self.assertGreater(retries, 0.1 * nodes * requests)

    def test_retry_is_allowed_again_after_the_window(self):
        budget = RetryBudget(ratio=0.0, extra=10, window_ms=1_000)
        budget.set_nodes(8)
        self.assertTrue(budget.try_acquire(0, "s"))
        self.assertFalse(budget.try_acquire(999, "s"))
        self.assertTrue(budget.try_acquire(1_000, "s"))

    def test_services_have_separate_budgets(self):
        budget = RetryBudget(ratio=0.0, extra=10, window_ms=1_000)
        budget.set_nodes(8)
        self.assertTrue(budget.try_acquire(0, "s"))
        self.assertTrue(budget.try_acquire(0, "other"))
