import unittest

from fireflyward.leases import contenders

NODES = [f"entry-{index}" for index in range(350)]


class ContenderTests(unittest.TestCase):
    def test_three_contenders_regardless_of_the_order_of_names(self):
        chosen = contenders("rollout", NODES)
        self.assertEqual(len(chosen), 3)
        self.assertEqual(chosen, contenders("rollout", reversed(NODES)))

    def test_leaving_node_is_replaced_by_the_next(self):
        first, second, third = contenders("rollout", NODES)
        rest = [node for node in NODES if node != first]
        self.assertEqual(contenders("rollout", rest)[:2], (second, third))

    def test_leases_are_spread_over_the_nodes(self):
        firsts = {contenders(f"sweep/{index}", NODES)[0] for index in range(50)}
        self.assertGreater(len(firsts), 30)
