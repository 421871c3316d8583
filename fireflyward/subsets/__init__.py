"""Limits a node to some of a large service's replicas, to reuse connections."""

from ._connection_counts import ConnectionCounts
from ._filter import SubsetFilter
from ._idle_cost import IdleConnectionCost
from ._ranking import rank_replicas
from ._size import min_size, subset_size

__all__ = [
    "ConnectionCounts",
    "IdleConnectionCost",
    "SubsetFilter",
    "min_size",
    "rank_replicas",
    "subset_size",
]
