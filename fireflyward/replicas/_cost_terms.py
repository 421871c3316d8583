"""Interfaces by which other parts of a node take part in the choice of a replica."""

from collections.abc import Sequence
from typing import Protocol

from ._requirements import LoadEstimate, Requirements
from ._state import ReplicaState


class CostTerm(Protocol):
    """Adds to the estimated cost of a replica; does no I/O.

    A cost is the time in ms that the chooser lets a request wait longer in order to
    avoid a replica. It may be negative, which makes the replica preferred.
    """

    def cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
    ) -> float:
        """Return the additional cost of sending a request to a replica."""
        ...


class CandidateFilter(Protocol):
    """Limits the replicas that a node compares; does no I/O."""

    def filter(
        self,
        now_ms: int,
        available: Sequence[ReplicaState],
        requirements: Requirements,
    ) -> list[ReplicaState]:
        """Return the replicas to compare; if there are none, all are compared."""
        ...
