"""Decides which node is asked to relay a connection."""

import enum
import random
from collections.abc import Sequence

from fireflyward.aggregators import Member

# With this many known relays a node asks no untested ones, whose own links may be cut.
_ENOUGH_RELAYS = 3
_FAILED_MS = 500
_MAX_FAILED_MS = 1_000


class TunnelStatus(enum.IntEnum):
    """How a node answers the request to connect to a replica.

    ``REFUSED`` and ``SILENT`` tell of the replica, as seen from that node. With
    ``NO_PATH`` the node's own link to the replica is cut, with ``ISOLATED`` its links
    to all replicas. ``UNKNOWN`` means that the node does not list the replica, or lists
    it as leaving.
    """

    OPENED = 0
    REFUSED = 1
    SILENT = 2
    NO_PATH = 3
    BUSY = 4
    STOPPING = 5
    UNKNOWN = 6
    ISOLATED = 7
    # Not sent: the node did not answer.
    NO_ANSWER = 8


# How long a node is not asked again after an answer.
_PAUSE_MS = {
    TunnelStatus.ISOLATED: 1_000,
    TunnelStatus.BUSY: 200,
    TunnelStatus.STOPPING: 5_000,
}
# How long a node is not asked for the same replica again.
_NO_PATH_MS = 1_000
_MAX_NO_PATHS = 1_000


class _Relay:
    """What this node knows of another node as a relay."""

    __slots__ = ("failures", "is_known", "tunnels", "unfit_until_ms")

    def __init__(self) -> None:
        self.is_known = False
        self.tunnels = 0
        self.failures = 0
        self.unfit_until_ms = 0


class RelayChoice:
    """Chooses among the other nodes the one that relays the next connection; no I/O.

    Nodes of the own failure domain come first, since their bytes stay within it. Among
    the nodes that have relayed before, the one with fewer tunnels of this node out of
    two drawn at random is chosen, so that the nodes that still reach replicas share the
    work. Other nodes are tried only while few relays are known.

    >>> choice = RelayChoice("a", seed=1)
    >>> nodes = [Member("n2", "a", ("10.0.0.2", 77), 100)]
    >>> choice.choose(0, nodes, set(), replica=7).name
    'n2'
    >>> choice.on_status(0, "n2", TunnelStatus.NO_PATH, replica=7)
    >>> choice.choose(10, nodes, set(), replica=7) is None
    True
    """

    __slots__ = ("_by_name", "_failure_domain", "_no_path_until_ms", "_random")

    def __init__(self, failure_domain: str, *, seed: int | None = None) -> None:
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._by_name: dict[str, _Relay] = {}
        self._no_path_until_ms: dict[tuple[str, int], int] = {}

    def choose(
        self, now_ms: int, members: Sequence[Member], tried: set[str], *, replica: int
    ) -> Member | None:
        """Return the node to ask next, None if no node is worth asking now.

        ``replica`` is the incarnation id of the replica to connect to.
        """
        fit = [
            member
            for member in members
            if member.name not in tried and self._is_fit(now_ms, member.name, replica)
        ]
        own = [item for item in fit if item.failure_domain == self._failure_domain]
        candidates = own or fit
        if not candidates:
            return None
        known = [item for item in candidates if self._is_known(item.name)]
        untested = [item for item in candidates if not self._is_known(item.name)]
        if untested and len(known) < _ENOUGH_RELAYS:
            return self._random.choice(untested)
        drawn = self._random.sample(known, min(2, len(known)))
        return min(drawn, key=lambda item: self._by_name[item.name].tunnels)

    def on_status(
        self, now_ms: int, name: str, status: TunnelStatus, *, replica: int
    ) -> None:
        """Record a node's answer."""
        relay = self._by_name.setdefault(name, _Relay())
        if status is TunnelStatus.OPENED:
            relay.is_known = True
            relay.failures = 0
            relay.unfit_until_ms = 0
            relay.tunnels += 1
        elif status is TunnelStatus.NO_ANSWER:
            self._on_no_answer(now_ms, relay)
        elif status in (TunnelStatus.NO_PATH, TunnelStatus.SILENT):
            if len(self._no_path_until_ms) >= _MAX_NO_PATHS:
                self._no_path_until_ms.clear()
            self._no_path_until_ms[name, replica] = now_ms + _NO_PATH_MS
        elif status in _PAUSE_MS:
            relay.is_known = status is TunnelStatus.BUSY and relay.is_known
            relay.unfit_until_ms = now_ms + _PAUSE_MS[status]

    def on_lost(self, name: str) -> None:
        """Record that a tunnel through a node broke; the node may still work."""
        self._by_name[name].is_known = False

    def _on_no_answer(self, now_ms: int, relay: _Relay) -> None:
        if now_ms < relay.unfit_until_ms:
            # One fault ends many waiting calls at about the same time.
            return
        pause_ms = min(_FAILED_MS << min(relay.failures, 8), _MAX_FAILED_MS)
        relay.failures += 1
        relay.is_known = False
        relay.unfit_until_ms = now_ms + pause_ms

    def on_closed(self, name: str) -> None:
        """Record that a tunnel through a node has ended."""
        self._by_name[name].tunnels -= 1

    def forget_absent(self, names: set[str]) -> None:
        """Forget the nodes that are not listed any more and have no tunnels."""
        self._by_name = {
            name: relay
            for name, relay in self._by_name.items()
            if name in names or relay.tunnels
        }

    def _is_known(self, name: str) -> bool:
        relay = self._by_name.get(name)
        return relay is not None and relay.is_known

    def _is_fit(self, now_ms: int, name: str, replica: int) -> bool:
        relay = self._by_name.get(name)
        if relay is not None and now_ms < relay.unfit_until_ms:
            return False
        return now_ms >= self._no_path_until_ms.get((name, replica), 0)
