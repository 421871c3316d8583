"""The load at its worst: prompts come faster than replicas read them."""

import unittest

from fireflyward.forwarding._admission import Admission, Prospect

OBJECTIVE_MS = 600.0
PROMPT_MS = 107.0


def replay(admission, seconds, per_second, replicas):
    """Play arrivals at a pool that reads prompts one after another.

    Return how many answers were on time and late, and how many were refused.
    """
    free_at = [0.0] * replicas
    on_time = late = refused = 0
    for number in range(int(seconds * per_second)):
        now_ms = number * 1_000 / per_second
        replica = min(range(replicas), key=free_at.__getitem__)
        queue_ms = max(0.0, free_at[replica] - now_ms)
        prospect = Prospect(queue_ms, queue_ms + PROMPT_MS, OBJECTIVE_MS, 15_000.0)
        if admission is not None and admission.refusal(prospect):
            refused += 1
            continue
        free_at[replica] = now_ms + queue_ms + PROMPT_MS
        if queue_ms + PROMPT_MS <= OBJECTIVE_MS:
            on_time += 1
        else:
            late += 1
    return on_time, late, refused


class AdmissionTests(unittest.TestCase):
    def test_with_twice_the_load_nearly_the_capacity_is_on_time(self):
        """Symptom: with a little too much load nearly every answer is late.

        Four replicas read 37 prompts a second, 75 come. Without admission the
        queue grows for as long as the load lasts, and all but the first are late.
        """
        capacity = 10 * 4 * 1_000 / PROMPT_MS
        without = replay(None, 10, 75, 4)
        on_time, late, refused = replay(Admission(seed=1), 10, 75, 4)
        self.assertLess(without[0], 0.2 * capacity)
        self.assertGreater(on_time, 0.95 * capacity)
        self.assertEqual(late, 0)
        self.assertGreater(refused, 0)

    def test_with_less_load_than_capacity_nothing_is_refused(self):
        self.assertEqual(replay(Admission(), 10, 30, 4)[2], 0)

    def test_what_is_late_runs_only_behind_a_short_queue(self):
        admission = Admission()
        self.assertIsNone(admission.refusal(Prospect(100, 200, 50, 9_000)))
        self.assertIsNotNone(admission.refusal(Prospect(400, 500, 50, 9_000)))

    def test_what_the_deadline_rules_out_is_refused_at_once(self):
        refused = Admission().refusal(Prospect(100, 200, 900, 150))
        self.assertGreater(refused.retry_after_ms, 0)

    def test_callers_do_not_come_back_together(self):
        admission = Admission(seed=1)
        prospect = Prospect(900, 1_000, 600, 9_000)
        times = {admission.refusal(prospect).retry_after_ms for _ in range(50)}
        self.assertGreater(max(times) - min(times), 200)
        self.assertGreaterEqual(min(times), 600)
