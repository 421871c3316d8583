"""How much a node may send to replicas that are cold."""

from collections.abc import Iterable

from fireflyward.rendezvous import rendezvous_rank

from ._state import ReplicaState

# The span in which the requests that a cold replica bears are counted.
_WINDOW_MS = 1_000
# A send that was granted leaves within this time, once its connection is open.
_LEAVES_WITHIN_MS = 400


class ColdShares:
    """Parts of what a cold replica bears, one for each node; no I/O.

    The load that it answers: a failure domain comes back cold. Its replicas have
    nothing to do, so they look best to every node at once, and a replica that bears
    eleven requests a second gets fifty and crashes; the domain is lost again. No
    node can know in time what the others are about to send, so each replica's
    requests are dealt out beforehand. Every node ranks the nodes alike for each
    replica; the first ones may send one request a second each until all that the
    replica bears is given away, and the others none. Nothing is spent on agreeing,
    and what is dealt out holds for nodes that are cut off from the others too.

    Nodes whose lists of nodes differ for a moment may draw a few more than the
    replica bears; the limit that is promised lies well above that.

    >>> shares = ColdShares("n1")
    >>> shares.set_nodes(["n1", "n2"])
    >>> shares.allowance(17, 5.0), shares.allowance(17, 4.0)
    (3, 2)
    """

    __slots__ = ("_allowance_by_drawn", "_node", "_nodes", "granted")

    def __init__(self, node: str) -> None:
        self._node = node
        self._nodes: tuple[str, ...] = ()
        self._allowance_by_drawn: dict[tuple[int, float], int] = {}
        self.granted = 0

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Take the names of all nodes, this one's among them.

        Until they are known nothing is sent to a cold replica: a node that took
        itself for the only one would send all that the replica bears.
        """
        known = tuple(sorted(nodes))
        if known != self._nodes:
            self._nodes = known
            self._allowance_by_drawn.clear()

    def allowance(self, replica: int, per_second: float) -> int:
        """Return how many requests a second this node may send to a cold replica.

        ``replica`` is the number of its start, ``per_second`` what it bears.
        """
        drawn = replica, per_second
        if drawn not in self._allowance_by_drawn:
            self._allowance_by_drawn[drawn] = self._dealt(replica, per_second)
        return self._allowance_by_drawn[drawn]

    def may_send(self, now_ms: int, state: ReplicaState, per_second: float) -> bool:
        """Tell whether one more request may go to a cold replica now."""
        allowance = self.allowance(state.number, per_second)
        return state.cold_sends_since(now_ms - _WINDOW_MS) < allowance

    def on_granted(self, now_ms: int, state: ReplicaState) -> None:
        """Count a request that is about to be sent, at the latest that it may be."""
        self.granted += 1
        state.on_cold_send(now_ms + _LEAVES_WITHIN_MS)

    def _dealt(self, replica: int, per_second: float) -> int:
        if self._node not in self._nodes:
            return 0
        ranks = {node: rendezvous_rank(str(replica), node) for node in self._nodes}
        own = ranks[self._node]
        place = sum(rank > own for rank in ranks.values())
        # What bears less than one request a second would else never get any.
        bears = max(1, int(per_second))
        each, rest = divmod(bears, len(self._nodes))
        return each + (place < rest)
