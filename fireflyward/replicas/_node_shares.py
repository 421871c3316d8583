"""Division of a replica's rate among the nodes."""

from collections.abc import Iterable

from fireflyward.rendezvous import rendezvous_rank


class NodeShares:
    """Divides a whole number among the nodes without coordination; no I/O.

    Every node computes the same ranking of the nodes for each replica, and the first
    nodes get one more than the others. This needs no messages, so the shares also hold
    for nodes that are cut off from the others. While nodes have different lists of
    nodes, the sum of their shares may exceed the number a little.

    >>> shares = NodeShares("n1")
    >>> shares.set_nodes(["n1", "n2"])
    >>> shares.share(17, 6), shares.share(17, 4)
    (3, 2)
    """

    __slots__ = ("_node", "_nodes", "_share_by_key")

    def __init__(self, node: str) -> None:
        self._node = node
        self._nodes: tuple[str, ...] = ()
        self._share_by_key: dict[tuple[int, int], int] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Set the names of all nodes, including this one.

        Until then this node's share is zero: if it assumed that it is the only node, it
        would get the whole rate.
        """
        known = tuple(sorted(nodes))
        if known != self._nodes:
            self._nodes = known
            self._share_by_key.clear()

    def share(self, replica: int, amount: int) -> int:
        """Return this node's share of an amount for one replica incarnation."""
        key = replica, amount
        if key not in self._share_by_key:
            self._share_by_key[key] = self._compute_share(replica, amount)
        return self._share_by_key[key]

    def _compute_share(self, replica: int, amount: int) -> int:
        if self._node not in self._nodes:
            return 0
        ranks = {node: rendezvous_rank(str(replica), node) for node in self._nodes}
        own = ranks[self._node]
        place = sum(rank > own for rank in ranks.values())
        each, remainder = divmod(amount, len(self._nodes))
        return each + (place < remainder)
