"""Which aggregator reads the platform's tables for all domains."""

import unittest

from fireflyward.aggregators import Aggregators, Member

DOMAINS = {"a0": "a", "a1": "a", "b0": "b", "b1": "b", "c0": "c", "c1": "c"}


def seen_by(name):
    nodes = Aggregators(name, DOMAINS[name], link_mbps=100)
    nodes.set_members(
        Member(other, domain, (other, 1), 100)
        for other, domain in DOMAINS.items()
        if other != name
    )
    return nodes


def roots(now_ms, nodes_by_name):
    return {
        name: nodes.root_aggregator(now_ms)
        for name, nodes in nodes_by_name.items()
        if nodes.own_aggregator(now_ms) is None
    }


class RootTests(unittest.TestCase):
    def setUp(self):
        self.nodes_by_name = {name: seen_by(name) for name in DOMAINS}

    def test_all_aggregators_name_the_same_and_it_names_itself(self):
        named = roots(0, self.nodes_by_name)
        self.assertEqual(len(named), 3)
        (first,) = [name for name, root in named.items() if root is None]
        others = {root.name for root in named.values() if root is not None}
        self.assertEqual(others, {first})

    def test_a_root_that_fell_silent_is_passed_over(self):
        """Symptom: four failure domains serve by old tables after a fifth was cut off.

        Their aggregators went on asking the root, which was in that domain.
        """
        named = roots(0, self.nodes_by_name)
        (first,) = [name for name, root in named.items() if root is None]
        for name in named.keys() - {first}:
            nodes = self.nodes_by_name[name]
            for other in DOMAINS:
                if DOMAINS[other] == DOMAINS[first]:
                    nodes.on_sent_to(0, other)
            root = nodes.root_aggregator(1_000)
            self.assertTrue(root is None or DOMAINS[root.name] != DOMAINS[first])
