"""KV memory in use at replicas, with shared prefixes counted once."""

import random
import time
import unittest
import unittest.mock

from hypothesis import given, strategies as st

from fireflyward.replicas import (
    Chooser,
    InFlightLoad,
    KvRoom,
    PeerLoad,
    ReplicaDirectory,
    ReplicaState,
    Requirements,
    SharedPrefix,
)
from fireflyward.replicas._prefix_shares import expected_part

from .makers import entry

KV_TOKENS = 82_350
SLOTS = 12
SHARED = 9_122
TOKENS = SHARED + 2_870 + 32


def prompt(number=0):
    key = f"p{number}"
    return Requirements(
        "s",
        prefix_key=key,
        prefix_tokens=SHARED,
        new_tokens=2_870,
        tokens=TOKENS,
        kv_tokens=KV_TOKENS,
        model="m",
        shared_prefix=SharedPrefix(key, SHARED),
    )


class RoomCase(unittest.TestCase):
    def setUp(self):
        self.room = KvRoom()
        self.state = ReplicaState(entry("r1", version=1, slots=SLOTS))

    def observe(self, requirements, count=30):
        for _ in range(count):
            self.room.on_choice(0, self.state, requirements)

    def begin(self, requirements, count=1):
        for _ in range(count):
            self.state.in_flight += 1
            self.state.on_run_resident(requirements.tokens, requirements.shared_prefix)

    def wait_ms(self, requirements, others=None):
        others = others or InFlightLoad()
        return self.room.memory_ms(self.state, requirements, others)


class RoomTests(RoomCase):
    def test_a_prefix_of_this_node_s_runs_counts_once(self):
        self.observe(prompt())
        self.begin(prompt(), 8)
        expected = 8 * (TOKENS - SHARED) + SHARED
        self.assertAlmostEqual(self.room.own_tokens(self.state, 0), expected)
        self.assertEqual(self.wait_ms(prompt()), 0.0)
        free = self.room.free_tokens(self.state, InFlightLoad(0, 10_000, 1))
        self.assertLess(abs(KV_TOKENS - 10_000 - expected - free), SHARED)

    def test_runs_that_ended_occupy_nothing(self):
        self.observe(prompt())
        self.begin(prompt())
        self.state.on_run_gone(TOKENS, prompt().shared_prefix)
        self.assertEqual(self.room.own_tokens(self.state, 0), 0)
        self.assertEqual(self.state.shared_runs, {})

    def test_where_slots_are_scarcer_each_run_counts_its_whole_prompt(self):
        """Guards against other waits in deployments whose memory is large enough."""
        small = Requirements(
            "s", tokens=800, kv_tokens=KV_TOKENS, shared_prefix=SharedPrefix("p", 600)
        )
        self.observe(small)
        self.begin(small, 3)
        self.assertFalse(self.room.is_in_effect(self.state))
        self.assertEqual(self.room.own_tokens(self.state, 9), 2_400)

    def test_where_slots_are_far_more_than_memory_holds_it_is_not_in_effect(self):
        """Guards against rejections where replicas admit by memory in any case."""
        many_slots = ReplicaState(entry("r2", version=1, slots=128))
        self.observe(prompt())
        self.assertTrue(self.room.is_in_effect(self.state))
        self.assertFalse(self.room.is_in_effect(many_slots))

    def test_a_few_large_prompts_among_small_ones_call_for_it(self):
        """Guards against a mean size that would fit 16 times, where the long prompts
        that fill the memory fit seven times (deployment L)."""
        sizes = TOKENS, 851, 2_370
        for _ in range(20):
            for tokens in sizes:
                self.observe(Requirements("s", tokens=tokens, kv_tokens=KV_TOKENS), 1)
        self.assertGreater(KV_TOKENS / (sum(sizes) / 3), SLOTS)
        self.assertTrue(self.room.is_in_effect(self.state))

    def test_a_request_counts_as_no_larger_than_the_memory(self):
        """Guards against one caller that asks for a million output tokens: the rule
        took effect for a service of small requests, for hundreds of requests."""
        small = Requirements("s", tokens=800, kv_tokens=KV_TOKENS)
        self.observe(small, 200)
        self.observe(Requirements("s", tokens=10**6, kv_tokens=KV_TOKENS), 1)
        self.observe(small, 250)
        self.assertFalse(self.room.is_in_effect(self.state))

    def test_a_prompt_of_almost_all_memory_fits_beside_a_small_run(self):
        """Guards against rejecting it for ever: at a busy service no replica is empty,
        so it had no room anywhere."""
        self.observe(prompt())
        huge = Requirements("s", tokens=72_000, kv_tokens=KV_TOKENS)
        self.assertEqual(self.wait_ms(huge, InFlightLoad(0, 2_370, 1)), 0.0)
        self.assertGreater(self.wait_ms(huge, InFlightLoad(0, 12_024, 1)), 0.0)

    def test_the_wait_is_at_least_until_the_next_run_ends(self):
        self.observe(prompt())
        self.state.mean_run_ms = 1_000.0
        others = InFlightLoad(0, 69_000, 8)
        self.assertEqual(self.wait_ms(prompt(), others), 125.0)

    def test_an_older_node_s_report_is_an_upper_bound(self):
        """An older node reports whole prompts: the memory seems fuller, as before."""
        self.observe(prompt())
        older, newer = InFlightLoad(0, 8 * TOKENS, 8), InFlightLoad(0, 40_000, 8)
        self.assertGreater(self.wait_ms(prompt(), older), 0.0)
        self.assertEqual(self.wait_ms(prompt(), newer), 0.0)

    @given(st.floats(0, 1), st.integers(1, 9), st.integers(0, 64))
    def test_a_part_is_between_an_even_part_and_the_whole(self, share, own, others):
        part = expected_part(share, own, others)
        self.assertGreaterEqual(part, own / (own + others))
        self.assertLessEqual(part, 1.0)

    def test_a_part_is_computed_at_once_for_any_reported_number(self):
        """Guards against a node that stops serving because of one wrong report."""
        for share in 0.0, 1e-6, 0.3, 1.0:
            began = time.process_time()
            part = expected_part(share, 1, 10**7)
            self.assertLess(time.process_time() - began, 0.1)
            self.assertTrue(0 < part <= 1)
        self.assertAlmostEqual(expected_part(0.5, 1, 1_000), 1 / 501, delta=1e-4)

    @given(st.lists(st.integers(0, 5), max_size=12), st.integers(0, 30))
    def test_own_tokens_are_between_one_copy_and_one_for_each_run(
        self, numbers, others
    ):
        """Holds for any mix of prefixes and any number of other nodes' runs."""
        self.setUp()
        self.observe(prompt())
        for number in numbers:
            self.begin(prompt(number))
        own = self.room.own_tokens(self.state, others)
        self.assertLessEqual(own, len(numbers) * TOKENS + 1e-6)
        self.assertGreaterEqual(own, len(numbers) * (TOKENS - SHARED) - 1e-6)

    def test_the_sum_over_nodes_is_near_the_memory_in_use(self):
        """Eight runs of as many nodes, by six prefixes that are used unequally."""
        draw = random.Random(4)
        weights = [8, 4, 2, 1, 1, 1]
        counted = used = 0.0
        for _ in range(200):
            runs = draw.choices(range(6), weights, k=8)
            used += 8 * (TOKENS - SHARED) + SHARED * len(set(runs))
            for number in runs:
                self.setUp()
                for sent in draw.choices(range(6), weights, k=25):
                    self.observe(prompt(sent), 1)
                self.begin(prompt(number))
                counted += self.room.own_tokens(self.state, 7)
        self.assertAlmostEqual(counted / used, 1.0, delta=0.1)


class ChooserRoomTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        listed = [entry(f"r{n}", version=1, slots=SLOTS) for n in range(30)]
        self.directory.on_full_read(0, listed)
        self.peers, self.room = PeerLoad(), KvRoom()
        self.chooser = Chooser(
            self.directory,
            failure_domain="a",
            peers=self.peers,
            kv_room=self.room,
            seed=1,
        )
        for number in range(30):
            self.chooser.choose(0, prompt(number))

    def fill(self, names):
        self.peers.on_load_report(
            0,
            "n2",
            {
                self.directory.find(name).incarnation_id: InFlightLoad(0, 72_000, 8)
                for name in names
            },
        )

    def test_replicas_without_room_are_avoided(self):
        """Guards against preempting streams while half of the replicas have room."""
        full = {f"r{n}" for n in range(15)}
        self.fill(full)
        for number in range(60):
            choice = self.chooser.choose(0, prompt(number))
            name = choice.replica.entry.incarnation
            self.assertEqual(choice.has_room, name not in full)
        self.assertGreater(self.room.moved, 30)
        self.assertLess(self.room.without_room, 15)

    def test_a_replica_with_room_that_is_compared_is_chosen(self):
        """Guards against rejecting a prompt because the preferred replica, which has
        no room, is less busy than another one that has."""
        names = ["r0", "r1"]
        directory, room = ReplicaDirectory(), KvRoom()
        listed = [entry(name, version=1, slots=SLOTS) for name in names]
        directory.on_full_read(0, listed)
        peers = PeerLoad()
        chooser = Chooser(
            directory, failure_domain="a", peers=peers, kv_room=room, seed=1
        )
        for _ in range(30):
            preferred = chooser.choose(0, prompt()).replica
        (other,) = (x for x in directory.all() if x is not preferred)
        loads = {
            preferred.incarnation_id: InFlightLoad(0, 72_000, 6),
            other.incarnation_id: InFlightLoad(2_000, 30_000, 9),
        }
        peers.on_load_report(0, "n2", loads)
        choice = chooser.choose(0, prompt())
        self.assertIs(choice.replica, other)
        self.assertTrue(choice.has_room)

    def test_prompts_are_not_counted_where_slots_are_scarcer(self):
        """Guards against a gauge that shows a lack of room at other services."""
        small = Requirements("s", tokens=800, kv_tokens=KV_TOKENS)
        room = KvRoom()
        chooser = Chooser(
            self.directory, failure_domain="a", peers=self.peers, kv_room=room, seed=1
        )
        for _ in range(30):
            chooser.choose(0, small)
        self.fill([f"r{n}" for n in range(15)])
        for _ in range(30):
            chooser.choose(0, small)
        self.fill([f"r{n}" for n in range(30)])
        self.assertGreater(chooser.choose(0, small).memory_ms, 0.0)
        self.assertEqual((room.moved, room.without_room), (0, 0))

    def test_where_no_replica_has_room_the_choice_says_how_long_it_takes(self):
        self.fill([f"r{n}" for n in range(30)])
        for state in self.directory.all():
            state.mean_run_ms = 1_000.0
        choice = self.chooser.choose(0, prompt())
        self.assertGreaterEqual(choice.memory_ms, 125.0)
        self.assertGreaterEqual(choice.queue_ms, choice.memory_ms)
        self.assertEqual(self.room.without_room, 1)

    def test_without_reports_a_prompt_is_sent_as_if_there_was_room(self):
        """A cut link: the reports expire, and a run may be preempted, as before."""
        self.fill([f"r{n}" for n in range(30)])
        self.assertGreater(self.chooser.choose(0, prompt()).memory_ms, 0.0)
        self.assertEqual(self.chooser.choose(2_000, prompt()).memory_ms, 0.0)


