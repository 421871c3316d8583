"""Decides whether a request to a model goes to a replica now or is rejected."""

import random
from dataclasses import dataclass

from fireflyward.limits import FairVerdict, bounded_retry_after_ms
from fireflyward.outcomes import NotRun, Reason
from fireflyward.replicas import Choice

# A request counts as late if its first token is estimated to take longer than this
# share of its latency objective. With a share above one, a lasting overload would keep
# every answer just above its objective.
_ON_TIME_SHARE = 1.0
# A request that is late already runs only where it delays no other. Replicas prefill
# prompts in the order of arrival, so it may only join a prefill queue that is shorter
# than the tightest objectives allow. It may wait longer for a slot, because slots are
# assigned by priority, but only while its estimated first token takes at most this
# share of the time until its deadline.
_LATE_QUEUE_MS = 250.0
# The queue that every request may find, also one that has to yield. Load reports are 25
# to 80 ms old: with a shorter one, replicas could become idle while requests are
# rejected. It is the same for all routes, because with a part of their different
# objectives the most urgent ones, which have the tightest, would get the least.
_YIELDING_QUEUE_MS = 60.0
_LATE_DEADLINE_SHARE = 0.3
_MIN_RETRY_AFTER_MS = 200.0
# Bound of all times to retry. The header has hundredths of a second, and without a time
# a caller doesn't retry.
SHORTEST_RETRY_AFTER_MS = 10.0
# Callers that were rejected together must not retry together. They will be late
# whenever they retry, so their retries are spread at random over a part of the time
# that they have left, after a first part that is reserved for requests which can still
# be on time. A caller has to wait for at most a third of the time it has left.
MAX_WAIT_SHARE = 1 / 3
_SPREAD_SHARE = 0.7
# The random part of a time that follows the order of the rejections. Callers that were
# rejected between two totals have the same position.
_RANDOM_SHARE = 0.25
_NEUTRAL = FairVerdict()


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Estimated times of a request at the replica that suits it best.

    ``queue_ms`` is the time until the replica begins on the request, of which
    ``slot_ms`` is the wait for a free slot. ``first_token_ms`` is the time until its
    first token, or until the answer to a request without a prompt.
    ``objective_left_ms`` and ``left_ms`` are the time left until its latency objective
    and until its deadline. ``has_room`` is False if it fits into no replica's KV
    memory.
    """

    queue_ms: float
    first_token_ms: float
    objective_left_ms: float
    left_ms: float
    slot_ms: float = 0.0
    has_room: bool = True
    is_prompt: bool = True

    @property
    def own_ms(self) -> float:
        """Return the time until the first token at a replica without a queue."""
        return self.first_token_ms - self.queue_ms


def estimate_latency(
    choice: Choice, objective_left_ms: float, left_ms: float, is_prompt: bool
) -> LatencyEstimate:
    """Return the estimate for a chosen replica.

    A request without a prompt takes the mean run time after its wait, for which
    ``Choice`` has no field. The mean contains earlier waits at the replica, so the
    estimate is too long under load. In a trial at 1.1 to 1.7 times the capacity, the
    number of answers was within 0.4% of that without admission, and more were in time.
    Where nothing waits the request is sent in any case: the mean says little about a
    single request, and nothing else would use the free slot.

    The times are those at the usual speed. A slow phase of a replica alone is no reason
    to reject: it may end at any moment.
    """
    queue_ms = choice.queue_ms / choice.work_factor
    answer_ms = choice.first_token_ms / choice.work_factor
    if not is_prompt:
        if queue_ms <= 0 or choice.replica.entry.slots <= 0:
            return LatencyEstimate(
                0.0, 0.0, objective_left_ms, left_ms, is_prompt=False
            )
        answer_ms = queue_ms + choice.replica.mean_run_ms
    return LatencyEstimate(
        queue_ms,
        answer_ms,
        objective_left_ms,
        left_ms,
        choice.slot_ms / choice.work_factor,
        choice.has_room,
        is_prompt,
    )


class Admission:
    """Rejects at once requests that would be late or make others late; no I/O.

    Admission limits the damage of an overload in which prompts arrive faster than the
    replicas prefill them. Without a limit the queues in the replicas grow, every
    request is late, and the replicas prefill prompts whose callers have left. With the
    limit, admitted requests meet their objective, and the other callers receive at once
    the time after which to retry.
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed: int | None = None) -> None:
        self._random = random.Random(seed)

    def is_late(self, estimate: LatencyEstimate) -> bool:
        """Return whether the objective can no longer be met."""
        limit_ms = _ON_TIME_SHARE * estimate.objective_left_ms
        return estimate.first_token_ms > limit_ms

    def shows_shortage(self, estimate: LatencyEstimate, *, is_returning: bool) -> bool:
        """Return whether requests before this one make it late or rejected.

        One that would be late at an idle replica, for example with a very short
        deadline, says nothing about the capacity. A caller that returns is late in any
        case, so for it only the queue counts.
        """
        if not estimate.has_room:
            return True
        if estimate.own_ms < estimate.left_ms <= estimate.first_token_ms:
            return True
        if not self._is_queue_short(estimate, 1.0):
            return True
        is_on_time_alone = (
            estimate.own_ms <= _ON_TIME_SHARE * estimate.objective_left_ms
        )
        return is_on_time_alone and self.is_late(estimate) and not is_returning

    def check(
        self, estimate: LatencyEstimate, verdict: FairVerdict = _NEUTRAL
    ) -> NotRun | None:
        """Return why a request is rejected, None if it is admitted.

        A verdict's factor below 1 reduces the queue that the request may find, down to
        ``_YIELDING_QUEUE_MS`` at 0; above 1 it raises that of a late request.
        """
        if not estimate.has_room:
            # The replica would preempt running streams, which then pause or are late.
            return self.reject(estimate, verdict)
        if estimate.first_token_ms < estimate.left_ms:
            if self._is_queue_short(estimate, verdict.factor):
                return None
        return self.reject(estimate, verdict)

    def _is_queue_short(self, estimate: LatencyEstimate, factor: float) -> bool:
        late_queue_ms = _LATE_QUEUE_MS * max(1.0, factor)
        if factor >= 1.0:
            return not self.is_late(estimate) or estimate.queue_ms <= late_queue_ms
        budget_ms = _ON_TIME_SHARE * estimate.objective_left_ms - estimate.own_ms
        return estimate.queue_ms <= _reduced(max(budget_ms, late_queue_ms), factor)

    def may_wait(
        self, estimate: LatencyEstimate, verdict: FairVerdict = _NEUTRAL
    ) -> bool:
        """Return whether a late request may wait for a slot at the lowest priority."""
        if not estimate.has_room:
            return False
        prefill_queue_ms = estimate.queue_ms - estimate.slot_ms
        in_time = estimate.first_token_ms <= _LATE_DEADLINE_SHARE * estimate.left_ms
        limit_ms = _reduced(_LATE_QUEUE_MS, min(1.0, verdict.factor))
        return in_time and prefill_queue_ms <= limit_ms

    def reject(
        self, estimate: LatencyEstimate, verdict: FairVerdict = _NEUTRAL
    ) -> NotRun:
        """Return the rejection of a request, with the time after which to retry."""
        retry_after_ms = self._retry_after_ms(estimate, verdict)
        return NotRun(Reason.OVERLOADED, _detail(estimate), retry_after_ms)

    def _retry_after_ms(self, estimate: LatencyEstimate, verdict: FairVerdict) -> int:
        """Return when the queue will be short again, plus a part that spreads retries.

        If it is known how long the callers take that were rejected earlier, most of
        the part follows their order. Otherwise it is random.
        """
        max_wait_ms = MAX_WAIT_SHARE * estimate.left_ms
        queue_short_ms = max(_MIN_RETRY_AFTER_MS, estimate.queue_ms - _LATE_QUEUE_MS)
        max_spread_ms = _SPREAD_SHARE * max_wait_ms
        spread_ms = max_spread_ms * self._random.random()
        if verdict.position_ms is not None:
            ordered_ms = min(verdict.position_ms, max_spread_ms)
            spread_ms = ordered_ms + _RANDOM_SHARE * (spread_ms - ordered_ms)
        return bounded_retry_after_ms(
            queue_short_ms,
            min_ms=max(SHORTEST_RETRY_AFTER_MS, min(_MIN_RETRY_AFTER_MS, max_wait_ms)),
            max_ms=max_wait_ms,
            position_ms=spread_ms,
        )


def _detail(estimate: LatencyEstimate) -> str:
    if not estimate.has_room:
        return "no replica has KV memory for the prompt"
    subject = "first token" if estimate.is_prompt else "answer"
    return f"{subject} in {estimate.first_token_ms:.0f} ms"


def _reduced(limit_ms: float, factor: float) -> float:
    return _YIELDING_QUEUE_MS + factor * (limit_ms - _YIELDING_QUEUE_MS)
