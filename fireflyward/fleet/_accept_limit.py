"""Decides whether a node accepts one more connection of a caller."""

import math
from dataclasses import dataclass

from fireflyward.inbound import IDLE_CONNECTION_BYTES

# The event loop of a node that keeps up runs everything that is ready within a few ms.
_MAX_LAG_MS = 150.0
_LAG_WEIGHT = 0.2
# A lag that was measured longer ago than this says nothing about the present.
_LAG_AGE_MS = 500
# Only a node with this many times the requests of others leaves callers to them.
_MIN_RELATIVE_LOAD = 2.0
_MIN_MORE_REQUESTS = 20
# Of the descriptors, some are for files, and some for replicas and other nodes.
_FILE_DESCRIPTORS = 200
_CALLERS_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class NodeLoads:
    """Requests in flight at this node and, on average, at each other one."""

    own: float
    others: float


class AcceptLimit:
    """Refuses connections at a node that gets most new ones; no I/O.

    The balancer may hand most new connections to one node for some seconds. A node that
    accepts more than it can work on answers all of them late. A connection that is
    closed before anything was read costs its caller one more try, which reaches another
    node. If the others are as busy, that helps nobody, and all are accepted.

    >>> limit = AcceptLimit(max_descriptors=1_000)
    >>> limit.may_accept(0, open_connections=599), limit.may_accept(0, 600)
    (True, False)
    """

    __slots__ = ("_lag_ms", "_max_connections", "_measured_ms", "refused")

    def __init__(self, *, max_descriptors: int, memory_bytes: float = math.inf) -> None:
        """``memory_bytes`` is what idle connections may use."""
        usable = max(0, max_descriptors - _FILE_DESCRIPTORS)
        in_memory = memory_bytes / IDLE_CONNECTION_BYTES
        self._max_connections = int(min(_CALLERS_SHARE * usable, in_memory))
        self._lag_ms = 0.0
        self._measured_ms = 0
        self.refused = 0

    @property
    def max_connections(self) -> int:
        """Return for how many connections there is room."""
        return self._max_connections

    def on_lag(self, now_ms: int, lag_ms: float) -> None:
        """Record how long the event loop took until it ran what was ready."""
        if now_ms - self._measured_ms > _LAG_AGE_MS:
            self._lag_ms = 0.0
        self._lag_ms += _LAG_WEIGHT * (lag_ms - self._lag_ms)
        self._measured_ms = now_ms

    def is_lagging(self, now_ms: int) -> bool:
        """Return whether this node is behind with its work."""
        is_recent = now_ms - self._measured_ms <= _LAG_AGE_MS
        return is_recent and self._lag_ms >= _MAX_LAG_MS

    def may_accept(
        self, now_ms: int, open_connections: int, loads: NodeLoads | None = None
    ) -> bool:
        """Decide on a new connection; ``loads`` is needed if the node is lagging."""
        may_accept = open_connections < self._max_connections
        if may_accept and loads is not None and self.is_lagging(now_ms):
            least = _MIN_RELATIVE_LOAD * loads.others + _MIN_MORE_REQUESTS
            may_accept = loads.own < least
        self.refused += not may_accept
        return may_accept
