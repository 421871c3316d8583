"""The requests that all nodes together send to cold replicas."""

import random
import unittest
from collections import Counter

from fireflyward.deployment import Service
from fireflyward.replicas import Chooser, ColdShares, ReplicaDirectory, Requirements

from .makers import entry

PER_SECOND = 11.0
# The most requests that the deployment allows in a second.
BOUND = 1.5 * PER_SECOND + 5
SERVICE = {"s": Service("s", cold_start_ms=3_000, cold_per_second=PER_SECOND)}
NODES = [f"n{number}" for number in range(89)]


class SharesTests(unittest.TestCase):
    def make(self, node, nodes):
        shares = ColdShares(node)
        shares.set_nodes(nodes)
        return shares

    def allowances(self, nodes, per_second, replica=7):
        return [self.make(node, nodes).allowance(replica, per_second) for node in nodes]

    def test_the_sustained_rate_is_divided_completely_and_not_exceeded(self):
        for count in (1, 2, 9, 11, 12, 89):
            allowances = self.allowances(NODES[:count], PER_SECOND)
            self.assertEqual(sum(allowances), 11, count)
            self.assertLessEqual(max(allowances) - min(allowances), 1, count)

    def test_a_replica_that_sustains_less_than_one_a_second_still_gets_requests(self):
        self.assertEqual(sum(self.allowances(NODES[:9], 0.5)), 1)

    def test_each_replica_has_a_different_division(self):
        divisions = [
            self.allowances(NODES, PER_SECOND, replica) for replica in range(5)
        ]
        self.assertEqual(len(set(map(tuple, divisions))), 5)

    def test_the_share_is_zero_before_the_nodes_are_known(self):
        """Guards against a node that just started and uses a cold replica's whole rate.

        The node had not read the table of nodes yet and assumed that it was the only
        one.
        """
        self.assertEqual(ColdShares("n1").allowance(7, PER_SECOND), 0)

    def test_nodes_with_different_lists_of_nodes_stay_within_the_bound(self):
        """Guards against too many requests to a cold replica while nodes are added.

        Half of the nodes have ten new nodes in their list and the others do not yet.
        """
        more = [*NODES, *(f"new{number}" for number in range(10))]
        for replica in range(50):
            old = self.allowances(NODES, PER_SECOND, replica)[::2]
            new = self.allowances(more, PER_SECOND, replica)[1::2]
            self.assertLessEqual(sum(old) + sum(new), BOUND)


class ReturnTests(unittest.TestCase):
    """89 nodes and 70 replicas; a third of the replicas returns cold at once."""

    def setUp(self):
        self.random = random.Random(5)
        self.entries = [
            entry(f"r{number}", zone="abc"[number % 3], slots=12)
            for number in range(70)
        ]
        self.choosers = [self.node(name) for name in NODES]

    def node(self, name):
        directory = ReplicaDirectory()
        directory.set_services(SERVICE)
        directory.on_full_read(0, self.entries)
        shares = ColdShares(name)
        shares.set_nodes(NODES)
        directory.set_evacuated(0, frozenset("b"))
        domain = "abc"[len(name) % 3]
        return directory, Chooser(
            directory, failure_domain=domain, cold_shares=shares, seed=hash(name) % 997
        )

    def end_evacuation(self, now_ms):
        for directory, _ in self.choosers:
            directory.set_evacuated(now_ms, frozenset())

    def simulate(self, from_ms, seconds, per_second):
        """Return the times of the requests to each replica; runs last 300 ms.

        Nodes receive each other's loads 150 ms late, as through aggregators.
        """
        sent_ms_by_name = {item.incarnation: [] for item in self.entries}
        running = []
        reported, reported_ms = {}, -50
        for number in range(int(seconds * per_second)):
            now_ms = from_ms + int(number * 1_000 / per_second)
            while running and running[0][0] <= now_ms:
                running.pop(0)[1].in_flight -= 1
            directory, chooser = self.random.choice(self.choosers)
            if now_ms >= reported_ms + 50:
                reported_ms = now_ms
                reported = {
                    name: sum(now_ms - 450 < at <= now_ms - 150 for at in sent[-40:])
                    for name, sent in sent_ms_by_name.items()
                }
            for state in directory.all():
                state.on_load(now_ms, reported[state.entry.incarnation])
            choice = chooser.choose(now_ms, Requirements("s"))
            if choice is None:
                continue
            choice.replica.in_flight += 1
            running.append((now_ms + 300, choice.replica))
            sent_ms_by_name[choice.replica.entry.incarnation].append(now_ms)
        return sent_ms_by_name

    def most_in_a_second(self, sent_ms_by_name, domain):
        most = 0
        for item in self.entries:
            if item.failure_domain == domain:
                sent = sent_ms_by_name[item.incarnation]
                for start in sent:
                    within = sum(start <= at < start + 1_000 for at in sent)
                    most = max(most, within)
        return most

    def test_a_domain_that_returns_cold_gets_no_more_than_it_sustains(self):
        """Guards against replicas that crash as soon as their domain is used again.

        When the evacuation of the failure domain ended, its replicas were cold, but
        their entries did not say so yet. They were idle, so all nodes preferred them
        during a burst of twice the usual load, and one replica got 25 requests within a
        second.
        """
        self.simulate(0, 1, 1_030)
        self.end_evacuation(1_000)
        sent = self.simulate(1_000, 2.5, 1_030)
        self.assertLessEqual(self.most_in_a_second(sent, "b"), BOUND)
        total = sum(map(len, sent.values()))
        self.assertGreater(total, 0.99 * 2.5 * 1_030)

    def test_a_cold_domain_gets_its_sustained_rate_when_the_others_are_full(self):
        """Guards against rejecting callers although a cold domain could serve some.

        The load is more than the two other domains can serve in their slots.
        """
        self.end_evacuation(1_000)
        sent = self.simulate(1_000, 2, 2_200)
        returned = [
            len(sent[item.incarnation])
            for item in self.entries
            if item.failure_domain == "b"
        ]
        self.assertLessEqual(self.most_in_a_second(sent, "b"), BOUND)
        self.assertGreater(sum(returned) / len(returned), PER_SECOND)

    def test_a_domain_gets_its_share_of_the_load_again_once_warm(self):
        self.end_evacuation(1_000)
        sent = self.simulate(4_100, 1, 1_030)
        counts = Counter()
        for item in self.entries:
            counts[item.failure_domain] += len(sent[item.incarnation])
        self.assertGreater(counts["b"], 0.2 * 1_030)


class ColdStateTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.set_services(SERVICE)

    def update(self, now_ms, **changes):
        self.directory.on_changes(now_ms, [entry("r1", **changes)], [])
        return self.directory.find("r1")

    def test_a_replica_is_cold_for_the_time_in_its_entry(self):
        state = self.update(0, cold_ms=2_000)
        self.assertTrue(state.is_cold(1_999))
        self.assertFalse(state.is_cold(2_000))

    def test_a_replica_may_become_cold_at_any_time(self):
        state = self.update(0)
        self.assertFalse(state.is_cold(5_000))
        self.update(5_000, cold_ms=900)
        self.assertTrue(state.is_cold(5_500))

    def test_an_entry_that_is_read_again_does_not_make_it_cold_again(self):
        """Guards against a replica that stays cold forever.

        The replica could not renew its entry, and each full read of the table returned
        the last entry again.
        """
        state = self.update(0, cold_ms=2_000)
        self.update(5_000, cold_ms=2_000, version=4)
        self.assertFalse(state.is_cold(5_000))

    def test_an_older_entry_does_not_end_the_assumed_cold_time(self):
        """Guards against an entry in transit that ends the assumed cold time.

        The entry was written before the evacuation ended, and arrives after it.
        """
        state = self.update(0)
        self.directory.set_evacuated(0, frozenset("a"))
        self.directory.set_evacuated(100, frozenset())
        self.update(200, version=2)
        self.assertTrue(state.is_cold(3_000))
        self.assertFalse(state.is_cold(3_100))

    def test_replicas_of_another_domain_stay_warm(self):
        state = self.update(0, zone="b")
        self.directory.set_evacuated(0, frozenset("a"))
        self.directory.set_evacuated(100, frozenset())
        self.assertFalse(state.is_cold(200))

    def test_a_service_without_a_cold_limit_gets_all_requests(self):
        self.directory.set_services({"s": Service("s")})
        self.update(0, cold_ms=2_000)
        chooser = Chooser(self.directory, failure_domain="a", seed=1)
        chosen = [chooser.choose(0, Requirements("s")) for _ in range(30)]
        self.assertNotIn(None, chosen)

    def test_a_cold_preferred_replica_stays_preferred_when_its_share_is_used(self):
        """Guards against prefilling prompts twice while their replica is cold.

        For three seconds each prompt had another preferred replica, which prefilled it
        again. Afterwards the first replica was preferred again.
        """
        names = [f"r{number}" for number in range(2, 6)]
        self.directory.on_changes(0, [entry(name, version=1) for name in names], [])
        requirements = Requirements(
            "s", prefix_key="p", prefix_tokens=9_000, model="m", version=1
        )
        chooser = Chooser(self.directory, failure_domain="a", seed=1)
        preferred = chooser.choose(0, requirements).replica
        preferred.on_cold(0, 2_000)
        chooser_without_share = Chooser(
            self.directory, failure_domain="a", cold_shares=ColdShares("n1"), seed=1
        )
        choice = chooser_without_share.choose(0, requirements)
        self.assertIsNot(choice.replica, preferred)
        self.assertEqual(choice.kv_source, preferred.entry.address)


class CountTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.set_services(SERVICE)
        self.directory.on_full_read(0, [entry("r1", cold_ms=3_000)])
        self.state = self.directory.find("r1")
        self.shares = ColdShares("n1")
        self.shares.set_nodes(NODES[:10] + ["n1"])

    def may_send(self, now_ms):
        return self.shares.may_send(now_ms, self.state, PER_SECOND)

    def test_one_request_a_second_from_the_time_it_was_sent(self):
        self.shares.on_granted(0, self.state)
        self.state.on_cold_sent(20)
        self.assertFalse(self.may_send(1_019))
        self.assertTrue(self.may_send(1_020))

    def test_a_request_that_is_not_sent_yet_counts_at_its_latest_time(self):
        """Guards against two requests that reach a cold replica within half a second.

        The first one waited for its connection while the second one was sent.
        """
        self.shares.on_granted(0, self.state)
        self.assertFalse(self.may_send(1_399))
        self.assertTrue(self.may_send(1_400))

    def test_a_request_that_is_sent_after_a_standstill_counts_then(self):
        """Guards against two requests that reach a cold replica in one second.

        The node did not run for longer than the replica was counted as used, and sent
        the request that it had chosen before when it went on.
        """
        self.shares.on_granted(0, self.state)
        self.state.on_cold_sent(2_000)
        self.assertFalse(self.may_send(2_999))
        self.assertTrue(self.may_send(3_000))
