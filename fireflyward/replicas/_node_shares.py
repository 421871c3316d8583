"""Parts of what a replica takes from all nodes, one for each node."""

from collections.abc import Iterable

from fireflyward.rendezvous import rendezvous_rank


class NodeShares:
    """Deals out a whole number among the nodes, alike at each of them; no I/O.

    Every node ranks the nodes alike for each replica, and the first ones get one more
    than the others. Nothing is spent on agreeing, and what is dealt out holds for
    nodes that are cut off from the others too. Nodes whose lists of nodes differ for a
    moment may draw a few more than there are.

    >>> shares = NodeShares("n1")
    >>> shares.set_nodes(["n1", "n2"])
    >>> shares.part(17, 6), shares.part(17, 4)
    (3, 2)
    """

    __slots__ = ("_node", "_nodes", "_part_by_drawn")

    def __init__(self, node: str) -> None:
        self._node = node
        self._nodes: tuple[str, ...] = ()
        self._part_by_drawn: dict[tuple[int, int], int] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Take the names of all nodes, this one's among them.

        Until they are known this node has no part of anything: if it took itself for
        the only one it would have all.
        """
        known = tuple(sorted(nodes))
        if known != self._nodes:
            self._nodes = known
            self._part_by_drawn.clear()

    def part(self, replica: int, amount: int) -> int:
        """Return this node's part of what the start of a replica takes."""
        drawn = replica, amount
        if drawn not in self._part_by_drawn:
            self._part_by_drawn[drawn] = self._dealt(replica, amount)
        return self._part_by_drawn[drawn]

    def _dealt(self, replica: int, amount: int) -> int:
        if self._node not in self._nodes:
            return 0
        ranks = {node: rendezvous_rank(str(replica), node) for node in self._nodes}
        own = ranks[self._node]
        place = sum(rank > own for rank in ranks.values())
        each, rest = divmod(amount, len(self._nodes))
        return each + (place < rest)
