"""Which nodes look for a free lease, so that not all of them poll for it."""

from collections.abc import Iterable

from fireflyward.rendezvous import rendezvous_rank

CONTENDERS = 3


def contenders(
    lease: str, nodes: Iterable[str], count: int = CONTENDERS
) -> tuple[str, ...]:
    """Return the ``count`` nodes that contend for ``lease``, best first.

    Every node draws the same order from the names alone (rendezvous hashing).
    Views that differ cost some reads of the table and nothing else, because the
    table's conditional write alone decides who holds the lease.

    >>> len(contenders("rollout", ["a", "b", "c", "d"]))
    3
    """
    ranked = sorted(nodes, key=lambda node: rendezvous_rank(lease, node))
    return tuple(ranked[:count])
