"""The choice of a replica from load, weights, prefixes and trouble."""

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


def told(name, under_way):
    """Return what a node tells of one replica."""
    return {entry(name).number: under_way}


class ChooserCase(unittest.TestCase):
    def make(self, *entries):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, entries, after_outage=False)
        self.peers = PeerLoad()
        self.chooser = Chooser(
            self.directory, failure_domain="a", peers=self.peers, seed=1
        )

    def chosen(self, wanted=None, now_ms=0, **options):
        choice = self.chooser.choose(now_ms, wanted or Requirements("s"), **options)
        return choice.replica.entry.incarnation if choice else None

    def state(self, name):
        return self.directory.find(name)


class ChooserTests(ChooserCase):
    def test_none_for_an_unknown_service(self):
        self.make(entry("r1"))
        self.assertIsNone(self.chosen(Requirements("other")))

    def test_the_less_loaded_one(self):
        self.make(entry("r1"), entry("r2"))
        self.state("r1").in_flight = 3
        self.assertEqual({self.chosen() for _ in range(50)}, {"r2"})

    def test_load_of_other_nodes_counts_and_fades(self):
        self.make(entry("r1"), entry("r2", zone="b"))
        self.state("r1").on_load(0, 4)
        self.assertEqual(self.chosen(), "r2")
        self.assertEqual(self.chosen(now_ms=20_000), "r1")

    def test_nodes_that_see_the_same_do_not_all_choose_alike(self):
        self.make(entry("r1"), entry("r2"))
        counts = Counter(self.chosen() for _ in range(400))
        self.assertGreater(min(counts.values()), 100)

    def test_one_that_broke_off_is_a_last_resort(self):
        self.make(entry("r1"), entry("r2"))
        self.state("r1").on_send_failure(0)
        self.assertEqual({self.chosen() for _ in range(50)}, {"r2"})
        self.assertEqual(self.chosen(without=frozenset({entry("r2").number})), "r1")

    def test_suspicion_doubles_and_ends_with_an_answer(self):
        self.make(entry("r1"))
        state = self.state("r1")
        state.on_send_failure(0)
        self.assertFalse(state.is_suspect(400))
        state.on_send_failure(400)
        self.assertTrue(state.is_suspect(1_100))
        state.on_answer(failed=False)
        self.assertFalse(state.is_suspect(1_100))

    def test_one_that_fails_more_than_the_others_is_avoided(self):
        """Symptom: one in three requests fails while health checks are good."""
        self.make(entry("r1"), entry("r2"), entry("r3"))
        for number in range(40):
            self.state("r1").on_answer(failed=number % 2 == 0)
        counts = Counter(self.chosen() for _ in range(200))
        self.assertEqual(counts["r1"], 0)

    def test_requests_with_one_prefix_have_one_home_on_every_node(self):
        entries = [entry(f"r{n}", version=1) for n in range(6)]
        wanted = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        homes = set()
        for _ in range(5):
            self.make(*entries)
            homes.add(self.chosen(wanted))
        self.assertEqual(len(homes), 1)

    def test_a_busy_home_gives_way_and_is_named_as_the_source(self):
        """Symptom: one popular prompt makes its replica slow, others lie idle."""
        self.make(*(entry(f"r{n}", version=1) for n in range(3)))
        wanted = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        home = self.chosen(wanted)
        self.peers.take(0, "entry-2", told(home, InFlightLoad(60_000, 60_000)))
        choice = self.chooser.choose(0, wanted)
        self.assertNotEqual(choice.replica.entry.incarnation, home)
        self.assertEqual(choice.kv_source, f"{home}:80")

    def test_a_home_with_other_weights_is_no_source(self):
        self.make(*(entry(f"r{n}", version=1) for n in range(3)))
        wanted = Requirements("s", prefix_key="p", prefix_tokens=9_000, model="m")
        home = self.chosen(wanted)
        self.peers.take(0, "entry-2", told(home, InFlightLoad(60_000, 60_000)))
        self.state(home).on_loaded("m", 2)
        self.assertIsNone(self.chooser.choose(0, wanted).kv_source)

    def test_weights_older_than_allowed_take_nothing(self):
        self.make(entry("r1", version=1), entry("r2", version=2))
        wanted = Requirements("s", model="m", version=2, least_version=2)
        self.assertEqual({self.chosen(wanted) for _ in range(20)}, {"r2"})
        self.state("r2").version_by_model = {"m": 1}
        self.assertIsNone(self.chosen(wanted))

    def test_one_that_loads_takes_nothing_while_others_can(self):
        self.make(entry("r1", version=1), entry("r2", version=1))
        self.state("r1").on_loading(0, 5_000)
        self.assertEqual(
            {self.chosen(Requirements("s", model="m")) for _ in range(20)}, {"r2"}
        )

    def test_the_queue_of_all_nodes_is_told(self):
        self.make(entry("r1", version=1))
        self.state("r1").unprefilled_tokens = 900
        self.peers.take(0, "entry-2", told("r1", InFlightLoad(900, 900)))
        choice = self.chooser.choose(0, Requirements("s", model="m", new_tokens=900))
        self.assertEqual((choice.queue_ms, choice.first_token_ms), (20.0, 85.0))


