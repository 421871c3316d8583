"""Choice of a replica by load, weights, prefixes and failures."""

import unittest
from collections import Counter

from fireflyward.replicas import (
    Chooser,
    InFlightLoad,
    PeerLoad,
    ReplicaDirectory,
    Requirements,
)

from .makers import entry


def load_at(name, load):
    """Return a node's load report for one replica."""
    return {entry(name).incarnation_id: load}


class ChooserCase(unittest.TestCase):
    def make(self, *entries):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, entries)
        self.peers = PeerLoad()
        self.chooser = Chooser(
            self.directory, failure_domain="a", peers=self.peers, seed=1
        )

    def chosen(self, requirements=None, now_ms=0, **options):
        choice = self.chooser.choose(
            now_ms, requirements or Requirements("s"), **options
        )
        return choice.replica.entry.incarnation if choice else None

    def state(self, name):
        return self.directory.find(name)


class ChooserTests(ChooserCase):
    def test_no_choice_for_an_unknown_service(self):
        self.make(entry("r1"))
        self.assertIsNone(self.chosen(Requirements("other")))

    def test_the_less_loaded_replica_is_chosen(self):
        self.make(entry("r1"), entry("r2"))
        self.state("r1").in_flight = 3
        self.assertEqual({self.chosen() for _ in range(50)}, {"r2"})

    def test_load_of_other_nodes_counts_and_decays(self):
        self.make(entry("r1"), entry("r2", zone="b"))
        self.state("r1").on_load(0, 4)
        self.assertEqual(self.chosen(), "r2")
        self.assertEqual(self.chosen(now_ms=20_000), "r1")

    def test_nodes_with_the_same_data_choose_different_replicas(self):
        self.make(entry("r1"), entry("r2"))
        counts = Counter(self.chosen() for _ in range(400))
        self.assertGreater(min(counts.values()), 100)

    def test_a_replica_that_broke_a_connection_is_a_last_resort(self):
        self.make(entry("r1"), entry("r2"))
        self.state("r1").on_send_failure(0)
        self.assertEqual({self.chosen() for _ in range(50)}, {"r2"})
        self.assertEqual(
            self.chosen(without=frozenset({entry("r2").incarnation_id})), "r1"
        )

    def test_suspicion_time_doubles_and_an_answer_ends_it(self):
        self.make(entry("r1"))
        state = self.state("r1")
        state.on_send_failure(0)
        self.assertFalse(state.is_suspect(400))
        state.on_send_failure(400)
        self.assertTrue(state.is_suspect(1_100))
        state.on_answer(failed=False)
        self.assertFalse(state.is_suspect(1_100))

    def test_a_replica_that_fails_more_than_the_others_is_avoided(self):
        """Guards against one in three requests failing while health checks pass."""
        self.make(entry("r1"), entry("r2"), entry("r3"))
        for number in range(40):
            self.state("r1").on_answer(failed=number % 2 == 0)
        counts = Counter(self.chosen() for _ in range(200))
        self.assertEqual(counts["r1"], 0)

    def test_a_prefix_has_the_same_preferred_replica_on_every_node(self):
        entries = [entry(f"r{n}", version=1) for n in range(6)]
        requirements = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        preferred = set()
        for _ in range(5):
            self.make(*entries)
            preferred.add(self.chosen(requirements))
        self.assertEqual(len(preferred), 1)

    def test_a_busy_preferred_replica_is_avoided_and_becomes_the_kv_source(self):
        """Guards against a popular prompt slowing its replica while others are idle."""
        self.make(*(entry(f"r{n}", version=1) for n in range(3)))
        requirements = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        preferred = self.chosen(requirements)
        self.peers.on_load_report(
            0, "entry-2", load_at(preferred, InFlightLoad(60_000, 60_000))
        )
        choice = self.chooser.choose(0, requirements)
        self.assertNotEqual(choice.replica.entry.incarnation, preferred)
        self.assertEqual(choice.kv_source, f"{preferred}:80")

    def test_a_preferred_replica_with_other_weights_is_no_kv_source(self):
        self.make(*(entry(f"r{n}", version=1) for n in range(3)))
        requirements = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        preferred = self.chosen(requirements)
        self.peers.on_load_report(
            0, "entry-2", load_at(preferred, InFlightLoad(60_000, 60_000))
        )
        self.state(preferred).on_loaded("m", 2)
        self.assertIsNone(self.chooser.choose(0, requirements).kv_source)

    def test_replicas_with_weights_older_than_allowed_get_no_requests(self):
        self.make(entry("r1", version=1), entry("r2", version=2))
        requirements = Requirements("s", model="m", version=2, least_version=2)
        self.assertEqual({self.chosen(requirements) for _ in range(20)}, {"r2"})
        self.state("r2").version_by_model = {"m": 1}
        self.assertIsNone(self.chosen(requirements))

    def test_a_replica_that_loads_weights_is_avoided_while_others_are_available(self):
        self.make(entry("r1", version=1), entry("r2", version=1))
        self.state("r1").on_loading(0, 5_000)
        self.assertEqual(
            {self.chosen(Requirements("s", model="m")) for _ in range(20)}, {"r2"}
        )

    def test_the_queue_of_a_choice_contains_the_load_of_all_nodes(self):
        self.make(entry("r1", version=1))
        self.state("r1").unprefilled_tokens = 900
        self.peers.on_load_report(0, "entry-2", load_at("r1", InFlightLoad(900, 900)))
        choice = self.chooser.choose(0, Requirements("s", model="m", new_tokens=900))
        self.assertEqual((choice.queue_ms, choice.first_token_ms), (20.0, 85.0))


