"""Many nodes report their in-flight load to each other."""

import unittest
from dataclasses import replace

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.replicas import (
    InFlightLoad,
    KvRoom,
    LoadReportTask,
    PeerLoad,
    ReplicaDirectory,
    Requirements,
    SharedPrefix,
)

from .makers import entry

_STEP_MS = 25


def _finish(handling):
    """Run a handler to its end; no handler waits for anything."""
    try:
        handling.send(None)
    except StopIteration:
        return
    raise AssertionError("a handler waits")


class _Clock(Clock):
    """A clock that the tests advance."""

    def __init__(self):
        self.at_ms = 0

    def now_ms(self):
        return self.at_ms


class _Link:
    """Delivers at once to the node at an address; counts datagrams."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.bytes_sent = 0
        self.handler_by_kind = {}

    def register(self, kind, struct_type, handle, **options):
        self.handler_by_kind[kind] = handle

    def send(self, address, kind, message):
        return self.send_all((address,), kind, message)

    def send_all(self, addresses, kind, message):
        for address in addresses:
            self.network.sent += 1
            self.bytes_sent += self.network.datagram_bytes
            self.network.deliver(self.name, address, kind, message)
        return True


class _Node:
    def __init__(self, network, name, domain):
        self.member = Member(name, domain, (name, 1), 100)
        self.link = _Link(network, name)
        self.peers = PeerLoad()
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}") for i in range(40)]
        self.directory.on_full_read(0, entries)
        self.aggregators = Aggregators(name, domain, link_mbps=100)
        self.kv_room = KvRoom()
        self.task = LoadReportTask(
            clock=network.clock,
            directory=self.directory,
            peers=self.peers,
            aggregators=self.aggregators,
            node=name,
            failure_domain=domain,
            link_mbps=100,
            kv_room=self.kv_room,
        )
        self.task.register(self.link)

    def put(self, replica, requests):
        self.directory.find(replica).in_flight = requests


class _Network:
    """Nodes over three failure domains, stepped by hand."""

    def __init__(self, per_domain):
        self.clock = _Clock()
        self.sent = 0
        self.datagram_bytes = 100
        self.down = set()
        self.cuts = set()
        self.node_by_name = {}
        for domain in "abc":
            for i in range(per_domain):
                name = f"{domain}{i}"
                self.node_by_name[name] = _Node(self, name, domain)
        members = [node.member for node in self.node_by_name.values()]
        for node in self.node_by_name.values():
            node.aggregators.set_members(m for m in members if m != node.member)

    def deliver(self, sender, address, kind, message):
        if address[0] in self.down or sender in self.down:
            return
        if (sender, address[0]) in self.cuts:
            return
        handle = self.node_by_name[address[0]].link.handler_by_kind[kind]
        _finish(handle(sender, message))

    def step(self, count):
        for _ in range(count):
            self.clock.at_ms += _STEP_MS
            for name, node in self.node_by_name.items():
                if name not in self.down:
                    node.task.report(node.link)

    def received(self, name, replica):
        node = self.node_by_name[name]
        return node.peers.at(
            self.clock.now_ms(), entry(replica).incarnation_id
        ).requests


class LoadReportTests(unittest.TestCase):
    def test_every_node_receives_the_others_requests(self):
        """Guards against some replicas having twice as many requests as others.

        Each of 87 nodes reported to all others. To limit the cost of the datagrams, it
        did so only every 350 ms, and before the next report other nodes had sent five
        requests to the same replica. Through two aggregators a load is at most 200 ms
        old.
        """
        network = _Network(6)
        network.step(4)
        for i, node in enumerate(network.node_by_name.values()):
            node.put("r0", 1)
            node.put(f"r{i}", 1)
        network.step(8)
        for name in network.node_by_name:
            self.assertEqual(network.received(name, "r0"), 17, name)

    def test_finished_requests_are_not_counted_any_more(self):
        network = _Network(6)
        for node in network.node_by_name.values():
            node.put("r0", 1)
        network.step(8)
        for node in network.node_by_name.values():
            node.put("r0", 0)
        network.step(8)
        self.assertEqual({network.received(n, "r0") for n in network.node_by_name}, {0})

    def test_a_crashed_aggregator_is_replaced(self):
        """Guards against a domain that overloads a few replicas after a VM lost power.

        All nodes of the domain reported to the failed aggregator, whose row is still in
        the table.
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
        network.down.add(first)
        network.step(120)
        alive = network.node_by_name.keys() - network.down
        self.assertEqual({network.received(n, "r0") for n in alive}, {16})
        network.down.clear()
        network.step(120)
        self.assertEqual(
            {network.received(n, "r0") for n in network.node_by_name}, {17}
        )

    def test_a_node_that_changes_its_aggregator_counts_once(self):
        """Guards against avoiding replicas for two seconds after a lost datagram.

        A node considered its aggregator silent for a moment and reported to the next
        one. When it reported to the first one again, it was in the sums of both.
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
        received = {
            network.received(other.member.name, "r0")
            for other in nodes
            if other is not node
        }
        self.assertEqual(received, {1})

    def test_datagrams_grow_linearly_with_the_number_of_nodes(self):
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

    def test_sums_are_published_less_often_on_a_narrow_link(self):
        """Guards against timeouts of calls between nodes, and late load reports.

        The sums that a domain's aggregator published filled its link.
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

    def test_a_node_receives_one_total_however_many_domains_there_are(self):
        """Guards against 195 nodes spending most of their CPU time on load reports.

        Each sum of each of five domains was forwarded to every node at once, some two
        hundred datagrams a second.
        """
        network = _Network(6)
        network.step(20)
        nodes = network.node_by_name.values()
        received_count = dict.fromkeys(network.node_by_name, 0)
        deliver = network.deliver

        def count(sender, address, kind, message):
            received_count[address[0]] += 1
            deliver(sender, address, kind, message)

        network.deliver = count
        for i in range(40):
            for node in nodes:
                node.put(f"r{i}", i % 3)
            network.step(1)
        now_ms = network.clock.now_ms()
        followers = [
            n for n in nodes if n.aggregators.own_aggregator(now_ms) is not None
        ]
        self.assertLessEqual(max(received_count[n.member.name] for n in followers), 14)

    def test_nodes_that_use_different_aggregators_are_all_counted_once(self):
        """Guards against one half of a domain not knowing the other half's requests.

        Some nodes of the domain considered the first aggregator silent and reported to
        the second one.
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
        received = {n: network.received(n, "r0") for n in network.node_by_name}
        self.assertEqual(set(received.values()), {17}, received)

    def test_a_few_nodes_report_to_all_others(self):
        network = _Network(3)
        network.node_by_name["a0"].put("r0", 2)
        network.step(1)
        self.assertEqual(network.sent, 8)
        self.assertEqual(network.received("c2", "r0"), 2)

    def test_memory_of_late_requests_is_reported(self):
        """Guards against a replica that preempts running requests after a burst.

        Late requests that wait at the replica are not counted as in flight. Therefore
        their memory was not reported, and other nodes sent more than the memory has
        room for.
        """
        network = _Network(3)
        state = network.node_by_name["a0"].directory.find("r0")
        state.waiting_late, state.resident_tokens = 1, 900
        network.step(1)
        peers = network.node_by_name["c2"].peers
        self.assertEqual(
            peers.at(network.clock.now_ms(), entry("r0").incarnation_id),
            InFlightLoad(0, 900, 0),
        )

    def test_small_changes_of_shared_memory_are_not_reported(self):
        """Guards against a report of every node after each request of another node.

        The part of a shared prefix that a node counts depends on the others' requests.
        """
        network = _Network(1)
        node, other = network.node_by_name["a0"], network.node_by_name["b0"]
        state = node.directory.find("r0")
        prefix = SharedPrefix("p", 9_000)
        prompt = Requirements(
            "s", tokens=12_000, kv_tokens=30_000, shared_prefix=prefix
        )
        for number in range(30):
            frequent = prompt if number % 2 else replace(prompt, shared_prefix=None)
            node.kv_room.on_choice(0, state, frequent)
        state.in_flight = 1
        state.on_run_resident(12_000, prefix)
        other.put("r0", 10)
        network.step(4)
        incarnation_id = entry("r0").incarnation_id
        first = other.peers.at(network.clock.now_ms(), incarnation_id).resident
        self.assertLess(first, 12_000)
        other.put("r0", 11)
        network.step(1)
        sent = network.sent
        network.step(4)
        self.assertEqual(network.sent, sent)
        state.in_flight = 2
        state.on_run_resident(12_000, prefix)
        network.step(2)
        second = other.peers.at(network.clock.now_ms(), incarnation_id).resident
        self.assertGreater(second, first + 3_000)

    def test_many_replicas_need_several_datagrams(self):
        network = _Network(6)
        network.step(20)
        for node in network.node_by_name.values():
            for i in range(40):
                node.put(f"r{i}", 1)
        network.step(8)
        received = [network.received("a0", f"r{i}") for i in range(40)]
        self.assertEqual(received, [17] * 40)


class ValueTests(unittest.TestCase):
    def test_a_difference_is_the_inverse_of_a_sum(self):
        one, other = InFlightLoad(1, 2, 3), InFlightLoad(10, 20, 30)
        self.assertEqual(one.plus(other).plus(other, -1), one)
