"""Limits on what a node sends to replicas that crash if they reject too much."""

from collections.abc import Iterable

from ._node_shares import NodeShares
from ._state import ReplicaState

# The part of a replica's slots that is divided among the nodes. A node that has no part
# of them, or more requests than its part, uses the rest.
_DIVIDED_PART = 0.8
# The rest is used while fewer than this part of all slots is taken, and by all nodes
# together at no more than this part of the replica's capacity.
_FREE_BELOW = 0.6
_SHARED_CAPACITY = 0.4
# Rejections of this time lengthen the intervals at which a node uses the rest: as many
# as a replica withstands in a second, by this power of two.
_MEMORY_MS = 10_000
_BACKOFF_POWER = 16.0
_MAX_BACKOFF_POWER = 8.0
_MIN_WAIT_MS = 50.0
_MAX_WAIT_MS = 1_000.0


class BrittleLimits:
    """Keeps the rejections of replicas below what they withstand; no I/O.

    This prevents the following failure: the replicas of a service are full and announce
    that they are brittle. Each node goes on sending, since a rejection usually costs
    little; a replica rejects more than it withstands and crashes, and its load is sent
    to the others, which crash too. The nodes do not know each other's last sends, so
    all of them would claim the same free slot. Therefore most slots are divided among
    the nodes in advance. Beyond its part a node sends only if slots are free by the
    last reports, and at intervals with which all nodes together use a part of the
    capacity; the intervals grow with the rejections, whoever sent the requests.

    >>> limits = BrittleLimits("n1")
    >>> limits.set_nodes(["n1", "n2"])
    >>> limits.share(17, 4.0)
    2
    """

    __slots__ = ("_node_count", "_shares")

    def __init__(self, node: str) -> None:
        self._shares = NodeShares(node)
        self._node_count = 1

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Set the names of all nodes; see ``NodeShares.set_nodes``."""
        names = list(nodes)
        self._node_count = max(1, len(names))
        self._shares.set_nodes(names)

    def share(self, replica: int, amount: float) -> int:
        """Return this node's part of a replica's slots.

        ``replica`` is an incarnation id, ``amount`` is for all nodes together.
        """
        return self._shares.share(replica, int(amount))

    def may_send(self, now_ms: int, state: ReplicaState, requests: float) -> bool:
        """Return whether a replica with this many requests may get one more now."""
        if not state.is_brittle or self._has_own_slot(state):
            return True
        if requests >= _FREE_BELOW * state.entry.slots:
            return False
        last_ms = state.shared_slot_ms
        return last_ms is None or now_ms - last_ms >= self._pause_ms(now_ms, state)

    def on_granted(self, now_ms: int, state: ReplicaState) -> None:
        """Count a request that is about to be sent."""
        if not self._has_own_slot(state):
            state.shared_slot_ms = now_ms

    def wait_ms(self, state: ReplicaState) -> float:
        """Return after how long a full brittle replica probably has a free slot."""
        per_slot_ms = state.mean_run_ms / max(1, state.entry.slots)
        return min(max(per_slot_ms, _MIN_WAIT_MS), _MAX_WAIT_MS)

    def _has_own_slot(self, state: ReplicaState) -> bool:
        divided = max(1.0, _DIVIDED_PART * state.entry.slots)
        return state.in_flight < self.share(state.incarnation_id, divided)

    def _pause_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return the time between two requests in slots beyond this node's part."""
        withstood = max(1.0, state.backpressure.brittle.per_second)
        rejected = state.rejected.since(now_ms - _MEMORY_MS)
        power = min(_MAX_BACKOFF_POWER, _BACKOFF_POWER * rejected / withstood)
        shared_slots = _SHARED_CAPACITY * max(1, state.entry.slots)
        return 2.0**power * self._node_count * state.mean_run_ms / shared_slots
