"""The in-flight load of the other nodes, as one node knows it."""

import unittest

from fireflyward.replicas import InFlightLoad, PeerLoad


class MeshTests(unittest.TestCase):
    def test_the_newest_report_of_a_node_counts(self):
        peers = PeerLoad()
        peers.on_load_report(0, "n", {1: InFlightLoad(5, 5), 2: InFlightLoad(7, 7)})
        peers.on_load_report(1, "n", {1: InFlightLoad(2, 3)})
        self.assertEqual(peers.at(1, 1), InFlightLoad(2, 3))
        self.assertEqual(peers.at(1, 2), InFlightLoad())

    def test_the_load_of_a_silent_node_is_dropped(self):
        """Guards against an idle replica that gets no requests.

        A node crashed with requests in flight, and its last report stayed.
        """
        peers = PeerLoad()
        peers.on_load_report(0, "n", {1: InFlightLoad(50_000, 50_000)})
        self.assertEqual(peers.at(2_000, 1), InFlightLoad())


class SumTests(unittest.TestCase):
    def setUp(self):
        self.peers = PeerLoad()

    def test_sums_of_all_aggregators_add_up(self):
        self.peers.on_domain_sum(0, "a", {1: InFlightLoad(100, 200, 2)})
        self.peers.on_domain_sum(0, "b", {1: InFlightLoad(10, 20, 1)})
        self.assertEqual(self.peers.at(0, 1), InFlightLoad(110, 220, 3))

    def test_only_the_entries_in_a_message_change(self):
        self.peers.on_domain_sum(
            0, "a", {1: InFlightLoad(1, 1, 1), 2: InFlightLoad(2, 2, 1)}
        )
        self.peers.on_domain_sum(40, "a", {2: InFlightLoad()})
        self.assertEqual(self.peers.at(40, 1).requests, 1)
        self.assertEqual(self.peers.at(40, 2).requests, 0)

    def test_a_sum_that_is_not_confirmed_is_dropped(self):
        """Guards against avoiding some replicas after an aggregator lost power.

        Its last sums were still used and the next aggregator's were added to them, so
        every request in flight counted twice.
        """
        self.peers.on_domain_sum(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.assertEqual(self.peers.at(1_499, 1).requests, 1)
        self.assertEqual(self.peers.at(1_500, 1).requests, 0)

    def test_own_load_in_a_total_is_not_counted_as_others(self):
        """Guards against nodes that avoid the replicas that they themselves use.

        The aggregator's total contains this node's own report, and the node added its
        own requests once more.
        """
        self.peers.follow("a")
        self.peers.on_own_report(0, {1: InFlightLoad(100, 100, 1)})
        self.peers.on_total(70, "a", {1: InFlightLoad(150, 300, 3)})
        self.assertEqual(self.peers.at(70, 1), InFlightLoad(50, 200, 2))

    def test_own_load_is_in_the_total_only_after_the_round_trip(self):
        self.peers.follow("a")
        self.peers.on_total(0, "a", {1: InFlightLoad(50, 50, 1)})
        self.peers.on_own_report(0, {1: InFlightLoad(100, 100, 1)})
        self.assertEqual(self.peers.at(10, 1).requests, 1)
        self.assertEqual(self.peers.at(70, 1).requests, 0)

    def test_only_the_followed_aggregator_s_total_counts(self):
        """Guards against avoiding replicas after a change of the aggregator.

        The totals of both aggregators were added up, and each contains all requests.
        """
        self.peers.on_total(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.peers.on_total(0, "b", {1: InFlightLoad(2, 2, 2)})
        self.peers.follow("b")
        self.assertEqual(self.peers.at(0, 1).requests, 2)

    def test_a_total_that_is_not_confirmed_is_dropped(self):
        self.peers.follow("a")
        self.peers.on_total(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.assertEqual(self.peers.at(1_499, 1).requests, 1)
        self.assertEqual(self.peers.at(1_500, 1).requests, 0)
