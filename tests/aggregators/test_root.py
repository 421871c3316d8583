"""The choice of the aggregator that reads the platform's tables for all."""

import unittest

from fireflyward.aggregators import Aggregators, Member

DOMAINS = {"a0": "a", "a1": "a", "b0": "b", "b1": "b", "c0": "c", "c1": "c"}


def make_aggregators(name):
    nodes = Aggregators(name, DOMAINS[name], link_mbps=100)
    nodes.set_members(
        Member(other, domain, (other, 1), 100)
        for other, domain in DOMAINS.items()
        if other != name
    )
    return nodes


def roots_by_aggregator(now_ms, nodes_by_name):
    return {
        name: nodes.root_aggregator(now_ms)
        for name, nodes in nodes_by_name.items()
        if nodes.own_aggregator(now_ms) is None
    }


class RootTests(unittest.TestCase):
    def setUp(self):
        self.nodes_by_name = {name: make_aggregators(name) for name in DOMAINS}

    def test_all_aggregators_agree_on_the_root(self):
        named = roots_by_aggregator(0, self.nodes_by_name)
        self.assertEqual(len(named), 3)
        (first,) = [name for name, root in named.items() if root is None]
        others = {root.name for root in named.values() if root is not None}
        self.assertEqual(others, {first})

    def test_silent_root_is_skipped(self):
        """Guards against four failure domains that use outdated tables.

        The root was in a fifth domain, which was partitioned from them, and their
        aggregators continued to query it.
        """
        named = roots_by_aggregator(0, self.nodes_by_name)
        (first,) = [name for name, root in named.items() if root is None]
        for name in named.keys() - {first}:
            nodes = self.nodes_by_name[name]
            for other in DOMAINS:
                if DOMAINS[other] == DOMAINS[first]:
                    nodes.on_sent_to(0, other)
            root = nodes.root_aggregator(1_000)
            self.assertTrue(root is None or DOMAINS[root.name] != DOMAINS[first])