class LongPromptsTests(unittest.TestCase):
    """The load pattern: long prompts of deployment L, more than the memory holds.

    Twelve nodes send 144 prompts a second to 24 replicas. Runs take 1.5 s, loads are
    exchanged every 80 ms. Prompts that have no room or are expected to wait for more
    than 250 ms are rejected.
    """

    RUN_MS, STEP_MS, REPORT_MS = 1_500, 7, 80

    def replay(self, prefixes):
        """Return the sends that exceeded a replica's memory, and all sends."""
        draw = random.Random(2)
        listed = [entry(f"r{n}", version=1, slots=SLOTS) for n in range(24)]
        nodes = []
        for seed in range(12):
            directory, peers, room = ReplicaDirectory(), PeerLoad(), KvRoom()
            directory.on_full_read(0, listed)
            chooser = Chooser(
                directory, failure_domain="a", peers=peers, kv_room=room, seed=seed
            )
            nodes.append((directory, peers, room, chooser))
        runs, exceeded, sends, reported_ms = [], 0, 0, 0
        for now_ms in range(0, 9_000, self.STEP_MS):
            while runs and runs[0][0] <= now_ms:
                _, state, prefix = runs.pop(0)
                state.in_flight -= 1
                state.on_run_gone(TOKENS, prefix)
            if now_ms - reported_ms >= self.REPORT_MS:
                reported_ms = now_ms
                exchange(now_ms, nodes)
            requirements = prompt(draw.randrange(prefixes))
            choice = draw.choice(nodes)[3].choose(now_ms, requirements)
            if choice.queue_ms > 250 or not choice.has_room:
                continue
            state, prefix = choice.replica, requirements.shared_prefix
            state.mean_run_ms = self.RUN_MS
            state.in_flight += 1
            state.on_run_resident(TOKENS, prefix)
            runs.append((now_ms + self.RUN_MS, state, prefix))
            if now_ms > 5_000:
                sends += 1
                there = [x for x in runs if x[1].entry is state.entry]
                used = len(there) * (TOKENS - SHARED)
                used += SHARED * len({x[2] for x in there})
                exceeded += used > KV_TOKENS
        return exceeded, sends

    def test_more_prompts_are_served_and_few_exceed_the_memory(self):
        """Guards against rejecting prompts whose prefix is in memory already, and
        against preempting streams because of a sum that is too low."""
        exceeded, sends = self.replay(prefixes=12)
        exceeded_by_many, _ = self.replay(prefixes=160)
        with unittest.mock.patch.object(KvRoom, "is_in_effect", return_value=False):
            _, sends_before = self.replay(prefixes=12)
            exceeded_by_many_before, _ = self.replay(prefixes=160)
        self.assertGreater(sends, 1.15 * sends_before)
        self.assertLess(exceeded, 0.05 * sends)
        self.assertLess(exceeded_by_many, exceeded_by_many_before)


def exchange(now_ms, nodes):
    """Give each node the loads of all others."""
    loads = []
    for directory, peers, room, _ in nodes:
        own = {}
        for state in directory.all():
            if state.in_flight:
                others = peers.at(now_ms, state.incarnation_id).requests
                tokens = int(room.own_tokens(state, others))
                own[state.incarnation_id] = InFlightLoad(0, tokens, state.in_flight)
        loads.append(own)
    for number, (_, peers, _, _) in enumerate(nodes):
        for other, own in enumerate(loads):
            if other != number:
                peers.on_load_report(now_ms, f"n{other}", own)
