"""The choice of the aggregator of each failure domain."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import ManualClock, Standstills


def member(name, domain, link_mbps=100):
    return Member(name, domain, (name, 7_000), link_mbps)


MEMBERS = [member(f"{domain}-{i}", domain) for domain in "abc" for i in range(6)]


def make_aggregators(own, **options):
    nodes = Aggregators(
        own.name, own.failure_domain, link_mbps=own.link_mbps, **options
    )
    nodes.set_members(item for item in MEMBERS if item != own)
    return nodes


class AggregatorsTests(unittest.TestCase):
    def test_all_nodes_select_the_same_aggregator(self):
        named = {domain: set() for domain in "abc"}
        for own in MEMBERS:
            nodes = make_aggregators(own)
            found = nodes.own_aggregator(0)
            named[own.failure_domain].add(found.name if found else own.name)
            for domain in nodes.other_domains():
                named[domain].add(nodes.aggregator_of(0, domain).name)
        self.assertEqual([len(names) for names in named.values()], [1, 1, 1])

    def test_silent_aggregator_is_skipped_and_selected_again_later(self):
        """Guards against nodes of a domain that choose the same replicas for seconds.

        The aggregator lost power, but its row stayed in the store. Nodes that continued
        to report to it received no loads of other nodes.
        """
        own = next(
            m for m in MEMBERS if make_aggregators(m).own_aggregator(0) is not None
        )
        nodes = make_aggregators(own)
        first = nodes.own_aggregator(0)
        nodes.on_sent_to(0, first.name)
        nodes.on_sent_to(400, first.name)
        self.assertEqual(nodes.own_aggregator(449), first)
        second = nodes.own_aggregator(450)
        self.assertNotEqual(second, first)
        nodes.on_received_from(first.name)
        self.assertEqual(nodes.own_aggregator(500), first)

    def test_a_node_that_stood_still_takes_no_other_node_for_silent(self):
        """Guards against nodes that all read from the store after a standstill.

        All nodes stood still at once, so nothing had arrived from any of them.
        """
        clock = ManualClock(10_000)
        standstills = Standstills(clock=clock)
        own = next(
            m for m in MEMBERS if make_aggregators(m).own_aggregator(0) is not None
        )
        nodes = make_aggregators(
            own,
            lost_ms=lambda since_ms: standstills.lost_ms(
                clock.now_ms(), since_ms=since_ms
            ),
        )
        first = nodes.own_aggregator(10_000)
        standstills.on_tick(10_000)
        nodes.on_sent_to(10_050, first.name)
        clock._now_ms = 18_000
        self.assertEqual(nodes.own_aggregator(18_000), first)
        standstills.on_tick(18_010)
        clock._now_ms = 18_449
        self.assertEqual(nodes.own_aggregator(18_449), first)
        nodes.on_sent_to(18_449, first.name)
        for now_ms in range(18_600, 19_101, 100):
            standstills.on_tick(now_ms)
            clock._now_ms = now_ms
            found = nodes.own_aggregator(now_ms)
        self.assertNotEqual(found, first)

    def test_node_is_its_own_aggregator_if_all_others_are_silent(self):
        own = MEMBERS[0]
        nodes = make_aggregators(own)
        for item in MEMBERS:
            nodes.on_sent_to(0, item.name)
        self.assertIsNone(nodes.own_aggregator(1_000))
        self.assertIsNotNone(nodes.aggregator_of(1_000, "b"))

    def test_fastest_link_comes_first(self):
        """Guards against late loads and call timeouts although no packet is lost.

        The aggregator had a link of 10 Mbit/s, a twentieth of another node's link, and
        its datagrams waited in the link's queue for half a second.
        """
        for name in ("wide", "a-wide"):
            fast = member(name, "a", link_mbps=200)
            nodes = Aggregators("a-0", "a", link_mbps=10)
            nodes.set_members([*MEMBERS[1:6], fast])
            self.assertEqual(nodes.own_aggregator(0), fast)
            nodes = Aggregators(name, "a", link_mbps=200)
            nodes.set_members(MEMBERS)
            self.assertIsNone(nodes.own_aggregator(0))

    def test_few_nodes_need_no_aggregators(self):
        nodes = Aggregators("a-0", "a", link_mbps=100)
        nodes.set_members(MEMBERS[1:12])
        self.assertFalse(nodes.are_needed)
        nodes.set_members(MEMBERS[1:13])
        self.assertTrue(nodes.are_needed)
