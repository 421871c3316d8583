"""The load pattern that subsets answer: many nodes, each with few requests."""

import random
import statistics
import unittest

from fireflyward.subsets import min_size, rank_replicas
from tests.replicas.makers import entry

from .fakes import FilterFixture, entries

# Sends between two load reports, and the share of all slots that is in use.
_SENDS_PER_REPORT = 120
_USED = 0.7


def spread(nodes, replicas, size, slots):
    """Return the standard deviation of the replicas' loads over their mean.

    Runs end at random, and each end is followed by a run from a random node, which
    sends it to the best of three members of its subset by the last reported loads.
    """
    draw = random.Random(1)
    fixture = FilterFixture(entries(replicas))
    states = fixture.directory.of_service("s")
    numbers = {state.entry.incarnation: n for n, state in enumerate(states)}
    subsets = []
    for node in range(nodes):
        ranking = rank_replicas(f"n{node}", "abc"[node % 3], states)
        subsets.append([numbers[x.entry.incarnation] for x in ranking[:size]])
    load = [0] * replicas
    in_flight = int(_USED * slots * replicas)
    runs, results = [], []
    for step in range(4 * in_flight):
        if len(runs) == in_flight:
            place = draw.randrange(in_flight)
            load[runs[place]] -= 1
            runs[place] = runs[-1]
            runs.pop()
        if step % _SENDS_PER_REPORT == 0:
            reported = list(load)
        sample = draw.sample(subsets[draw.randrange(nodes)], 3)
        best = min(sample, key=lambda n: (reported[n], draw.random()))
        load[best] += 1
        runs.append(best)
        if step > 3 * in_flight and step % 97 == 0:
            results.append(statistics.pstdev(load) / (in_flight / replicas))
    return statistics.mean(results)


class SpreadTests(unittest.TestCase):
    def test_the_smallest_subsets_keep_the_load_even(self):
        """Guards against replicas that are full while others are idle.

        A replica that is in the subsets of two or three nodes only gets what these
        nodes happen to receive.
        """
        for nodes, replicas, slots in (82, 30, 48), (63, 70, 12), (350, 1_200, 12):
            with self.subTest(nodes=nodes):
                size = min_size(nodes, replicas)
                limited = spread(nodes, replicas, size, slots)
                full = spread(nodes, replicas, replicas, slots)
                self.assertLess(limited, 1.3 * full)

    def test_subsets_below_the_floor_do_not(self):
        """Shows that the floor isn't larger than it has to be at the design size."""
        limited, full = spread(350, 1_200, 8, 12), spread(350, 1_200, 1_200, 12)
        self.assertGreater(limited, 2 * full)

    def test_a_replica_with_few_slots_is_in_some_subsets(self):
        """Guards against a replica that no node sends to."""
        size = min_size(82, 60)
        for small in range(12):
            listed = [
                entry(f"r{n}", slots=2 if n == small else 48, zone="abc"[n % 3])
                for n in range(60)
            ]
            states = FilterFixture(listed).directory.of_service("s")
            users = sum(
                states[small] in rank_replicas(f"n{n}", "abc"[n % 3], states)[:size]
                for n in range(82)
            )
            self.assertGreaterEqual(users, 2)

    def test_replicas_with_more_slots_are_in_more_subsets(self):
        listed = [entry(f"r{n}", slots=24 if n < 20 else 12) for n in range(60)]
        states = FilterFixture(listed).directory.of_service("s")
        uses = [0, 0]
        for node in range(400):
            for state in rank_replicas(f"n{node}", "a", states)[:12]:
                uses[state.entry.slots == 24] += 1
        # 20 replicas with twice the slots are half of all slots.
        self.assertAlmostEqual(uses[1] / sum(uses), 0.5, delta=0.05)
