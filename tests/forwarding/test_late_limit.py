"""Late requests in a burst of more requests than the replicas have slots."""

import heapq
import unittest

from fireflyward.forwarding._admission import Admission, LatencyEstimate
from fireflyward.forwarding._late_limit import LateRequestLimit

SLOTS, NODES = 16, 2
RUN_MS, FIRST_MS, OBJECTIVE_MS, LEFT_MS = 300.0, 100.0, 400.0, 3_000.0


class _Replica:
    """Assigns its slots by priority, then in the order of arrival."""

    def __init__(self):
        self.free = SLOTS
        self.waiting = []
        self.running = []

    def run_until(self, now_ms):
        while self.running and self.running[0][0] <= now_ms:
            at_ms, on_done = heapq.heappop(self.running)
            on_done()
            self.free += 1
            self._begin(at_ms)

    def add(self, now_ms, priority, on_begin, on_done):
        heapq.heappush(self.waiting, (priority, now_ms, on_begin, on_done))
        self._begin(now_ms)

    def _begin(self, now_ms):
        while self.free and self.waiting:
            _, arrived_ms, on_begin, on_done = heapq.heappop(self.waiting)
            self.free -= 1
            on_begin(now_ms - arrived_ms + FIRST_MS)
            heapq.heappush(self.running, (now_ms + RUN_MS, on_done))


class _Entry:
    """Admits requests as a node does, and counts their results."""

    def __init__(self, limit):
        self.replica = _Replica()
        self.admission = Admission(seed=1)
        self.limit = limit
        self.in_flight = 0
        self.on_time = self.late = self.rejected = 0

    def request(self, now_ms):
        self.replica.run_until(now_ms)
        slot_ms = max(0, self.in_flight + 1 - SLOTS) * RUN_MS / SLOTS
        estimate = LatencyEstimate(
            slot_ms, slot_ms + FIRST_MS, OBJECTIVE_MS, LEFT_MS, slot_ms
        )
        rejection = self.admission.check(estimate)
        if rejection is None:
            self.in_flight += 1
            self.replica.add(now_ms, 0, self._on_begin, self._on_done)
        elif self._may_wait(estimate):
            self.replica.add(now_ms, 5, self._on_begin_late, self._on_done)
        else:
            self.rejected += 1

    def _may_wait(self, estimate):
        if self.limit is None or not self.admission.may_wait(estimate):
            return False
        return self.limit.try_acquire("s", SLOTS)

    def _on_begin(self, took_ms):
        self.on_time += took_ms <= OBJECTIVE_MS
        self.late += took_ms > OBJECTIVE_MS

    def _on_begin_late(self, took_ms):
        self.limit.release("s")
        self.in_flight += 1
        self._on_begin(took_ms)

    def _on_done(self):
        self.in_flight -= 1


def replay(limit, *, seconds, per_second, quiet_s=2):
    """Replay a burst and a quiet time after it; return the entry with its counts."""
    entry = _Entry(limit)
    for number in range(int(seconds * per_second)):
        entry.request(number * 1_000 / per_second)
    entry.replica.run_until((seconds + quiet_s) * 1_000)
    return entry


class LateRequestLimitTests(unittest.TestCase):
    def setUp(self):
        self.limit = LateRequestLimit()
        self.limit.set_nodes(NODES)

    def test_in_a_burst_fewer_are_rejected_and_as_many_are_on_time(self):
        """Guards against rejecting one caller in twenty twice in a four-second burst.

        A request that would be late because it waits for a slot was rejected, and its
        caller retried during the burst. At the lowest priority the request would have
        delayed no other request.
        """
        before = replay(None, seconds=4, per_second=60)
        after = replay(self.limit, seconds=4, per_second=60)
        self.assertGreater(before.rejected, 5)
        self.assertLess(after.rejected, before.rejected)
        self.assertGreaterEqual(after.on_time, before.on_time - 3)
        self.assertGreater(after.late + after.on_time, before.late + before.on_time)

    def test_under_a_lasting_overload_most_are_rejected_at_once(self):
        """Guards against callers that wait for seconds and get no answer.

        Twice as many requests arrive as there are slots. A request at the lowest
        priority gets no slot as long as the overload lasts.
        """
        entry = replay(self.limit, seconds=10, per_second=110)
        self.assertGreater(entry.rejected, 0.8 * (110 - SLOTS * 1_000 / RUN_MS) * 10)
        self.assertLessEqual(len(entry.replica.waiting), SLOTS // 2 // NODES)

    def test_a_request_behind_long_prompts_may_not_wait(self):
        """Replicas prefill admitted prompts in the order of arrival."""
        admission = Admission()
        self.assertFalse(admission.may_wait(LatencyEstimate(600, 700, 400, 3_000, 300)))
        self.assertTrue(admission.may_wait(LatencyEstimate(600, 700, 400, 3_000, 400)))

    def test_a_request_with_little_time_left_may_not_wait(self):
        self.assertFalse(
            Admission().may_wait(LatencyEstimate(300, 400, 50, 1_000, 300))
        )
