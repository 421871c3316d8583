"""Nodes exchange the sums of a short service."""

import unittest
from dataclasses import replace

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.limits import (
    FairAdmission,
    FairRequest,
    LocalSums,
    PeerSums,
    SumReportTask,
)
from fireflyward.limits._group_sums import GroupKind, GroupSum, name_hash
from fireflyward.limits._sum_messages import decode_sums, encode_sums
from fireflyward.peers._codec import pack

REQUEST = FairRequest("s", "r", "a", 0, 10)
SERVICE = name_hash("s")
PERIOD_MS = 500


class _Clock(Clock):
    """A clock that the tests advance."""

    def __init__(self):
        self.at_ms = 0

    def now_ms(self):
        return self.at_ms


class _Node:
    """One node; as its own link it delivers at once, except where a link is cut."""

    def __init__(self, network, name, domain):
        self.network, self.name = network, name
        self.member = Member(name, domain, (name, 1), 100)
        self.handler_by_kind = {}
        self.sent_bytes = 0
        self.peers = PeerSums()
        sums = LocalSums()
        self.fairness = FairAdmission(sums, self.peers)
        self.aggregators = Aggregators(name, domain, link_mbps=100)
        self.task = SumReportTask(
            clock=network.clock,
            sums=sums,
            peers=self.peers,
            aggregators=self.aggregators,
        )
        self.task.register(self)

    def register(self, kind, struct_type, handle, **options):
        self.handler_by_kind[kind] = handle

    def send(self, address, kind, message):
        self.send_all((address,), kind, message)

    def send_all(self, addresses, kind, message):
        for name, _ in addresses:
            self.sent_bytes += len(pack(message))
            if not {self.name, name} & self.network.down:
                self.network.node_by_name[name].receive(self.name, kind, message)

    def receive(self, sender, kind, message):
        try:
            self.handler_by_kind[kind](sender, message).send(None)
        except StopIteration:
            return

    def decide(self, *, count=1, **changes):
        request = replace(REQUEST, **changes)
        now_ms = self.network.clock.now_ms()
        for _ in range(count):
            self.fairness.on_decision(now_ms, request, is_admitted=False, is_late=True)

    def arrived(self):
        total = self.peers.total(self.network.clock.now_ms(), SERVICE, {})
        return None if total is None else total.sums[GroupKind.SERVICE, 0].arrived


class _Network:
    def __init__(self, per_domain):
        self.clock = _Clock()
        self.down = set()
        nodes = [
            _Node(self, f"{domain}{i}", domain)
            for domain in "abc"
            for i in range(per_domain)
        ]
        self.node_by_name = {node.name: node for node in nodes}
        for node in nodes:
            others = [other.member for other in nodes if other is not node]
            node.aggregators.set_members(others)

    def step(self, count=1):
        for _ in range(count):
            self.clock.at_ms += PERIOD_MS
            for node in self.node_by_name.values():
                if node.name not in self.down:
                    node.task.report(node)


