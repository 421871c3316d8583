"""Chooses the replicas of a service that this node sends to."""

from collections.abc import Sequence

from fireflyward.replicas import (
    PeerLoad,
    ReplicaDirectory,
    ReplicaState,
    Requirements,
)

from ._connection_counts import ConnectionCounts
from ._ranking import rank_replicas
from ._size import subset_size

# How long members are used before they are chosen again; load reports arrive every 25
# to 80 ms.
_MEMBERS_MS = 50
# How long a size is used; the rate that it is computed from is updated as often.
_SIZE_MS = 1_000
# A replica that takes this many times as long as the median one counts as slow. Below
# that, others with a queue of one prompt would serve a request no sooner.
_SLOW_RATIO = 2.0
# A replica fails if its share of failed answers is this much above the median's. Each
# answer changes the share by 0.12, so it takes three failures in a row.
_FAILING_SHARE = 0.3
# A replica without a free slot counts as half a member. When all replicas are busy, a
# subset is twice as large; more connections would cost them more time.
_BUSY_MEMBER = 0.5
# The chooser draws three replicas with the newest weights.
_MIN_NEWEST = 3

_Weights = tuple[str, int | None, int]


class _ServiceSubset:
    """The ranking of one service's replicas, and the members chosen from it last."""

    __slots__ = (
        "listed",
        "median_failed_share",
        "median_slowdown",
        "members_by_weights",
        "ranking",
        "signature",
        "size",
        "sized_ms",
    )

    def __init__(self) -> None:
        self.listed: list[ReplicaState] = []
        self.signature: set[tuple[int, int, str]] = set()
        self.ranking: list[ReplicaState] = []
        self.members_by_weights: dict[_Weights, tuple[int, frozenset[int]]] = {}
        self.size = 0
        self.sized_ms: int | None = None
        self.median_slowdown = 1.0
        self.median_failed_share = 0.0

    @property
    def is_in_effect(self) -> bool:
        return self.size < len(self.ranking)