class LoadTests(ChooserCase):
    def test_a_replica_without_memory_for_the_request_is_avoided(self):
        """Guards against streams that stop midway for a second with short queues.

        Long prompts fill a replica's memory. The replica preempts running requests and
        prefills them again.
        """
        self.make(entry("r1", version=1), entry("r2", version=1))
        self.peers.on_load_report(0, "entry-2", load_at("r1", InFlightLoad(0, 90_000)))
        requirements = Requirements("s", model="m", tokens=12_000, kv_tokens=100_000)
        self.assertEqual({self.chosen(requirements) for _ in range(20)}, {"r2"})
        self.peers.on_load_report(
            0,
            "entry-2",
            load_at("r1", InFlightLoad(0, 9)) | load_at("r2", InFlightLoad(0, 90_000)),
        )
        choice = self.chooser.choose(0, requirements)
        self.assertEqual(choice.replica.entry.incarnation, "r1")
        self.assertEqual(choice.queue_ms, 0.0)

    def test_a_replica_that_is_slower_than_estimated_has_a_longer_queue(self):
        self.make(entry("r1", version=1))
        state = self.state("r1")
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=255.0)
        self.assertGreater(state.slowdown, 1.9)
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=105.0)
        self.assertLess(state.slowdown, 0.6)
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=255.0)
        state.unprefilled_tokens = 900
        self.assertGreater(self.chooser.queue_ms(0, state), 19.0)

    def test_a_replica_without_a_free_slot_has_a_longer_wait(self):
        self.make(entry("r1", slots=4), entry("r2", slots=4))
        self.peers.on_load_report(0, "entry-2", load_at("r1", InFlightLoad(0, 0, 6)))
        self.assertEqual({self.chosen() for _ in range(20)}, {"r2"})
        self.peers.on_load_report(
            0,
            "entry-2",
            load_at("r1", InFlightLoad(0, 0, 6)) | load_at("r2", InFlightLoad(0, 0, 6)),
        )
        self.assertEqual(self.chooser.choose(0, Requirements("s")).queue_ms, 75.0)


class ManyReplicasTests(unittest.TestCase):
    """Forty replicas, and sixty nodes that receive loads at the same moment."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}", slots=16) for i in range(40)]
        self.directory.on_full_read(0, entries)
        # All replicas are busy, and one of them is a little less busy.
        message = {}
        for i in range(1, 40):
            message |= load_at(f"r{i}", InFlightLoad(2_000, 90_000, 10))
        message |= load_at("r0", InFlightLoad(0, 40_000, 4))
        self.choosers = []
        for seed in range(60):
            peers = PeerLoad()
            peers.on_load_report(0, "others", message)
            self.choosers.append(
                Chooser(self.directory, failure_domain="a", peers=peers, seed=seed)
            )

    def test_nodes_with_the_same_loads_do_not_all_choose_the_same_replica(self):
        """Guards against more late first tokens with more frequent load reports.

        All nodes receive the same sums at the same moment. Twenty requests arrived
        before the next sums, 40 ms later, and all went to the least loaded replica.
        """
        chosen = Counter(
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        )
        self.assertLess(max(chosen.values()), 15)
        self.assertGreater(len(chosen), 20)

    def test_a_busy_replica_is_avoided_if_another_one_of_the_sample_is_free(self):
        for i in range(20):
            self.directory.find(f"r{i}").in_flight = 16
        chosen = {
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        }
        busy = {f"r{i}" for i in range(20)}
        # One sample in eight contains none of the twenty other replicas.
        self.assertLess(len(chosen & busy), 13)

    def test_suspects_are_not_sampled(self):
        for i in range(1, 39):
            self.directory.find(f"r{i}").on_send_failure(0)
        chosen = {
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        }
        self.assertLessEqual(chosen, {"r0", "r39"})

    def test_the_preferred_replica_is_always_a_candidate(self):
        requirements = Requirements("s", prefix_key="p", prefix_tokens=9_000)
        chosen = Counter(
            chooser.choose(0, requirements).replica.entry.incarnation
            for chooser in self.choosers
        )
        self.assertGreater(max(chosen.values()), 50)
