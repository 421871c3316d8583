"""Limits on what a node sends to replicas that report a rate limit."""

import random
from collections.abc import Iterable

from ._node_shares import NodeShares
from ._state import ReplicaState

# The time window for which a limit is divided: in a shorter one most nodes would get
# no share of a low limit, and the fraction of the limit would be lost.
_WINDOW_MS = 4_000


class RateLimits:
    """This node's share of the rate limits that replicas report; no I/O.

    This prevents the following overload: a replica is overloaded and reports how many
    requests a second it accepts. Soon it is idle, so all nodes prefer it. Its limit is
    therefore divided among the nodes, and each node spaces its own requests evenly. The
    first request waits for a random part of the interval, because all nodes receive a
    limit at about the same time.

    A limit below one request in the window counts as one: a replica that gets no
    requests cannot report that its limit has ended.

    >>> limits = RateLimits("n1")
    >>> limits.set_nodes(["n1", "n2"])
    >>> limits.pause_ms(17, 2.0)
    1000.0
    """

    __slots__ = ("_random", "_shares")

    def __init__(self, node: str, *, seed: int | None = None) -> None:
        self._shares = NodeShares(node)
        self._random = random.Random(seed)

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Set the names of all nodes; see ``NodeShares.set_nodes``."""
        self._shares.set_nodes(nodes)

    def pause_ms(self, replica: int, per_second: float) -> float | None:
        """Return the time between two requests of this node, None if its share is zero.

        ``replica`` is an incarnation id, ``per_second`` the replica's limit.
        """
        amount = max(1, int(per_second * _WINDOW_MS / 1_000))
        share = self._shares.share(replica, amount)
        return _WINDOW_MS / share if share else None

    def wait_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return how long this node must not send to a replica; 0 if it may now."""
        limit = state.backpressure.limit
        if limit.per_second is None:
            return 0.0
        pause_ms = self.pause_ms(state.incarnation_id, limit.per_second)
        if pause_ms is None:
            return _WINDOW_MS
        if limit.first_ms is None:
            limit.first_ms = now_ms + pause_ms * self._random.random()
        due_ms = limit.first_ms
        if limit.granted_ms is not None:
            due_ms = max(due_ms, limit.granted_ms + pause_ms)
        return max(0.0, due_ms - now_ms)

    def on_granted(self, now_ms: int, state: ReplicaState) -> None:
        """Count a request that is about to be sent."""
        state.backpressure.limit.granted_ms = now_ms
