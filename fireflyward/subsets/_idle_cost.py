"""Prefers replicas to which a connection is open."""

from fireflyward.replicas import LoadEstimate, ReplicaState, Requirements

from ._connection_counts import PoolCounts
from ._filter import SubsetFilter

# Opening a connection takes a round trip, about 1 ms within a failure domain, and 1 ms
# of the replica's time. A larger cost would outweigh differences of load.
_OPEN_MS = 2.0


class IdleConnectionCost:
    """Adds the cost of opening a connection, for services with a subset; no I/O.

    It is a ``replicas.CostTerm``. Services without a subset are served as before.
    """

    __slots__ = ("_pool", "_subsets")

    def __init__(self, pool: PoolCounts, subsets: SubsetFilter) -> None:
        self._pool = pool
        self._subsets = subsets

    def cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
    ) -> float:
        """Return the cost of a replica without an idle connection."""
        if not self._subsets.is_in_effect(requirements.service):
            return 0.0
        return 0.0 if self._pool.has_idle(state.entry.address) else _OPEN_MS
