"""Choosing the replica that serves a run."""

from ._affinity import PrefixAffinity, PrefixRecord, rendezvous_order, rendezvous_rank
from ._candidate import Candidate, RunShape
from ._estimate import FirstTokenEstimate, QueueEstimate
from ._router import Router

__all__ = [
    "Candidate",
    "FirstTokenEstimate",
    "PrefixAffinity",
    "PrefixRecord",
    "QueueEstimate",
    "Router",
    "RunShape",
    "rendezvous_order",
    "rendezvous_rank",
]
