"""A burst of more requests than replicas have slots."""

import heapq
import unittest

from fireflyward.forwarding._admission import Admission, Prospect
from fireflyward.forwarding._late_lane import LateLane

SLOTS, NODES = 16, 2
RUN_MS, FIRST_MS, OBJECTIVE_MS, LEFT_MS = 300.0, 100.0, 400.0, 3_000.0


class _Replica:
    """Gives its slots by rank, then in the order of arrival."""

    def __init__(self):
        self.free = SLOTS
        self.waiting = []
        self.ends = []

    def run_until(self, now_ms):
        while self.ends and self.ends[0][0] <= now_ms:
            at_ms, done = heapq.heappop(self.ends)
            done()
            self.free += 1
            self._begin(at_ms)

    def take(self, now_ms, rank, begun, done):
        heapq.heappush(self.waiting, (rank, now_ms, begun, done))
        self._begin(now_ms)

    def _begin(self, now_ms):
        while self.free and self.waiting:
            _, came_ms, begun, done = heapq.heappop(self.waiting)
            self.free -= 1
            begun(now_ms - came_ms + FIRST_MS)
            heapq.heappush(self.ends, (now_ms + RUN_MS, done))


class _Door:
    """Decides on requests as a node does, and counts what they come to."""

    def __init__(self, lane):
        self.replica = _Replica()
        self.admission = Admission(seed=1)
        self.lane = lane
        self.in_flight = 0
        self.on_time = self.late = self.refused = 0

    def ask(self, now_ms):
        self.replica.run_until(now_ms)
        slot_ms = max(0, self.in_flight + 1 - SLOTS) * RUN_MS / SLOTS
        prospect = Prospect(slot_ms, slot_ms + FIRST_MS, OBJECTIVE_MS, LEFT_MS, slot_ms)
        refusal = self.admission.refusal(prospect)
        if refusal is None:
            self.in_flight += 1
            self.replica.take(now_ms, 0, self._begun, self._done)
        elif self._may_wait(prospect):
            self.replica.take(now_ms, 5, self._begun_late, self._done)
        else:
            self.refused += 1

    def _may_wait(self, prospect):
        if self.lane is None or not self.admission.may_wait(prospect):
            return False
        return self.lane.try_acquire("s", SLOTS)

    def _begun(self, took_ms):
        self.on_time += took_ms <= OBJECTIVE_MS
        self.late += took_ms > OBJECTIVE_MS

    def _begun_late(self, took_ms):
        self.lane.release("s")
        self.in_flight += 1
        self._begun(took_ms)

    def _done(self):
        self.in_flight -= 1


def replay(lane, *, seconds, per_second, calm_s=2):
    """Play a burst and a calm after it; return the door with its counts."""
    door = _Door(lane)
    for number in range(int(seconds * per_second)):
        door.ask(number * 1_000 / per_second)
    door.replica.run_until((seconds + calm_s) * 1_000)
    return door


class LateLaneTests(unittest.TestCase):
    def setUp(self):
        self.lane = LateLane()
        self.lane.set_nodes(NODES)

    def test_fewer_are_refused_in_a_burst_and_no_fewer_are_on_time(self):
        """Symptom: in a burst of four seconds one caller in twenty is refused twice.

        A request that would be late by the wait for a slot was refused, and came
        back in the middle of the burst. At the lowest rank it delays nobody.
        """
        before = replay(None, seconds=4, per_second=60)
        after = replay(self.lane, seconds=4, per_second=60)
        self.assertGreater(before.refused, 5)
        self.assertLess(after.refused, before.refused)
        self.assertGreaterEqual(after.on_time, before.on_time - 3)
        self.assertGreater(after.late + after.on_time, before.late + before.on_time)

    def test_under_a_lasting_overload_most_are_refused_at_once(self):
        """Symptom: callers wait for seconds and get nothing.

        Twice as many come as there are slots; whoever waits behind all others does
        not get one while that lasts.
        """
        door = replay(self.lane, seconds=10, per_second=110)
        self.assertGreater(door.refused, 0.8 * (110 - SLOTS * 1_000 / RUN_MS) * 10)
        self.assertLessEqual(len(door.replica.waiting), SLOTS // 2 // NODES)

    def test_what_waits_behind_long_prompts_does_not_enter(self):
        """Replicas read admitted prompts in the order in which they came."""
        admission = Admission()
        self.assertFalse(admission.may_wait(Prospect(600, 700, 400, 3_000, 300)))
        self.assertTrue(admission.may_wait(Prospect(600, 700, 400, 3_000, 400)))

    def test_what_has_little_time_left_does_not_enter(self):
        self.assertFalse(Admission().may_wait(Prospect(300, 400, 50, 1_000, 300)))
