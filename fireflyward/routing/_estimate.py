"""Estimates the time until a replica produces the first token of a run."""

from typing import Protocol

from ._affinity import PrefixAffinity
from ._candidate import Candidate, RunShape

_IN_FLIGHT_RUN_COST_MS = 3.0
_COMPUTE_WEIGHT = 3.0


class FirstTokenEstimate(Protocol):
    """The cost of a candidate, which ``Router`` minimizes.

    The estimate is the time in milliseconds from now to the first token at the
    replica, without network latency. An implementation may add the delay that the
    run causes for other runs, and may consider an import of kept blocks.
    """

    def estimate_ms(
        self, now_ms: int, candidate: Candidate, shape: RunShape
    ) -> float: ...


class QueueEstimate:
    """Estimates the wait behind other runs and the prefill of uncached tokens.

    The prefill counts four times: once for this run and three times for the runs
    that it delays, of which there are several under high load. A run therefore
    accepts a short wait for a replica that has its blocks cached, which shortens
    the wait of all runs together.
    """

    __slots__ = ("_affinity",)

    def __init__(self, affinity: PrefixAffinity) -> None:
        self._affinity = affinity

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        cached = self._affinity.estimate_cached_tokens(shape).get(candidate.name, 0.0)
        uncached_tokens = max(1.0, shape.prompt_tokens - cached)
        backlog_tokens = candidate.backlog_tokens(now_ms)
        weighted_tokens = backlog_tokens + (1.0 + _COMPUTE_WEIGHT) * uncached_tokens
        return (
            weighted_tokens * candidate.ms_per_token
            + _IN_FLIGHT_RUN_COST_MS * candidate.in_flight
        )
