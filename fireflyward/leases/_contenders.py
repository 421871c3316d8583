"""Selects the nodes that poll for a free lease, so that not all nodes do."""

from collections.abc import Iterable

from fireflyward.rendezvous import rendezvous_rank

CONTENDER_COUNT = 3


def contenders(
    lease: str, nodes: Iterable[str], count: int = CONTENDER_COUNT
) -> tuple[str, ...]:
    """Return the ``count`` nodes that contend for ``lease``, first preference first.

    Every node derives the same order from the names alone, by rendezvous hashing.
    Nodes whose views of the membership differ only cause more reads of the table,
    because the table's conditional write alone decides which node holds the lease.

    >>> len(contenders("rollout", ["a", "b", "c", "d"]))
    3
    """
    ranked = sorted(nodes, key=lambda node: rendezvous_rank(lease, node))
    return tuple(ranked[:count])
