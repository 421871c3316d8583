"""How much a node may send to replicas that are cold."""

from collections.abc import Iterable

from ._node_shares import NodeShares
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
    requests are dealt out beforehand, one a second to each node until all that the
    replica bears is given away. What nodes with differing lists draw beside it stays
    well below the limit that is promised.

    >>> shares = ColdShares("n1")
    >>> shares.set_nodes(["n1", "n2"])
    >>> shares.allowance(17, 6.0), shares.allowance(17, 4.0)
    (3, 2)
    """

    __slots__ = ("_shares", "granted")

    def __init__(self, node: str) -> None:
        self._shares = NodeShares(node)
        self.granted = 0

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Take the names of all nodes; see ``NodeShares.set_nodes``."""
        self._shares.set_nodes(nodes)

    def allowance(self, replica: int, per_second: float) -> int:
        """Return how many requests a second this node may send to a cold replica.

        ``replica`` is the number of its start, ``per_second`` what it bears.
        """
        # What bears less than one request a second would else never get any.
        return self._shares.part(replica, max(1, int(per_second)))

    def may_send(self, now_ms: int, state: ReplicaState, per_second: float) -> bool:
        """Tell whether one more request may go to a cold replica now."""
        allowance = self.allowance(state.incarnation_id, per_second)
        return state.cold_sends_since(now_ms - _WINDOW_MS) < allowance

    def on_granted(self, now_ms: int, state: ReplicaState) -> None:
        """Count a request that is about to be sent, at the latest that it may be."""
        self.granted += 1
        state.on_cold_send(now_ms + _LEAVES_WITHIN_MS)
