"""Prompts are kept away from slow replicas where streams would pause too long."""

import random
import unittest

from hypothesis import given, strategies as st

from fireflyward.replicas import (
    Chooser,
    LoadEstimate,
    ReplicaDirectory,
    ReplicaState,
    Requirements,
)
from fireflyward.speeds import PauseTerm, PauseTimes
from tests.replicas.makers import entry

# Pauses of streams at the usual speed: 35 ms, 115 ms while prompts are read.
_PAUSES = [35.0, 36.0, 34.0, 115.0] * 100
_TOKENS = {"long": 2_870, "question": 177}
# Prompts that wait at a replica on a busy day take up to a third of a second to read.
_MAX_UNREAD_TOKENS = 30_000


def learnt(factor=1.0):
    pauses = PauseTimes()
    for pause_ms in _PAUSES:
        pauses.on_pause("s", pause_ms * factor, factor)
    return pauses


def needs(kind="long", pause_ms=250):
    return Requirements("s", model="m", new_tokens=_TOKENS[kind], pause_ms=pause_ms)


def load(kind="long", queue_ms=0.0, factor=2.5):
    return LoadEstimate(1, queue_ms * factor, 0, 0, _TOKENS[kind] / 90, 0, factor)


class PauseTimesTests(unittest.TestCase):
    def test_usual_and_long_pauses_are_learnt_at_any_speed(self):
        for factor in (1.0, 2.5):
            pauses = learnt(factor).of_service("s")
            self.assertAlmostEqual(pauses.usual_ms, 36, delta=8)
            self.assertAlmostEqual(pauses.long_ms, 115, delta=15)

    def test_long_pauses_are_learnt_where_few_prompts_are_read(self):
        """Guards against streams that are late on a quiet day: reading is rare then."""
        pauses, rng = PauseTimes(), random.Random(5)
        for _ in range(1_000):
            pauses.on_pause("s", 115 if rng.random() < 0.08 else 35, 1.0)
        self.assertAlmostEqual(pauses.of_service("s").long_ms, 115, delta=15)

    def test_few_pauses_and_parts_that_arrive_together_say_nothing(self):
        pauses = PauseTimes()
        for _ in range(40):
            pauses.on_pause("s", 0, 1.0)
        for _ in range(20):
            pauses.on_pause("s", 35, 1.0)
        self.assertIsNone(pauses.of_service("s"))


class PauseTermTests(unittest.TestCase):
    def setUp(self):
        self.state = ReplicaState(entry("r1", version=1))
        self.state.speed.record(0, 250)
        self.term = PauseTerm(learnt())

    def cost(self, kind="long", *, now_ms=0, pause_ms=250, queue_ms=0.0):
        return self.term.cost_ms(
            now_ms, self.state, load(kind, queue_ms), needs(kind, pause_ms)
        )

    def test_large_prompts_cost_more_than_small_ones_at_a_slow_replica(self):
        self.assertEqual(self.cost("long"), 500)
        self.assertLess(self.cost("question"), 100)
        self.assertGreater(self.cost("question", queue_ms=100), 100)
        self.assertLess(self.cost("question", queue_ms=100), 300)

    def test_the_cost_ends_with_the_figure(self):
        self.assertEqual(self.cost(now_ms=400), 100)
        self.assertEqual(self.cost(now_ms=500), 0)

    def test_there_is_no_cost_where_the_pause_target_is_met(self):
        """Guards against worse placement on L, whose target of 400 ms is met."""
        self.assertEqual(self.cost(pause_ms=400), 0)
        self.assertEqual(self.cost(pause_ms=0), 0)
        self.state.speed.record(1, 100)
        self.assertEqual(self.cost(now_ms=1), 0)

    def test_there_is_no_cost_before_pauses_are_known(self):
        self.term = PauseTerm(PauseTimes())
        self.assertEqual(self.cost(), 0)


