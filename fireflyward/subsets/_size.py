"""How many of a service's replicas a node sends to."""

import math

from fireflyward.http1 import MAX_IDLE_MS

# A connection is reused if the next send to its replica comes within MAX_IDLE_MS. With
# three sends expected in that time, 95% of the sends find an idle connection.
_SENDS_PER_IDLE_TIME = 3.0
# From 10 nodes for each replica on, the spread of the replicas' loads is at most 1.25
# times the spread without subsets (tests/subsets/test_spread.py).
_NODES_PER_REPLICA = 10
# The chooser compares all candidates if they are 8 or fewer, and then nodes with the
# same load reports send to the same replica. With 10, three domains have three each.
_MIN_SIZE = 10


def min_size(nodes: int, replicas: int) -> int:
    """Return the smallest subset that keeps the load of the replicas even.

    >>> min_size(82, 30), min_size(63, 70), min_size(350, 1_200)
    (10, 12, 35)
    """
    if not nodes:
        return replicas
    return min(
        replicas, max(_MIN_SIZE, math.ceil(_NODES_PER_REPLICA * replicas / nodes))
    )


def subset_size(per_second: float, *, nodes: int, replicas: int) -> int:
    """Return how many replicas a node uses that sends this many requests a second.

    A node that can keep connections to all replicas open uses all of them.

    >>> subset_size(9.0, nodes=82, replicas=30)
    12
    >>> subset_size(40.0, nodes=82, replicas=30)
    30
    """
    kept_open = math.ceil(per_second * MAX_IDLE_MS / 1_000 / _SENDS_PER_IDLE_TIME)
    return min(replicas, max(kept_open, min_size(nodes, replicas)))
