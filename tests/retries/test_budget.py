"""The share of repeated sends that one node may make."""

import unittest

from fireflyward.retries import RetryBudget


class BudgetTests(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_budget(self):
        """Symptom: a service that fails is kept down by repeats.

        Every request fails on every node, and each node repeats what it may.
        """
        nodes, requests, repeats = 9, 400, 0
        for _ in range(nodes):
            budget = RetryBudget(ratio=0.2, extra=58, window_ms=10_000)
            budget.set_nodes(nodes)
            for number in range(requests):
                budget.on_request(number, "s")
                repeats += budget.try_acquire(number, "s")
        self.assertLessEqual(repeats, 0.2 * nodes * requests + 58)
        self.assertGreater(repeats, 0.1 * nodes * requests)

    def test_the_window_slides(self):
        budget = RetryBudget(ratio=0.0, extra=10, window_ms=1_000)
        budget.set_nodes(8)
        self.assertTrue(budget.try_acquire(0, "s"))
        self.assertFalse(budget.try_acquire(999, "s"))
        self.assertTrue(budget.try_acquire(1_000, "s"))

    def test_services_do_not_share(self):
        budget = RetryBudget(ratio=0.0, extra=10, window_ms=1_000)
        budget.set_nodes(8)
        self.assertTrue(budget.try_acquire(0, "s"))
        self.assertTrue(budget.try_acquire(0, "other"))
