"""How long a replica would take to the first token of a run."""

import math
from typing import Protocol

from ._affinity import PrefixAffinity
from ._candidate import Candidate, RunShape

_REPORT_SHARE = 0.25
_REPORT_LIFE_MS = 100.0
_SLOT_COST_MS = 3.0


class FirstTokenEstimate(Protocol):
    """What ``Router`` needs to know of a candidate.

    The estimate is in milliseconds from now to the first token at the replica,
    without the network; an implementation may also weigh an import of kept work.
    """

    def estimate_ms(
        self, now_ms: int, candidate: Candidate, shape: RunShape
    ) -> float: ...


class QueueEstimate:
    """The wait behind other runs, and the prefill of what is not cached.

    This node's own runs count in full, since they are known exactly. What the
    report adds counts for less the older it is, and never for more than a
    quarter: all nodes see the same report, and if each acted on the whole of it,
    they would together move several times the load that is out of balance, and
    move it back on the next report. docs/design/routing.md has the figures.
    """

    __slots__ = ("_affinity",)

    def __init__(self, affinity: PrefixAffinity) -> None:
        self._affinity = affinity

    def estimate_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        cached = self._affinity.expected_tokens(shape).get(candidate.name, 0.0)
        to_compute = max(1.0, shape.prompt_tokens - cached)
        waiting = candidate.pending_tokens + believed_tokens(now_ms, candidate)
        prefill_ms = (waiting + to_compute) * candidate.ms_per_token
        return prefill_ms + _SLOT_COST_MS * candidate.in_flight


def believed_tokens(now_ms: int, candidate: Candidate) -> float:
    """Return the part of the reported backlog that is still acted on."""
    if candidate.report is None:
        return 0.0
    faded = math.exp(-candidate.report_age_ms(now_ms) / _REPORT_LIFE_MS)
    return _REPORT_SHARE * faded * candidate.report.queued_prefill_tokens
