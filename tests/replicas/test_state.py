"""State and estimates of one incarnation of a replica."""

import unittest

from fireflyward.replicas import ReplicaState

from .makers import entry


class WeightsTests(unittest.TestCase):
    def setUp(self):
        self.state = ReplicaState(entry("r1", version=1))

    def test_the_replica_s_own_report_precedes_the_list(self):
        self.state.on_loaded("m", 2)
        self.assertEqual(self.state.possible_weights(), {("m", 2)})

    def test_an_estimated_version_does_not_exclude_the_listed_one(self):
        """Guards against fetching memory that was freed in the meantime.

        A replica rejected a request for the first version without saying which version
        it has. The second and third versions had been announced, and this node assumed
        the third. In fact the replica had the second version, whose blocks other nodes
        still fetched for it.
        """
        self.state.update_entry(entry("r1", version=2))
        self.state.version_by_model["m"] = 3
        self.assertEqual(self.state.possible_weights(), {("m", 2), ("m", 3)})

    def test_a_newer_entry_precedes_an_old_report(self):
        self.state.on_loaded("m", 2)
        self.state.update_entry(entry("r1", version=3))
        self.assertEqual(self.state.possible_weights(), {("m", 3)})

    def test_a_delayed_report_of_older_weights_changes_nothing(self):
        """Guards against a replica that is not used for the weights which it has.

        A node that stood still read the list first, and then the announcement of an
        earlier load, which had waited. The list did not change any more.
        """
        self.state.update_entry(entry("r1", version=3))
        self.state.on_loaded("m", 2)
        self.assertEqual(self.state.version_by_model, {"m": 3})
        self.state.update_entry(entry("r1", version=3))
        self.assertEqual(self.state.version_by_model, {"m": 3})


class StandstillTests(unittest.TestCase):
    def test_answers_that_were_read_late_make_no_replica_slow(self):
        """Guards against a node that rejects requests as late after a standstill.

        It read the answers to all waiting requests seconds late, and took its replicas
        for four times as slow until each of them had given twenty more answers.
        """
        lost_ms = 7_800
        state = ReplicaState(entry("r1"), lost_within_ms=lambda duration_ms: lost_ms)
        for _ in range(6):
            state.on_first_token(expected_ms=355.0, took_ms=8_300.0)
            state.on_run_finished(8_400.0)
        self.assertEqual((state.slowdown, state.mean_run_ms), (1.0, 100.0))
        lost_ms = 0
        state.on_first_token(expected_ms=355.0, took_ms=8_300.0)
        state.on_run_finished(8_400.0)
        self.assertGreater(state.slowdown, 1.0)
        self.assertGreater(state.mean_run_ms, 100.0)


class LoadTests(unittest.TestCase):
    def test_own_late_requests_do_not_count_as_requests_of_other_nodes(self):
        """A replica counts all waiting requests, including this node's late ones."""
        state = ReplicaState(entry("r1"))
        state.in_flight, state.waiting_late = 3, 2
        state.on_load(0, 9)
        self.assertEqual(state.other_requests(0), 4)
