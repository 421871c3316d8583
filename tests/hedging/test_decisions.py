"""When a response is overdue, a replica silent, and a second send made."""

import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.clock import ManualClock, Standstills
from fireflyward.hedging import (
    AnswerTimes,
    Refusal,
    SecondSendReason,
    SecondSends,
    SilentReplicaCost,
    SilentReplicas,
)
from fireflyward.replicas import Chooser, ReplicaDirectory, Requirements
from tests.replicas.makers import entry

SLOW = SecondSendReason.SLOW


class AnswerTimeTests(unittest.TestCase):
    def test_a_new_level_of_times_replaces_the_old_one(self):
        """Guards against second sends for all requests once answers become slower."""
        times = AnswerTimes()
        for ratio in [1.0] * 200 + [3.0] * 128:
            times.on_begun("r", 100.0, 100.0 * ratio)
        self.assertEqual(times.overdue_ms("r", 100.0), 300.0)

    def test_with_few_answers_nothing_is_overdue(self):
        times = AnswerTimes()
        for _ in range(31):
            times.on_begun("r", 100.0, 100.0)
        self.assertIsNone(times.overdue_ms("r", 100.0))


class SilentReplicaTests(unittest.TestCase):
    def setUp(self):
        self.silent = SilentReplicas()

    def test_a_replica_that_sends_to_other_requests_is_slow_and_not_silent(self):
        self.silent.on_sent(0, 1, overdue_ms=100.0)
        self.silent.on_bytes(200, 1)
        self.assertFalse(self.silent.is_silent(449, 1))
        self.assertTrue(self.silent.is_silent(450, 1))

    def test_a_send_that_ended_shows_nothing(self):
        send = self.silent.on_sent(0, 1, overdue_ms=100.0)
        self.silent.on_end(send)
        self.silent.on_end(send)
        self.assertFalse(self.silent.is_silent(9_000, 1))

    def test_many_silent_replicas_are_not_few(self):
        """Guards against sending everything twice when this node itself is cut off."""
        for replica_id in range(5):
            self.silent.on_bytes(0, replica_id)
        for replica_id, expected in enumerate((True, True, False)):
            self.silent.on_sent(0, replica_id, overdue_ms=100.0)
            self.assertIs(self.silent.are_few(300), expected)

    def test_a_standstill_of_this_node_makes_no_replica_silent(self):
        """Guards against requests that are sent twice after a standstill of the node.

        The responses had arrived and were not read yet, and few replicas had requests
        that waited, so that the silence was taken for the replicas' own.
        """
        clock = ManualClock(1_000)
        standstills = Standstills(clock=clock)
        standstills.on_tick(1_000)
        silent = SilentReplicas(
            lost_ms=lambda since_ms: standstills.lost_ms(
                clock.now_ms(), since_ms=since_ms
            )
        )
        for replica_id in range(10):
            silent.on_bytes(1_000, replica_id)
        sends = [silent.on_sent(1_050, each, overdue_ms=100.0) for each in range(3)]
        clock._now_ms = 2_300
        self.assertEqual(silent.count(2_300), 0)
        self.assertGreater(silent.silent_at_ms(sends[0]), 2_300)
        standstills.on_tick(2_300)
        silent.on_bytes(2_310, 0)
        for clock._now_ms in range(2_500, 2_811, 155):
            standstills.on_tick(clock.now_ms())
        self.assertEqual(silent.count(2_810), 3)

    def test_new_requests_avoid_a_silent_replica(self):
        """Guards against requests that are sent into a dead connection one by one."""
        directory = ReplicaDirectory()
        directory.on_full_read(0, [entry("r1"), entry("r2")])
        cost = SilentReplicaCost(self.silent)
        chooser = Chooser(directory, failure_domain="a", cost_terms=[cost], seed=1)
        r1 = directory.find("r1")
        directory.find("r2").in_flight = 3

        def chosen(now_ms):
            return chooser.choose(now_ms, Requirements("s")).replica

        send = self.silent.on_sent(0, r1.incarnation_id, overdue_ms=100.0)
        self.assertIs(chosen(249), r1)
        self.assertIsNot(chosen(250), r1)
        self.silent.on_end(send)
        self.assertIs(chosen(251), r1)


class SecondSendTests(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 400), st.booleans(), st.booleans())))
    def test_in_each_window_few_of_the_sends_are_repeated_as_slow(self, steps):
        """Guards against second sends that multiply the load of an overload."""
        sends, now_ms, made, sent = SecondSends(), 0, [], []
        for after_ms, is_overdue, second_won in steps:
            now_ms += after_ms
            sends.on_sent(now_ms, "s")
            sent.append(now_ms)
            if is_overdue and sends.check(now_ms, "s", SLOW) is None:
                made.append(now_ms)
                sends.on_finished(now_ms, "s", second_won=second_won)
            recent = sum(at_ms > now_ms - 5_000 for at_ms in made)
            # The limit falls with the sends of the window; it held at the last one.
            if made and made[-1] == now_ms:
                in_window = sum(at_ms > now_ms - 5_000 for at_ms in sent)
                self.assertLessEqual(recent, max(1, 0.2 * in_window))

    def test_second_sends_that_never_win_become_rare_and_resume(self):
        sends, results = SecondSends(), []

        def check(now_ms):
            for _ in range(10):
                sends.on_sent(now_ms, "s")
            return sends.check(now_ms, "s", SLOW)

        for second in range(100):
            result = check(second * 1_000)
            results.append(result)
            if result is None:
                sends.on_finished(second * 1_000, "s", second_won=False)
        self.assertEqual(results[:20], [None] * 20)
        self.assertGreater(results[40:].count(Refusal.RARELY_WIN), 50)
        self.assertIn(None, results[60:])
        for second in range(100, 103):
            sends.on_finished(second * 1_000, "s", second_won=True)
        self.assertIsNone(check(104_000))

    def test_many_silent_replicas_stop_second_sends(self):
        sends = SecondSends()
        reason = SecondSendReason.UNRESPONSIVE
        refusal = sends.check(0, "s", reason, few_silent=False)
        self.assertIs(refusal, Refusal.MANY_SILENT)
