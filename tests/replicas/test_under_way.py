"""What a node believes that the others have under way."""

import unittest

from fireflyward.replicas import InFlightLoad, PeerLoad


class MeshTests(unittest.TestCase):
    def test_the_newest_word_of_a_node_counts(self):
        peers = PeerLoad()
        peers.take(0, "n", {1: InFlightLoad(5, 5), 2: InFlightLoad(7, 7)})
        peers.take(1, "n", {1: InFlightLoad(2, 3)})
        self.assertEqual(peers.at(1, 1), InFlightLoad(2, 3))
        self.assertEqual(peers.at(1, 2), InFlightLoad())

    def test_a_node_that_fell_silent_is_forgotten(self):
        """Symptom: a replica gets nothing although it idles.

        A node died with requests under way, and what it told last stays.
        """
        peers = PeerLoad()
        peers.take(0, "n", {1: InFlightLoad(50_000, 50_000)})
        self.assertEqual(peers.at(2_000, 1), InFlightLoad())


class SumTests(unittest.TestCase):
    def setUp(self):
        self.peers = PeerLoad()

    def test_sums_of_all_aggregators_add_up(self):
        self.peers.take_sum(0, "a", {1: InFlightLoad(100, 200, 2)})
        self.peers.take_sum(0, "b", {1: InFlightLoad(10, 20, 1)})
        self.assertEqual(self.peers.at(0, 1), InFlightLoad(110, 220, 3))

    def test_only_what_is_told_changes(self):
        self.peers.take_sum(
            0, "a", {1: InFlightLoad(1, 1, 1), 2: InFlightLoad(2, 2, 1)}
        )
        self.peers.take_sum(40, "a", {2: InFlightLoad()})
        self.assertEqual(self.peers.at(40, 1).requests, 1)
        self.assertEqual(self.peers.at(40, 2).requests, 0)

    def test_a_sum_that_is_not_confirmed_is_dropped(self):
        """Symptom: some replicas are shunned after an aggregator lost power.

        Its last sums stay believed while the next aggregator's are added to them,
        so every request under way counts twice.
        """
        self.peers.take_sum(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.assertEqual(self.peers.at(1_499, 1).requests, 1)
        self.assertEqual(self.peers.at(1_500, 1).requests, 0)

    def test_own_work_in_a_total_is_not_counted_as_others(self):
        """Symptom: nodes shun the replicas that they themselves use.

        The aggregator's total holds what this node told it, and the node adds its
        own requests once more.
        """
        self.peers.follow("a")
        self.peers.on_told_own(0, {1: InFlightLoad(100, 100, 1)})
        self.peers.take_total(70, "a", {1: InFlightLoad(150, 300, 3)})
        self.assertEqual(self.peers.at(70, 1), InFlightLoad(50, 200, 2))

    def test_own_work_counts_as_summed_only_after_the_way_there_and_back(self):
        self.peers.follow("a")
        self.peers.take_total(0, "a", {1: InFlightLoad(50, 50, 1)})
        self.peers.on_told_own(0, {1: InFlightLoad(100, 100, 1)})
        self.assertEqual(self.peers.at(10, 1).requests, 1)
        self.assertEqual(self.peers.at(70, 1).requests, 0)

    def test_only_the_followed_aggregator_s_total_counts(self):
        """Symptom: replicas are shunned after a change of the aggregator.

        Totals of both were added up, and each holds all requests.
        """
        self.peers.take_total(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.peers.take_total(0, "b", {1: InFlightLoad(2, 2, 2)})
        self.peers.follow("b")
        self.assertEqual(self.peers.at(0, 1).requests, 2)

    def test_a_total_that_is_not_confirmed_is_dropped(self):
        self.peers.follow("a")
        self.peers.take_total(0, "a", {1: InFlightLoad(1, 1, 1)})
        self.assertEqual(self.peers.at(1_499, 1).requests, 1)
        self.assertEqual(self.peers.at(1_500, 1).requests, 0)