class SlowPhaseTests(unittest.TestCase):
    """The slow phases of V: 250 to 1,150 ms each, about every 6 s, at ten replicas."""

    def make(self, *terms, replicas=10):
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}", version=1, slots=48) for i in range(replicas)]
        self.directory.on_full_read(0, entries)
        self.states = self.directory.all()
        self.chooser = Chooser(
            self.directory, failure_domain="a", cost_terms=terms, seed=1
        )

    def sent_to_slow(self, *terms, reports=True):
        """Return the parts of long prompts and of questions sent to slow replicas."""
        self.make(*terms)
        rng = random.Random(7)
        slow_until = dict.fromkeys(self.states, 0)
        sent = {kind: [0, 0] for kind in _TOKENS}
        for now_ms in range(0, 60_000, 5):
            for state in self.states:
                if rng.random() < 5 / 6_000:
                    slow_until[state] = now_ms + rng.randint(250, 1_150)
                state.unprefilled_tokens = rng.randrange(_MAX_UNREAD_TOKENS)
            kind = rng.choice(tuple(_TOKENS))
            state = self.chooser.choose(now_ms, needs(kind)).replica
            is_slow = now_ms < slow_until[state]
            sent[kind][is_slow] += 1
            if reports:
                state.speed.record(now_ms, 250 if is_slow else 100)
        return {kind: slow / (slow + usual) for kind, (usual, slow) in sent.items()}

    def test_prompts_avoid_slow_phases_and_some_small_ones_show_their_end(self):
        before = self.sent_to_slow(reports=False)
        by_times_alone = self.sent_to_slow()
        after = self.sent_to_slow(PauseTerm(learnt()))
        self.assertGreater(before["long"], 0.08)
        self.assertLess(after["long"], 0.3 * before["long"])
        self.assertLess(after["long"], 0.7 * by_times_alone["long"])
        self.assertGreater(after["question"], after["long"])

    def test_the_least_slow_replica_is_chosen_if_all_are_slow(self):
        """Guards against rejections while many replicas are slow at once."""
        self.make(PauseTerm(learnt()), replicas=8)
        for number, state in enumerate(self.states):
            state.speed.record(0, 400 if number else 250)
        choice = self.chooser.choose(0, needs("long"))
        self.assertEqual(choice.replica, self.states[0])

    def test_expected_times_are_those_of_the_slow_replica_until_the_figure_expires(
        self,
    ):
        """Guards against expecting 287 ms where the first event takes 459 ms."""
        self.make()
        for state in self.states:
            state.speed.record(0, 250)
        choice = self.chooser.choose(0, needs("question"))
        self.assertAlmostEqual(choice.first_token_ms, 2.5 * (177 / 90 + 55))
        for state in self.states:
            state.unprefilled_tokens = 90_000
        choice = self.chooser.choose(0, needs("question"))
        self.assertAlmostEqual(choice.first_token_ms, 1_000 + 177 / 90 + 55 + 300)

    @given(
        percent=st.integers(1, 10_000),
        unread=st.integers(0, 200_000),
        in_flight=st.integers(0, 100),
        now_ms=st.integers(0, 600),
    )
    def test_admission_gets_the_same_times_whatever_the_speed(
        self, percent, unread, in_flight, now_ms
    ):
        """Guards against requests that are rejected only because replicas are slow."""
        times = []
        for is_reported in (False, True):
            self.make(PauseTerm(learnt()), replicas=1)
            state = self.states[0]
            state.unprefilled_tokens, state.in_flight = unread, in_flight
            if is_reported:
                state.speed.record(0, percent)
            choice = self.chooser.choose(now_ms, needs("long"))
            found = choice.queue_ms, choice.first_token_ms, choice.slot_ms
            times.append([item / choice.work_factor for item in found])
        for usual_ms, reported_ms in zip(*times, strict=True):
            self.assertAlmostEqual(usual_ms, reported_ms, places=3)

    def test_a_slow_phase_is_not_learnt_as_slowdown(self):
        """Guards against a replica avoided for seconds after a slow phase of 300 ms."""
        self.make()
        (state, *_), needed = self.states, needs("long")
        for reported, factor in (((250, 250), 2.5), ((250, 100), 1), ((100, 250), 2.5)):
            for now_ms in range(0, 40_000, 1_000):
                for other in self.states:
                    other.speed.record(now_ms, reported[0])
                choice = self.chooser.choose(now_ms, needed)
                choice.replica.speed.record(now_ms + 100, reported[1])
                took_ms = factor * (2_870 / 90 + 55)
                choice.on_first_token(now_ms + 100, took_ms)
            self.assertAlmostEqual(state.slowdown, 1.0, delta=0.05)

    def test_small_prompts_say_nothing_about_the_slowdown_in_a_slow_phase_either(self):
        """Guards against a slowdown of 0.5 learnt from the time besides the reading."""
        self.make(replicas=1)
        for now_ms in range(0, 40_000, 1_000):
            self.states[0].speed.record(now_ms, 250)
            choice = self.chooser.choose(now_ms, needs("question"))
            choice.on_first_token(now_ms + 90, 2.5 * 35)
        self.assertEqual(self.states[0].slowdown, 1.0)