class SubsetFilter:
    """Limits a node to a subset of a large service's replicas; no I/O.

    It is a ``replicas.CandidateFilter``. The load condition that it addresses: many
    nodes send to many replicas, each too seldom to keep a connection open. Then most
    requests open one, which costs the replicas time and connections when they have the
    least to spare. A subset has as many replicas as the node can keep connections to at
    its measured rate, but never fewer than keep the load of the replicas even.

    A node alone has few requests, so replicas that can't serve well don't count towards
    the size: others are added for them while they are full, slow, suspect, loading or
    failing.
    """

    __slots__ = (
        "_counts",
        "_directory",
        "_failure_domain",
        "_node",
        "_nodes",
        "_peers",
        "_subset_by_service",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        counts: ConnectionCounts,
        *,
        node: str,
        failure_domain: str,
        peers: PeerLoad,
    ) -> None:
        self._directory = directory
        self._counts = counts
        self._node = node
        self._failure_domain = failure_domain
        self._peers = peers
        self._nodes = 0
        self._subset_by_service: dict[str, _ServiceSubset] = {}

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes; the smallest size of a subset depends on it."""
        self._nodes = nodes

    def is_in_effect(self, service: str) -> bool:
        """Return whether this node uses only some of a service's replicas."""
        subset = self._subset_by_service.get(service)
        return subset is not None and subset.is_in_effect

    def sizes(self) -> dict[str, int]:
        """Return how many replicas this node uses, by service, before it adds any."""
        return {name: subset.size for name, subset in self._subset_by_service.items()}

    def filter(
        self,
        now_ms: int,
        available: Sequence[ReplicaState],
        requirements: Requirements,
    ) -> list[ReplicaState]:
        """Return the available replicas of the subset, and those with a low limit."""
        subset = self._subset(now_ms, requirements.service)
        if not subset.is_in_effect:
            return list(available)
        key = requirements.model, requirements.version, requirements.least_version
        since_ms, members = subset.members_by_weights.get(key, (None, frozenset()))
        chosen: list[ReplicaState] = []
        if since_ms is not None and now_ms - since_ms < _MEMBERS_MS:
            chosen = self._matching(now_ms, available, members)
        if not chosen:
            members = self._members(now_ms, subset, available, requirements)
            subset.members_by_weights[key] = now_ms, members
            chosen = self._matching(now_ms, available, members)
        return chosen or list(available)

    def _matching(
        self, now_ms: int, available: Sequence[ReplicaState], members: frozenset[int]
    ) -> list[ReplicaState]:
        """Return the members, and replicas whose limit is divided among all nodes.

        What a node may send to a replica with a limit can't be sent by another node. If
        only the nodes with this member used it, most of its rate would be lost.
        """
        return [
            state
            for state in available
            if state.incarnation_id in members or self._is_limited(now_ms, state)
        ]

    def _is_limited(self, now_ms: int, state: ReplicaState) -> bool:
        if state.backpressure.limit.per_second is not None:
            return True
        return state.is_cold(now_ms) and bool(self._directory.cold_per_second(state))

    def _subset(self, now_ms: int, service: str) -> _ServiceSubset:
        subset = self._subset_by_service.get(service)
        if subset is None:
            subset = self._subset_by_service[service] = _ServiceSubset()
        listed = self._directory.of_service(service)
        if listed is not subset.listed:
            self._rank(subset, listed)
        if subset.sized_ms is None or now_ms - subset.sized_ms >= _SIZE_MS:
            self._resize(now_ms, subset, service)
        return subset

    def _rank(self, subset: _ServiceSubset, listed: list[ReplicaState]) -> None:
        """Rank the replicas again if they changed, not only their entries' details."""
        subset.listed = listed
        # By identity: an incarnation that is listed again has another state.
        signature = {
            (id(state), state.entry.slots, state.entry.failure_domain)
            for state in listed
        }
        if signature == subset.signature:
            return
        subset.signature = signature
        subset.sized_ms = None
        subset.ranking = rank_replicas(self._node, self._failure_domain, listed)
        subset.members_by_weights.clear()

    def _resize(self, now_ms: int, subset: _ServiceSubset, service: str) -> None:
        subset.sized_ms = now_ms
        self._counts.update(now_ms)
        rate = self._counts.per_second(service)
        replicas = len(subset.ranking)
        subset.size = replicas
        if rate is not None:
            subset.size = subset_size(rate, nodes=self._nodes, replicas=replicas)
        if subset.is_in_effect:
            middle = replicas // 2
            subset.median_slowdown = sorted(x.slowdown for x in subset.ranking)[middle]
            subset.median_failed_share = sorted(x.failed_share for x in subset.ranking)[
                middle
            ]
        # Requests name a new version after each rollout.
        subset.members_by_weights.clear()

    def _members(
        self,
        now_ms: int,
        subset: _ServiceSubset,
        available: Sequence[ReplicaState],
        requirements: Requirements,
    ) -> frozenset[int]:
        """Return the ids of the first replicas with enough usable ones among them."""
        available_ids = {state.incarnation_id for state in available}
        members: set[int] = set()
        usable, newest = 0.0, 0
        for state in subset.ranking:
            if state.incarnation_id not in available_ids:
                continue
            is_newest = _is_newest(state, requirements)
            if usable >= subset.size and not (is_newest and newest < _MIN_NEWEST):
                if newest >= _MIN_NEWEST:
                    break
                continue
            members.add(state.incarnation_id)
            newest += is_newest
            usable += self._usable(now_ms, subset, state)
        return frozenset(members)

    def _usable(
        self, now_ms: int, subset: _ServiceSubset, state: ReplicaState
    ) -> float:
        """Return how much a replica counts towards the size of the subset."""
        if state.is_full(now_ms) or state.is_loading(now_ms):
            return 0.0
        if self._directory.is_suspect(now_ms, state) or self._is_limited(now_ms, state):
            return 0.0
        if state.slowdown >= _SLOW_RATIO * subset.median_slowdown:
            return 0.0
        if state.failed_share >= subset.median_failed_share + _FAILING_SHARE:
            return 0.0
        other_nodes = self._peers.at(now_ms, state.incarnation_id).requests
        requests = max(other_nodes, state.other_requests(now_ms)) + state.in_flight
        return 1.0 if requests < max(1, state.entry.slots) else _BUSY_MEMBER


def _is_newest(state: ReplicaState, requirements: Requirements) -> bool:
    if requirements.version is None:
        return True
    return state.version_by_model.get(requirements.model) == requirements.version
