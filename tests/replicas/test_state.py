"""What is believed of one incarnation of a replica."""

import unittest

from fireflyward.replicas import ReplicaState

from .makers import entry


class WeightsTests(unittest.TestCase):
    def setUp(self):
        self.state = ReplicaState(entry("r1", version=1))

    def test_a_report_goes_before_the_list(self):
        self.state.on_loaded("m", 2)
        self.assertEqual(self.state.weights_it_may_have(), {("m", 2)})

    def test_a_guess_does_not_rule_out_what_the_list_says(self):
        """Symptom: a fetch reads memory that was freed meanwhile.

        A replica rejected a request for the first version without saying which it
        has. The second and the third had been named by then, and it was taken to
        have the third; it had the second, which others still fetched for it.
        """
        self.state.update_entry(entry("r1", version=2))
        self.state.version_by_model["m"] = 3
        self.assertEqual(self.state.weights_it_may_have(), {("m", 2), ("m", 3)})

    def test_a_newer_entry_goes_before_an_old_report(self):
        self.state.on_loaded("m", 2)
        self.state.update_entry(entry("r1", version=3))
        self.assertEqual(self.state.weights_it_may_have(), {("m", 3)})


class LoadTests(unittest.TestCase):
    def test_own_requests_that_wait_behind_all_others_are_no_others(self):
        """A replica counts all that wait there, this node's late ones too."""
        state = ReplicaState(entry("r1"))
        state.in_flight, state.waiting_late = 3, 2
        state.on_load(0, 9)
        self.assertEqual(state.others_at(0), 4)
