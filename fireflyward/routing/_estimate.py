"""How long a replica would take to the first token of a run."""

from typing import Protocol

from ._affinity import PrefixAffinity
from ._candidate import Candidate, RunShape

_SLOT_COST_MS = 3.0
_COMPUTE_WEIGHT = 3.0


class FirstTokenEstimate(Protocol):
    """What ``Router`` needs to know of a candidate.

    The estimate is in milliseconds from now to the first token at the replica,
    without the network, and is what routing minimizes. An implementation may add
    what the run costs others, and may weigh an import of kept work.
    """

    def estimate_ms(
        self, now_ms: int, candidate: Candidate, shape: RunShape
    ) -> float: ...


class QueueEstimate:
    """The wait behind other runs, and the prefill of what is not cached.

    Prefill counts four times: once for this run, and three times for those that
    it makes wait, which at high load are several. A run therefore waits a little
    for a replica that has its blocks, and everyone waits less.
    """

    __slots__ = ("_affinity",)

    def __init__(self, affinity: PrefixAffinity) -> None:
        self._affinity = affinity

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        cached = self._affinity.expected_tokens(shape).get(candidate.name, 0.0)
        to_compute = max(1.0, shape.prompt_tokens - cached)
        waiting = candidate.backlog_tokens(now_ms)
        weighed = waiting + (1.0 + _COMPUTE_WEIGHT) * to_compute
        return weighed * candidate.ms_per_token + _SLOT_COST_MS * candidate.in_flight
