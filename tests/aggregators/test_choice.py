"""Which node sums up for its failure domain."""

import unittest

from fireflyward.aggregators import Aggregators, Member


def member(name, domain, link_mbps=100):
    return Member(name, domain, (name, 7_000), link_mbps)


MEMBERS = [member(f"{domain}-{i}", domain) for domain in "abc" for i in range(6)]


def of_node(own):
    nodes = Aggregators(own.name, own.failure_domain, link_mbps=own.link_mbps)
    nodes.set_members(item for item in MEMBERS if item != own)
    return nodes


class AggregatorsTests(unittest.TestCase):
    def test_all_nodes_name_the_same_one(self):
        named = {domain: set() for domain in "abc"}
        for own in MEMBERS:
            nodes = of_node(own)
            found = nodes.own_aggregator(0)
            named[own.failure_domain].add(found.name if found else own.name)
            for domain in nodes.other_domains():
                named[domain].add(nodes.aggregator_of(0, domain).name)
        self.assertEqual([len(names) for names in named.values()], [1, 1, 1])

    def test_a_silent_one_is_passed_over_and_taken_again(self):
        """Symptom: a domain's nodes all choose the same replicas for seconds.

        The aggregator lost power; its row in the store stays, and whoever goes on
        telling it hears nothing of the others any more.
        """
        own = next(m for m in MEMBERS if of_node(m).own_aggregator(0) is not None)
        nodes = of_node(own)
        first = nodes.own_aggregator(0)
        nodes.on_sent_to(0, first.name)
        nodes.on_sent_to(400, first.name)
        self.assertEqual(nodes.own_aggregator(449), first)
        second = nodes.own_aggregator(450)
        self.assertNotEqual(second, first)
        nodes.on_received_from(first.name)
        self.assertEqual(nodes.own_aggregator(500), first)

    def test_with_all_others_silent_a_node_sums_up_itself(self):
        own = MEMBERS[0]
        nodes = of_node(own)
        for item in MEMBERS:
            nodes.on_sent_to(0, item.name)
        self.assertIsNone(nodes.own_aggregator(1_000))
        self.assertIsNotNone(nodes.aggregator_of(1_000, "b"))

    def test_the_widest_link_comes_first(self):
        """Symptom: loads are told late though nothing is lost, and calls time out.

        The aggregator sat on a link of 10 Mbit/s, a twentieth of its neighbour's;
        what it sent stood in the link's queue for half a second.
        """
        for name in ("wide", "a-wide"):
            wide = member(name, "a", link_mbps=200)
            nodes = Aggregators("a-0", "a", link_mbps=10)
            nodes.set_members([*MEMBERS[1:6], wide])
            self.assertEqual(nodes.own_aggregator(0), wide)
            nodes = Aggregators(name, "a", link_mbps=200)
            nodes.set_members(MEMBERS)
            self.assertIsNone(nodes.own_aggregator(0))

    def test_few_nodes_need_none(self):
        nodes = Aggregators("a-0", "a", link_mbps=100)
        nodes.set_members(MEMBERS[1:12])
        self.assertFalse(nodes.are_needed)
        nodes.set_members(MEMBERS[1:13])
        self.assertTrue(nodes.are_needed)
