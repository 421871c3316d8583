"""Limits on what a node sends to cold replicas."""

from collections.abc import Iterable

from ._node_shares import NodeShares
from ._state import ReplicaState

# The time window in which the requests to a cold replica are counted.
_WINDOW_MS = 1_000
# A granted request is sent within this time, once its connection is open.
_SENT_WITHIN_MS = 400


class ColdShares:
    """Divides the rate that a cold replica sustains among the nodes; no I/O.

    This prevents the following overload: the replicas of a failure domain are cold
    when the domain returns. They are idle, so all nodes prefer them at the same time,
    and a replica that sustains eleven requests a second gets fifty and crashes; the
    domain is lost again. No node can know in time what the others are about to send.
    Each replica's rate is therefore divided in advance, one request a second for each
    node until the rate is used up. Nodes with different lists of nodes may exceed the
    rate a little; the sum stays well below the limit that the deployment promises.

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
        """Set the names of all nodes; see ``NodeShares.set_nodes``."""
        self._shares.set_nodes(nodes)

    def allowance(self, replica: int, per_second: float) -> int:
        """Return how many requests a second this node may send to a cold replica.

        ``replica`` is an incarnation id, ``per_second`` the rate that it sustains.
        """
        # A replica that sustains less than one request a second would get none at all.
        return self._shares.share(replica, max(1, int(per_second)))

    def may_send(self, now_ms: int, state: ReplicaState, per_second: float) -> bool:
        """Return whether one more request may be sent to a cold replica now."""
        allowance = self.allowance(state.incarnation_id, per_second)
        return state.cold_sends_since(now_ms - _WINDOW_MS) < allowance

    def on_granted(self, now_ms: int, state: ReplicaState) -> None:
        """Count a request that is about to be sent, at its latest possible time."""
        self.granted += 1
        state.on_cold_request(now_ms + _SENT_WITHIN_MS)
