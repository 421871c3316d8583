import unittest

from fireflyward.backing import Budget


class BudgetTests(unittest.TestCase):
    def make(self, per_second=1_000, nodes=100, **options):
        self.nodes = nodes
        return Budget(per_second=per_second, nodes=lambda: self.nodes, **options)

    def count_allowed(self, budget, from_ms, to_ms):
        waits = [budget.reserve(now_ms) for now_ms in range(from_ms, to_ms, 10)]
        return sum(wait is not None for wait in waits)

    def test_rate_is_the_share_of_one_node(self):
        budget = self.make()
        self.count_allowed(budget, 0, 5_000)
        self.assertAlmostEqual(self.count_allowed(budget, 5_000, 15_000), 100, delta=2)

    def test_fewer_nodes_get_a_larger_share_each(self):
        budget = self.make()
        self.count_allowed(budget, 0, 5_000)
        self.nodes = 50
        self.assertAlmostEqual(self.count_allowed(budget, 5_000, 15_000), 200, delta=25)

    def test_calls_wait_in_order_and_within_the_limit(self):
        budget = self.make(max_wait_ms=300)
        waits = [budget.reserve(0) for _ in range(30)]
        self.assertEqual(waits[:20], [0] * 20)
        self.assertEqual(waits[20:24], [100, 200, 300, None])

    def test_rate_starts_low_after_an_outage(self):
        budget = self.make()
        budget.begin_ramp(60_000)
        first = self.count_allowed(budget, 60_000, 61_000)
        self.assertLess(first, 5)
        self.assertAlmostEqual(
            self.count_allowed(budget, 75_000, 85_000), 110, delta=20
        )

    def test_no_known_node_counts_as_one(self):
        self.assertEqual(self.make(nodes=0).reserve(0), 0)
