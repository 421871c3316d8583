"""Decides by which path a node connects to each replica."""

import enum
from collections.abc import Callable

from fireflyward.replicas import ReplicaDirectory, ReplicaState

# After a replica could not be reached through other nodes either, the replica is
# probably down, and other nodes are not asked again for this time.
_RELAY_PAUSE_MS = 1_000


class Path(enum.Enum):
    """How a node connects to a replica; with ``NONE`` it cannot."""

    DIRECT = "direct"
    RELAYED = "relayed"
    NONE = "none"


class ReplicaPaths:
    """The replicas that this node reaches only through other nodes; no I/O.

    A connection that fails does not show whether the replica is down or this node's
    link to it is cut. If another node can connect to the replica, it is the link. Then
    new connections to the replica lead through other nodes until a direct one works
    again. For whole failure domains ``ReachTask`` finds out the same with few probes.

    >>> paths = ReplicaPaths(ReplicaDirectory())
    >>> paths.is_any_cut
    False
    """

    __slots__ = ("_directory", "_no_relay_until_ms_by_id", "_relayed_ids")

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._relayed_ids: dict[int, None] = {}
        self._no_relay_until_ms_by_id: dict[int, int] = {}

    @property
    def is_any_cut(self) -> bool:
        """Return whether this node cannot connect to some replica directly."""
        directory = self._directory
        return bool(self._relayed_ids or directory.relayed or directory.unreachable)

    @property
    def has_relayed_replicas(self) -> bool:
        """Return whether single replicas are reached through other nodes."""
        return bool(self._relayed_ids)

    def path_to(self, replica: ReplicaState) -> Path:
        """Return the path that the next connection to a replica takes."""
        if not self.is_any_cut:
            return Path.DIRECT
        domain = replica.entry.failure_domain
        if domain in self._directory.relayed:
            return Path.RELAYED
        if self.is_relayed(replica):
            return Path.RELAYED
        if domain in self._directory.without_path:
            return Path.NONE
        return Path.DIRECT

    def is_relayed(self, replica: ReplicaState) -> bool:
        """Return whether a single replica is reached only through other nodes."""
        return replica.incarnation_id in self._relayed_ids

    def may_relay(self, now_ms: int, replica: ReplicaState) -> bool:
        """Return whether other nodes may be asked after a direct connection failed."""
        until_ms = self._no_relay_until_ms_by_id.get(replica.incarnation_id, 0)
        return now_ms >= until_ms

    def on_relayed(self, replica: ReplicaState) -> bool:
        """Record that another node reaches a replica; return whether that is new."""
        self._no_relay_until_ms_by_id.pop(replica.incarnation_id, None)
        if self.path_to(replica) is Path.RELAYED:
            return False
        self._relayed_ids[replica.incarnation_id] = None
        return True

    def on_relay_failure(self, now_ms: int, replica: ReplicaState) -> None:
        """Record that no other node could connect to a replica."""
        if len(self._no_relay_until_ms_by_id) > len(self._directory):
            self._no_relay_until_ms_by_id.clear()
        until_ms = now_ms + _RELAY_PAUSE_MS
        self._no_relay_until_ms_by_id[replica.incarnation_id] = until_ms

    def on_direct(self, replica: ReplicaState) -> None:
        """Record that a direct connection to a replica works."""
        self._relayed_ids.pop(replica.incarnation_id, None)

    def relayed(self) -> list[ReplicaState]:
        """Return the single replicas to probe, those probed longest ago first.

        Replicas of domains that ``ReachTask`` probes are not among them.
        """
        found = []
        for incarnation_id in list(self._relayed_ids):
            state = self._directory.find_incarnation(incarnation_id)
            if state is None:
                del self._relayed_ids[incarnation_id]
            elif state.entry.failure_domain not in self._directory.relayed:
                found.append(state)
        return found

    def on_probed(self, replica: ReplicaState) -> None:
        """Record that a direct probe of a replica failed."""
        if replica.incarnation_id in self._relayed_ids:
            del self._relayed_ids[replica.incarnation_id]
            self._relayed_ids[replica.incarnation_id] = None

    def direct_share(self) -> float:
        """Return the share of the listed replicas that this node reaches directly."""
        if not self.is_any_cut:
            return 1.0
        unreachable = self._directory.unreachable
        return 1.0 - self._share(
            lambda state: (
                state.entry.failure_domain in unreachable
                or self._has_relayed_path(state)
            )
        )

    def relayed_share(self) -> float:
        """Return the share of the replicas that only other nodes reach."""
        return self._share(self._has_relayed_path) if self.is_any_cut else 0.0

    def _has_relayed_path(self, state: ReplicaState) -> bool:
        is_relayed_domain = state.entry.failure_domain in self._directory.relayed
        return is_relayed_domain or self.is_relayed(state)

    def _share(self, condition: Callable[[ReplicaState], bool]) -> float:
        states = self._directory.all()
        return sum(map(condition, states)) / max(1, len(states))
