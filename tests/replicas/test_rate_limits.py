"""The requests that all nodes together send to replicas with a rate limit."""

import random
import unittest

from fireflyward.replicas import Chooser, RateLimits, ReplicaDirectory, Requirements
from fireflyward.replicas._backpressure import ReportedLimit

from .makers import entry

WINDOW_MS = 4_000


class ShareTests(unittest.TestCase):
    def per_second(self, nodes, limit):
        """Return the sum of the rates at which the nodes may send to one replica."""
        names = [f"n{number}" for number in range(nodes)]
        total = 0.0
        for name in names:
            limits = RateLimits(name)
            limits.set_nodes(names)
            pause_ms = limits.pause_ms(7, limit)
            total += 1_000 / pause_ms if pause_ms else 0.0
        return total

    def test_a_limit_is_divided_completely_and_not_exceeded(self):
        for nodes in (1, 2, 9, 89, 350):
            for limit in (0.25, 1.0, 3.5, 4.0, 250.0):
                self.assertAlmostEqual(self.per_second(nodes, limit), limit)

    def test_a_fractional_limit_is_exact_to_one_request_in_the_window(self):
        """Guards against a limit of 3.9 that is rounded down to 3."""
        self.assertAlmostEqual(self.per_second(9, 3.9), 3.75)

    def test_a_limit_of_zero_still_allows_one_request_in_the_window(self):
        """Guards against a limit whose end no node could receive in an answer."""
        self.assertAlmostEqual(self.per_second(9, 0.0), 0.25)

    def test_the_share_is_zero_before_the_nodes_are_known(self):
        """Guards against a node that just started and uses the whole limit."""
        self.assertIsNone(RateLimits("n1").pause_ms(7, 4.0))


class FleetTests(unittest.TestCase):
    """Nodes with many requests and two replicas, one of which has a rate limit."""

    def make(self, nodes):
        names = [f"n{number}" for number in range(nodes)]
        self.choosers = []
        for seed, name in enumerate(names):
            directory = ReplicaDirectory()
            directory.on_full_read(0, [entry("r1"), entry("r2")])
            limits = RateLimits(name, seed=seed)
            limits.set_nodes(names)
            chooser = Chooser(
                directory, failure_domain="a", rate_limits=limits, seed=seed
            )
            self.choosers.append((directory.find("r1"), chooser))

    def report_limit(self, now_ms, per_second):
        for state, _ in self.choosers:
            state.backpressure.limit.on_limit_named(now_ms, per_second)

    def simulate(self, from_ms, until_ms, *, each_ms=3):
        """Return when random nodes chose the limited replica."""
        rng = random.Random(3)
        chosen_ms = []
        for now_ms in range(from_ms, until_ms, each_ms):
            state, chooser = rng.choice(self.choosers)
            if chooser.choose(now_ms, Requirements("s")).replica is state:
                chosen_ms.append(now_ms)
        return chosen_ms

    def most_in_window(self, chosen_ms):
        return max(
            sum(first <= at < first + WINDOW_MS for at in chosen_ms)
            for first in chosen_ms
        )

    def test_no_window_exceeds_the_limit(self):
        for nodes in (3, 9, 89):
            for limit in (1.0, 3.5, 4.0, 12.0):
                self.make(nodes)
                self.report_limit(0, limit)
                chosen_ms = self.simulate(0, 20_000)
                most = self.most_in_window(chosen_ms)
                self.assertLessEqual(most, limit * 4 + 1, (nodes, limit))

    def test_the_limit_is_used(self):
        self.make(9)
        self.report_limit(0, 4.0)
        self.assertGreater(len(self.simulate(4_000, 20_000)), 0.9 * 16 * 3.75)

    def test_nodes_that_receive_a_limit_at_once_do_not_send_at_once(self):
        """Guards against a burst of all requests of a window."""
        self.make(9)
        self.report_limit(0, 4.0)
        self.assertLessEqual(len(self.simulate(0, 1_000)), 8)

    def test_a_limit_that_returns_does_not_start_with_a_burst(self):
        """Guards against a burst when no node has sent recently."""
        self.make(9)
        self.report_limit(0, 4.0)
        self.simulate(0, 4_000)
        for state, _ in self.choosers:
            state.backpressure.limit.on_no_limit(4_000, 3_999)
        self.report_limit(60_000, 4.0)
        self.assertLessEqual(len(self.simulate(60_000, 61_000)), 8)

    def test_a_limit_that_ends_and_returns_is_not_exceeded(self):
        """Guards against a new allowance after each answer without a limit."""
        self.make(9)
        chosen_ms = []
        for start_ms in range(0, 12_000, 500):
            self.report_limit(start_ms, 4.0)
            chosen_ms += self.simulate(start_ms, start_ms + 450)
            for state, _ in self.choosers:
                state.backpressure.limit.on_no_limit(start_ms + 450, start_ms + 449)
        self.assertLessEqual(self.most_in_window(chosen_ms), 4 * 4 + 1)

    def test_a_lower_limit_applies_at_once(self):
        self.make(9)
        self.report_limit(0, 12.0)
        self.simulate(0, 4_000)
        self.report_limit(4_000, 1.0)
        self.assertLessEqual(len(self.simulate(4_000, 8_000)), 4)

    def test_nodes_with_different_lists_of_nodes_stay_within_the_bound(self):
        self.make(9)
        names = [f"n{number}" for number in range(14)]
        for _, chooser in self.choosers[::2]:
            chooser._rate_limits.set_nodes(names)
        self.report_limit(0, 4.0)
        self.assertLessEqual(self.most_in_window(self.simulate(0, 20_000)), 29)

    def test_rejected_callers_get_a_retry_time(self):
        self.make(1)
        state, chooser = self.choosers[0]
        self.assertEqual(chooser.wait_ms(0, "s"), 0)
        for name in ("r1", "r2"):
            limit = chooser._directory.find(name).backpressure.limit
            limit.on_limit_named(0, 0.5)
            limit.first_ms = 0
            limit.granted_ms = 0
        self.assertIsNone(chooser.choose(1_000, Requirements("s")))
        self.assertGreaterEqual(chooser.wait_ms(1_000, "s"), 1_000)
        self.assertLess(chooser.wait_ms(1_000, "s"), 1_300)


