"""Admission under overload: prompts arrive faster than replicas prefill them."""

import unittest
from dataclasses import replace

from fireflyward.forwarding._admission import Admission, LatencyEstimate

OBJECTIVE_MS = 600.0
PROMPT_MS = 107.0


def replay(admission, seconds, per_second, replicas):
    """Replay arrivals at replicas that prefill prompts one after another.

    Return how many answers were on time, how many were late, and how many requests
    were rejected.
    """
    free_at = [0.0] * replicas
    on_time = late = rejected = 0
    for number in range(int(seconds * per_second)):
        now_ms = number * 1_000 / per_second
        replica = min(range(replicas), key=free_at.__getitem__)
        queue_ms = max(0.0, free_at[replica] - now_ms)
        estimate = LatencyEstimate(
            queue_ms, queue_ms + PROMPT_MS, OBJECTIVE_MS, 15_000.0
        )
        if admission is not None and admission.check(estimate):
            rejected += 1
            continue
        free_at[replica] = now_ms + queue_ms + PROMPT_MS
        if queue_ms + PROMPT_MS <= OBJECTIVE_MS:
            on_time += 1
        else:
            late += 1
    return on_time, late, rejected


class AdmissionTests(unittest.TestCase):
    def test_at_twice_the_capacity_almost_a_full_capacity_is_on_time(self):
        """Guards against a slight overload in which nearly every answer is late.

        Four replicas prefill 37 prompts a second, and 75 arrive. Without admission
        control the queue grows as long as the load lasts, and all requests but the
        first are late.
        """
        capacity = 10 * 4 * 1_000 / PROMPT_MS
        without = replay(None, 10, 75, 4)
        on_time, late, rejected = replay(Admission(seed=1), 10, 75, 4)
        self.assertLess(without[0], 0.2 * capacity)
        self.assertGreater(on_time, 0.95 * capacity)
        self.assertEqual(late, 0)
        self.assertGreater(rejected, 0)

    def test_below_capacity_nothing_is_rejected(self):
        self.assertEqual(replay(Admission(), 10, 30, 4)[2], 0)

    def test_a_late_request_runs_only_behind_a_short_queue(self):
        admission = Admission()
        self.assertIsNone(admission.check(LatencyEstimate(100, 200, 50, 9_000)))
        self.assertIsNotNone(admission.check(LatencyEstimate(400, 500, 50, 9_000)))

    def test_a_request_without_room_in_memory_is_rejected_and_does_not_wait(self):
        """Guards against preempting running streams for a prompt that is in time."""
        estimate = LatencyEstimate(100, 200, 900, 9_000, has_room=False)
        rejection = Admission().check(estimate)
        self.assertGreater(rejection.retry_after_ms, 0)
        self.assertEqual(rejection.detail, "no replica has KV memory for the prompt")
        self.assertFalse(Admission().may_wait(estimate))

    def test_a_request_that_cannot_meet_its_deadline_is_rejected_at_once(self):
        rejected = Admission().check(LatencyEstimate(100, 200, 900, 150))
        self.assertGreater(rejected.retry_after_ms, 0)
        self.assertEqual(rejected.detail, "first token in 200 ms")

    def test_a_rejected_caller_waits_at_most_a_third_of_the_time_it_has_left(self):
        for left_ms in (60, 300, 900, 9_000):
            rejected = Admission().check(LatencyEstimate(400, 500, 50, left_ms))
            self.assertTrue(0 < rejected.retry_after_ms <= left_ms / 3)

    def test_only_a_queue_shows_a_shortage(self):
        """Guards against fairness rules that callers with short deadlines switch on."""
        shows = Admission().shows_shortage
        idle = LatencyEstimate(0, 300, 200, 250)
        behind_others = LatencyEstimate(150, 300, 200, 9_000)
        self.assertFalse(shows(idle, is_returning=False))
        self.assertTrue(shows(behind_others, is_returning=False))
        self.assertFalse(shows(behind_others, is_returning=True))
        self.assertTrue(shows(replace(behind_others, queue_ms=260), is_returning=True))
        self.assertTrue(shows(replace(behind_others, left_ms=280), is_returning=True))
        self.assertTrue(shows(replace(idle, has_room=False), is_returning=False))

    def test_retry_times_of_rejected_callers_are_spread(self):
        admission = Admission(seed=1)
        estimate = LatencyEstimate(900, 1_000, 600, 9_000)
        times = {admission.check(estimate).retry_after_ms for _ in range(50)}
        self.assertGreater(max(times) - min(times), 200)
        self.assertGreaterEqual(min(times), 600)
