"""Many nodes tell each other what they have under way."""

import unittest

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.replicas import (
    PeerUnderWay,
    ReplicaDirectory,
    UnderWay,
    UnderWayTask,
)

from .makers import entry

_STEP_MS = 25


def _finish(handling):
    """Run a handler, none of which waits for anything, to its end."""
    try:
        handling.send(None)
    except StopIteration:
        return
    raise AssertionError("a handler waits")


class _Clock(Clock):
    """Stands still until it is moved on."""

    def __init__(self):
        self.at_ms = 0

    def now_ms(self):
        return self.at_ms


class _Link:
    """Delivers at once to whoever lives at an address; counts datagrams."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.bytes_sent = 0
        self.handler_by_kind = {}

    def register(self, kind, struct_type, handle):
        self.handler_by_kind[kind] = handle

    def send(self, address, kind, news):
        return self.send_all((address,), kind, news)

    def send_all(self, addresses, kind, news):
        for address in addresses:
            self.network.sent += 1
            self.bytes_sent += self.network.datagram_bytes
            self.network.deliver(self.name, address, kind, news)
        return True


class _Node:
    def __init__(self, network, name, domain):
        self.member = Member(name, domain, (name, 1), 100)
        self.link = _Link(network, name)
        self.peers = PeerUnderWay()
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}") for i in range(40)]
        self.directory.on_whole(0, entries, after_outage=False)
        self.aggregators = Aggregators(name, domain, link_mbps=100)
        self.task = UnderWayTask(
            clock=network.clock,
            directory=self.directory,
            peers=self.peers,
            aggregators=self.aggregators,
            node=name,
            failure_domain=domain,
            link_mbps=100,
        )
        self.task.listen(self.link)

    def put(self, replica, requests):
        self.directory.find(replica).in_flight = requests


class _Network:
    """Nodes over three failure domains, stepped by hand."""

    def __init__(self, per_domain):
        self.clock = _Clock()
        self.sent = 0
        self.datagram_bytes = 100
        self.dead = set()
        self.cuts = set()
        self.node_by_name = {}
        for domain in "abc":
            for i in range(per_domain):
                name = f"{domain}{i}"
                self.node_by_name[name] = _Node(self, name, domain)
        members = [node.member for node in self.node_by_name.values()]
        for node in self.node_by_name.values():
            node.aggregators.set_members(m for m in members if m != node.member)

    def deliver(self, sender, address, kind, news):
        if address[0] in self.dead or sender in self.dead:
            return
        if (sender, address[0]) in self.cuts:
            return
        handle = self.node_by_name[address[0]].link.handler_by_kind[kind]
        _finish(handle(sender, news))

    def step(self, count):
        for _ in range(count):
            self.clock.at_ms += _STEP_MS
            for name, node in self.node_by_name.items():
                if name not in self.dead:
                    node.task.tell(node.link)

    def believed(self, name, replica):
        node = self.node_by_name[name]
        return node.peers.at(self.clock.now_ms(), entry(replica).number).requests


class TellingTests(unittest.TestCase):
    def test_every_node_knows_the_others_requests(self):
        """Symptom: with 87 nodes some replicas hold twice as many requests as others.

        Nodes told all others, and so that the datagrams did not cost too much each
        told only every 350 ms. By then others had sent five requests to the same
        replica. Through two aggregators it is 200 ms old at the worst.
        """
        network = _Network(6)
        network.step(4)
        for i, node in enumerate(network.node_by_name.values()):
            node.put("r0", 1)
            node.put(f"r{i}", 1)
        network.step(8)
        for name in network.node_by_name:
            self.assertEqual(network.believed(name, "r0"), 17, name)

    def test_requests_that_ended_are_not_believed_any_more(self):
        network = _Network(6)
        for node in network.node_by_name.values():
            node.put("r0", 1)
        network.step(8)
        for node in network.node_by_name.values():
            node.put("r0", 0)
        network.step(8)
        self.assertEqual({network.believed(n, "r0") for n in network.node_by_name}, {0})

    def test_an_aggregator_that_dies_is_replaced(self):
        """Symptom: after one VM lost power its domain's nodes crowd few replicas.

        All of them told the dead aggregator, and the row that names it stays.
        """
        network = _Network(6)
        network.step(20)
        nodes = network.node_by_name.values()
        first = next(
            node.member.name
            for node in nodes
            if node.aggregators.own_aggregator(500) is None
        )
        for node in nodes:
            node.put("r0", 1)
        network.step(8)
        network.dead.add(first)
        network.step(120)
        alive = network.node_by_name.keys() - network.dead
        self.assertEqual({network.believed(n, "r0") for n in alive}, {16})
        network.dead.clear()
        network.step(120)
        self.assertEqual(
            {network.believed(n, "r0") for n in network.node_by_name}, {17}
        )

    def test_a_node_that_changes_its_aggregator_counts_once(self):
        """Symptom: replicas are shunned for two seconds after a lost datagram.

        A node took its aggregator for dead for a moment and told the next one. Back
        with the first, it was in the sums of both.
        """
        network = _Network(6)
        network.step(20)
        nodes = list(network.node_by_name.values())
        now_ms = network.clock.now_ms()
        node = next(
            node
            for node in nodes
            if node.aggregators.own_aggregator(now_ms) is not None
        )
        first = node.aggregators.own_aggregator(now_ms)
        node.put("r0", 1)
        network.step(8)
        node.aggregators.on_sent_to(now_ms - 1_000, first.name)
        network.step(1)
        network.step(12)
        self.assertEqual(node.aggregators.own_aggregator(network.clock.now_ms()), first)
        believed = {
            network.believed(other.member.name, "r0")
            for other in nodes
            if other is not node
        }
        self.assertEqual(believed, {1})

    def test_datagrams_grow_with_the_nodes_and_not_with_their_square(self):
        sent = []
        for per_domain in (8, 16):
            network = _Network(per_domain)
            network.step(40)
            network.sent = 0
            for i in range(40):
                for k, node in enumerate(network.node_by_name.values()):
                    node.put(f"r{(i + k) % 40}", i % 3)
                network.step(1)
            sent.append(network.sent)
        self.assertLess(sent[1], 2.5 * sent[0])

    def test_sums_are_told_less_often_where_the_link_is_narrow(self):
        """Symptom: calls between nodes time out, and loads are told late.

        The sums of a domain's aggregator filled its link.
        """
        sent = []
        for datagram_bytes in (100, 200_000):
            network = _Network(6)
            network.datagram_bytes = datagram_bytes
            network.step(10)
            network.sent = 0
            for i in range(40):
                network.node_by_name["a0"].put("r0", i)
                network.step(1)
            sent.append(network.sent)
        self.assertLess(sent[1], sent[0] / 2)

    def test_a_node_hears_one_total_however_many_domains_there_are(self):
        """Symptom: 195 nodes spend most of their processor time on each other's news.

        Each sum of each of five domains was passed on to every node as it came, some
        two hundred datagrams a second.
        """
        network = _Network(6)
        network.step(20)
        nodes = network.node_by_name.values()
        heard = dict.fromkeys(network.node_by_name, 0)
        deliver = network.deliver

        def count(sender, address, kind, news):
            heard[address[0]] += 1
            deliver(sender, address, kind, news)

        network.deliver = count
        for i in range(40):
            for node in nodes:
                node.put(f"r{i}", i % 3)
            network.step(1)
        now_ms = network.clock.now_ms()
        followers = [
            n for n in nodes if n.aggregators.own_aggregator(now_ms) is not None
        ]
        self.assertLessEqual(max(heard[n.member.name] for n in followers), 14)

    def test_nodes_that_take_different_aggregators_are_all_counted_once(self):
        """Symptom: half a domain's requests are unknown to the other half.

        Some of its nodes took the first aggregator for silent and told the second.
        """
        network = _Network(6)
        network.step(20)
        nodes = network.node_by_name.values()
        first = next(
            n
            for n in nodes
            if n.aggregators.own_aggregator(network.clock.now_ms()) is None
        )
        domain = first.member.failure_domain
        neighbours = [
            n for n in nodes if n.member.failure_domain == domain and n is not first
        ]
        for node in neighbours[::2]:
            names = first.member.name, node.member.name
            network.cuts |= {names, names[::-1]}
        for node in nodes:
            node.put("r0", 1)
        network.step(60)
        believed = {n: network.believed(n, "r0") for n in network.node_by_name}
        self.assertEqual(set(believed.values()), {17}, believed)

    def test_few_nodes_tell_all_others(self):
        network = _Network(3)
        network.node_by_name["a0"].put("r0", 2)
        network.step(1)
        self.assertEqual(network.sent, 8)
        self.assertEqual(network.believed("c2", "r0"), 2)

    def test_memory_of_requests_that_wait_behind_all_others_is_told(self):
        """Symptom: after a burst a replica puts running requests back.

        Late requests wait there and are counted as no requests, so that nothing was
        told of them, and others sent more than its memory holds.
        """
        network = _Network(3)
        state = network.node_by_name["a0"].directory.find("r0")
        state.waiting_late, state.held_tokens = 1, 900
        network.step(1)
        peers = network.node_by_name["c2"].peers
        self.assertEqual(
            peers.at(network.clock.now_ms(), entry("r0").number), UnderWay(0, 900, 0)
        )

    def test_many_replicas_take_several_datagrams(self):
        network = _Network(6)
        network.step(20)
        for node in network.node_by_name.values():
            for i in range(40):
                node.put(f"r{i}", 1)
        network.step(8)
        believed = [network.believed("a0", f"r{i}") for i in range(40)]
        self.assertEqual(believed, [17] * 40)


class ValueTests(unittest.TestCase):
    def test_a_difference_is_the_inverse_of_a_sum(self):
        one, other = UnderWay(1, 2, 3), UnderWay(10, 20, 30)
        self.assertEqual(one.plus(other).plus(other, -1), one)