class ManyReplicasTests(unittest.TestCase):
    """One node and more replicas than it compares; one has a rate limit."""

    def test_a_limit_is_used_while_the_other_replicas_are_full(self):
        """Guards against a limited replica that is hardly ever sampled."""
        directory = ReplicaDirectory()
        entries = [entry(f"r{number}") for number in range(60)]
        directory.on_full_read(0, entries)
        limited = directory.find("r7")
        for state in directory.all():
            state.in_flight = 0 if state is limited else 9
        limits = RateLimits("n1", seed=1)
        limits.set_nodes(["n1"])
        chooser = Chooser(directory, failure_domain="a", rate_limits=limits, seed=1)
        limited.backpressure.limit.on_limit_named(0, 4.0)
        chosen = sum(
            chooser.choose(now_ms, Requirements("s")).replica is limited
            for now_ms in range(4_000, 8_000, 20)
        )
        self.assertGreaterEqual(chosen, 14)


class ReportedLimitTests(unittest.TestCase):
    def setUp(self):
        self.limit = ReportedLimit()

    def test_a_limit_applies_until_an_answer_without_one(self):
        self.assertTrue(self.limit.on_limit_named(100, 4.0))
        self.assertFalse(self.limit.on_limit_named(200, 4.0))
        self.assertTrue(self.limit.on_no_limit(400, 300))
        self.assertIsNone(self.limit.per_second)

    def test_an_answer_to_an_older_request_does_not_end_the_limit(self):
        """Guards against a limit that a long answer ends.

        The answer began before the limit was reported.
        """
        self.limit.on_limit_named(200, 4.0)
        self.assertFalse(self.limit.on_no_limit(400, 150))
        self.assertEqual(self.limit.per_second, 4.0)

    def test_the_later_of_two_reports_counts(self):
        self.limit.on_limit_named(200, 4.0)
        self.assertFalse(self.limit.on_limit_update(150, None))
        self.assertTrue(self.limit.on_limit_update(300, None))
        self.assertFalse(self.limit.on_limit_update(250, 4.0))
        self.assertTrue(self.limit.on_limit_update(400, 2.0))
        self.assertEqual(self.limit.per_second, 2.0)

    def test_a_repeated_report_is_no_change(self):
        self.limit.on_limit_update(200, 4.0)
        self.assertFalse(self.limit.on_limit_update(300, 4.0))
        self.assertEqual(self.limit.as_of_ms, 200)
