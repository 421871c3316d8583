"""Decides whether a request to a model goes to a replica now or is rejected."""

import random
from dataclasses import dataclass

from fireflyward.limits import bounded_retry_after_ms
from fireflyward.outcomes import NotRun, Reason

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
_LATE_DEADLINE_SHARE = 0.3
_MIN_RETRY_AFTER_MS = 200.0
# Callers that were rejected together must not retry together. They will be late
# whenever they retry, so their retries are spread at random over a part of the time
# that they have left, after a first part that is reserved for requests which can still
# be on time. A caller has to wait for at most a third of the time it has left.
_MAX_WAIT_SHARE = 1 / 3
_SPREAD_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Estimated times of a request at the replica that suits it best.

    ``queue_ms`` is the time until the replica begins on the request, of which
    ``slot_ms`` is the wait for a free slot. ``first_token_ms`` is the time until its
    first token. ``objective_left_ms`` and ``left_ms`` are the time left until its
    latency objective and until its deadline.
    """

    queue_ms: float
    first_token_ms: float
    objective_left_ms: float
    left_ms: float
    slot_ms: float = 0.0


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

    def check(self, estimate: LatencyEstimate) -> NotRun | None:
        """Return why a request is rejected, None if it is admitted."""
        if estimate.first_token_ms < estimate.left_ms:
            if not self.is_late(estimate) or estimate.queue_ms <= _LATE_QUEUE_MS:
                return None
        return self.reject(estimate)

    def may_wait(self, estimate: LatencyEstimate) -> bool:
        """Return whether a late request may wait for a slot at the lowest priority."""
        prefill_queue_ms = estimate.queue_ms - estimate.slot_ms
        in_time = estimate.first_token_ms <= _LATE_DEADLINE_SHARE * estimate.left_ms
        return in_time and prefill_queue_ms <= _LATE_QUEUE_MS

    def reject(self, estimate: LatencyEstimate) -> NotRun:
        """Return the rejection of a request, with the time after which to retry."""
        detail = f"first token in {estimate.first_token_ms:.0f} ms"
        return NotRun(Reason.OVERLOADED, detail, self._retry_after_ms(estimate))

    def _retry_after_ms(self, estimate: LatencyEstimate) -> int:
        """Return when the queue will be short again, plus a random part to spread."""
        max_wait_ms = _MAX_WAIT_SHARE * estimate.left_ms
        queue_short_ms = max(_MIN_RETRY_AFTER_MS, estimate.queue_ms - _LATE_QUEUE_MS)
        spread_ms = _SPREAD_SHARE * max_wait_ms * self._random.random()
        return bounded_retry_after_ms(
            queue_short_ms,
            min_ms=_MIN_RETRY_AFTER_MS,
            max_ms=max_wait_ms,
            position_ms=spread_ms,
        )