class LoadTests(ChooserCase):
    def test_a_replica_without_memory_for_it_is_avoided(self):
        """Symptom: streams stop midway for a second, though queues are short.

        Long prompts fill a replica's memory; it puts running requests back and
        reads them again.
        """
        self.make(entry("r1", version=1), entry("r2", version=1))
        self.peers.take(0, "entry-2", told("r1", InFlightLoad(0, 90_000)))
        wanted = Requirements("s", model="m", tokens=12_000, kv_tokens=100_000)
        self.assertEqual({self.chosen(wanted) for _ in range(20)}, {"r2"})
        self.peers.take(
            0,
            "entry-2",
            told("r1", InFlightLoad(0, 9)) | told("r2", InFlightLoad(0, 90_000)),
        )
        choice = self.chooser.choose(0, wanted)
        self.assertEqual(choice.replica.entry.incarnation, "r1")
        self.assertEqual(choice.queue_ms, 0.0)

    def test_a_replica_that_is_slower_than_expected_waits_longer(self):
        self.make(entry("r1", version=1))
        state = self.state("r1")
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=255.0)
        self.assertGreater(state.pace, 1.9)
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=105.0)
        self.assertLess(state.pace, 0.6)
        for _ in range(40):
            state.on_first_token(expected_ms=155.0, took_ms=255.0)
        state.unprefilled_tokens = 900
        self.assertGreater(self.chooser.queue_ms(0, state), 19.0)

    def test_a_replica_without_a_free_slot_makes_wait(self):
        self.make(entry("r1", slots=4), entry("r2", slots=4))
        self.peers.take(0, "entry-2", told("r1", InFlightLoad(0, 0, 6)))
        self.assertEqual({self.chosen() for _ in range(20)}, {"r2"})
        self.peers.take(
            0,
            "entry-2",
            told("r1", InFlightLoad(0, 0, 6)) | told("r2", InFlightLoad(0, 0, 6)),
        )
        self.assertEqual(self.chooser.choose(0, Requirements("s")).queue_ms, 75.0)


class ManyReplicasTests(unittest.TestCase):
    """Forty replicas, and sixty nodes that hear of loads at the same moment."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}", slots=16) for i in range(40)]
        self.directory.on_full_read(0, entries, after_outage=False)
        # All are busy, and one of them a little less.
        news = {}
        for i in range(1, 40):
            news |= told(f"r{i}", InFlightLoad(2_000, 90_000, 10))
        news |= told("r0", InFlightLoad(0, 40_000, 4))
        self.choosers = []
        for seed in range(60):
            peers = PeerLoad()
            peers.take(0, "others", news)
            self.choosers.append(
                Chooser(self.directory, failure_domain="a", peers=peers, seed=seed)
            )

    def test_nodes_with_the_same_news_do_not_all_choose_the_same(self):
        """Symptom: with fresher news of loads more first tokens come late, not fewer.

        All nodes hear the same sums at the same moment. Until the next ones, 40 ms
        later, twenty requests came, and all went to the replica that looked best.
        """
        chosen = Counter(
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        )
        self.assertLess(max(chosen.values()), 15)
        self.assertGreater(len(chosen), 20)

    def test_a_busy_replica_is_passed_over_where_one_of_the_drawn_is_free(self):
        for i in range(20):
            self.directory.find(f"r{i}").in_flight = 16
        chosen = {
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        }
        busy = {f"r{i}" for i in range(20)}
        # One draw in eight has none of the twenty others.
        self.assertLess(len(chosen & busy), 13)

    def test_suspects_are_not_drawn(self):
        for i in range(1, 39):
            self.directory.find(f"r{i}").on_send_failure(0)
        chosen = {
            chooser.choose(0, Requirements("s")).replica.entry.incarnation
            for chooser in self.choosers
        }
        self.assertLessEqual(chosen, {"r0", "r39"})

    def test_a_prompt_s_home_is_always_weighed(self):
        wanted = Requirements("s", prefix_key="p", prefix_tokens=9_000)
        chosen = Counter(
            chooser.choose(0, wanted).replica.entry.incarnation
            for chooser in self.choosers
        )
        self.assertGreater(max(chosen.values()), 50)