class SumReportTests(unittest.TestCase):
    def shortage(self, per_domain):
        network = _Network(per_domain)
        for node in network.node_by_name.values():
            node.decide(count=4)
        network.step(3)
        return network

    def test_all_nodes_of_all_domains_have_the_total(self):
        for per_domain in (2, 10):
            network = self.shortage(per_domain)
            left = 4 * 3 * per_domain * 0.5 ** (3 * PERIOD_MS / 2_000)
            for node in network.node_by_name.values():
                own = 0 if per_domain > 4 else left / (3 * per_domain)
                self.assertAlmostEqual(node.arrived() + own, left, delta=0.25 * left)

    def test_nothing_is_sent_without_shortage(self):
        network = _Network(10)
        for node in network.node_by_name.values():
            now_ms = network.clock.now_ms()
            node.fairness.on_decision(now_ms, REQUEST, is_admitted=True, is_late=False)
        network.step(3)
        self.assertEqual(sum(x.sent_bytes for x in network.node_by_name.values()), 0)

    def test_reports_end_when_the_shortage_has_ended(self):
        """Guards against totals that keep each other alive among the nodes."""
        network = self.shortage(10)
        network.step(40)
        sent = sum(node.sent_bytes for node in network.node_by_name.values())
        network.step(4)
        after = sum(node.sent_bytes for node in network.node_by_name.values())
        self.assertEqual(after, sent)

    def test_node_that_is_cut_off_decides_by_its_own_estimates(self):
        """Guards against decisions by the totals of a load that is over.

        The link to the aggregator is cut; the node's last totals expire.
        """
        network = self.shortage(10)
        cut_off = network.node_by_name["a3"]
        self.assertGreater(cut_off.fairness.judge(1_500, REQUEST).pressure, 0)
        network.down = set(network.node_by_name) - {"a3"}
        cut_off.decide(count=30)
        network.step(4)
        verdict = cut_off.fairness.judge(network.clock.now_ms(), REQUEST)
        self.assertEqual((verdict.factor, verdict.age_ms), (1.0, None))

    def test_lost_messages_make_the_totals_older(self):
        network = self.shortage(10)
        before = network.node_by_name["a3"].arrived()
        network.down = set(network.node_by_name) - {"a3"}
        network.step(2)
        node = network.node_by_name["a3"]
        self.assertAlmostEqual(node.arrived(), before * 0.5**0.5, delta=0.1)
        self.assertGreaterEqual(node.fairness.judge(2_500, REQUEST).age_ms, 1_000)

    def test_node_that_does_not_report_is_not_in_the_totals(self):
        network = _Network(2)
        network.down = {"c1"}
        for node in network.node_by_name.values():
            node.decide(count=4)
        network.step(1)
        left = 4 * 5 * 0.5 ** (PERIOD_MS / 2_000)
        own = left / 5
        self.assertAlmostEqual(
            network.node_by_name["a0"].arrived(), left - own, delta=1
        )

    def test_sums_of_a_node_that_terminated_expire(self):
        network = self.shortage(2)
        network.node_by_name["b1"].decide(count=400)
        network.step()
        self.assertGreater(network.node_by_name["a0"].arrived(), 300)
        network.down = {"b1"}
        network.step(4)
        self.assertLess(network.node_by_name["a0"].arrived(), 30)

    def test_requests_are_counted_once_after_nodes_changed_their_aggregator(self):
        """Guards against totals that count the reports at two aggregators.

        The other nodes consider the aggregator of a domain silent for 1 s. Totals may
        be wrong for two periods after that, until all have published once more.
        """
        network = _Network(10)
        nodes = network.node_by_name.values()
        for node in nodes:
            node.decide(count=40)
        network.step(3)
        aggregator = network.node_by_name["a0"].aggregators.own_aggregator(1_500)
        name = aggregator.name if aggregator is not None else "a0"
        others = [node for node in nodes if node.name != name]
        for node in others:
            node.aggregators.on_sent_to(0, name)
        network.step(2)
        for node in others:
            node.aggregators.on_received_from(name)
        network.step(2)
        for _ in range(2):
            network.step()
            left = 40 * len(nodes) * 0.5 ** (network.clock.now_ms() / 2_000)
            for node in nodes:
                self.assertAlmostEqual(node.arrived(), left, delta=0.15 * left)

    def test_sums_of_services_that_are_not_requested_here_expire(self):
        """Guards against state that grows with the names of nodes and services."""
        network = _Network(2)
        node = network.node_by_name["a0"]
        message = encode_sums(SERVICE, {(GroupKind.SERVICE, 0): GroupSum(arrived=9.0)})
        for kind in node.handler_by_kind:
            for number in range(20):
                node.receive(f"former{number}", kind, message)
        node.peers.add_up(0, SERVICE)
        network.step(4)
        peers = node.peers
        received = (peers._reports, peers._domain_sums, peers._totals)
        self.assertEqual([len(part._last_by_sender) for part in received], [0, 0, 0])
        self.assertEqual(peers._last_by_service, {})

    def test_repeated_message_changes_nothing(self):
        peers, sums = PeerSums(), {(GroupKind.SERVICE, 0): GroupSum(arrived=5.0)}
        for _ in range(2):
            peers.on_report(0, "b", SERVICE, sums)
        self.assertEqual(peers.total(0, SERVICE, {}).sums, sums)

    def test_malformed_message_is_counted_and_changes_nothing(self):
        network = self.shortage(2)
        node = network.node_by_name["a0"]
        before = node.arrived()
        message = encode_sums(SERVICE, {(GroupKind.SERVICE, 0): GroupSum(arrived=9.0)})
        broken = ("arrived", [-1]), ("names", []), ("kinds", [77]), ("weights", [0])
        for field, value in broken:
            good = getattr(message, field)
            setattr(message, field, value)
            node.receive("b0", "fairness sums", message)
            setattr(message, field, good)
        self.assertEqual(node.peers.invalid_messages, len(broken))
        self.assertEqual(node.arrived(), before)

    def test_messages_stay_small_with_19_000_accounts(self):
        """Guards against messages that grow with the accounts, and then get dropped."""
        sums = {
            (GroupKind.ACCOUNT, i): GroupSum(i + 1.0, weight=1.5) for i in range(19_000)
        }
        sums |= {(GroupKind.SIZE, i): GroupSum(1.0) for i in range(60)}
        sums[GroupKind.SERVICE, 0] = GroupSum(5.0)
        message = encode_sums(SERVICE, sums)
        self.assertLess(len(pack(message)), 1_200)
        decoded = decode_sums(message)
        self.assertIn((GroupKind.SERVICE, 0), decoded)
        self.assertEqual(decoded[GroupKind.ACCOUNT, 18_999].weight, 1.5)
