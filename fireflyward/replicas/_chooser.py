"""Choice of a replica for one request, by estimated cost."""

import random
from collections.abc import Sequence

from fireflyward.rendezvous import rendezvous_rank

from ._brittle import BrittleLimits
from ._choice import Choice
from ._cold import ColdShares
from ._cost_terms import CandidateFilter, CostTerm
from ._directory import ReplicaDirectory
from ._in_flight_load import PeerLoad
from ._kv_room import KvRoom
from ._rate_limits import RateLimits
from ._request_totals import last_requests_at, requests_at
from ._requirements import LoadEstimate, Requirements
from ._state import FIRST_EVENT_MS, ReplicaState

# Each cost below is how many milliseconds of extra waiting the chooser accepts in order
# to avoid a replica with that property.
# Another failure domain: the round trip between domains, and the price of the bytes.
_REMOTE_MS = 2.0
# All slots in use: a further request then waits about as long as a short request runs.
_FULL_LOAD_MS = 120.0
# Prompt tokens per millisecond that a replica prefills while it also decodes for
# running requests; engines of this size prefill 92 to 112 when they do nothing else.
_PREFILL_TOKENS_PER_MS = 90.0
# The last sends to the replica failed.
_SUSPECT_MS = 5_000.0
# The replica just rejected a request because it was full.
_RECENTLY_FULL_MS = 400.0
# The replica's KV memory has no room, so admission rejects the request: as good as a
# replica that just rejected one.
_NO_ROOM_MS = 400.0
# A replica that loads weights accepts no request for several seconds.
_LOADING_MS = 4_000.0
# Per unit of the share of failed answers above the median of the service's replicas.
_FAILING_MS = 600.0
# From shortly after newer weights are announced, answers by older ones count a fifth
# less.
_OLD_WEIGHTS_MS = 150.0
# Random part of each cost, so that nodes with the same data choose different replicas.
_JITTER_MS = 3.0
# With at most this many replicas a node compares all of them. With more it draws a
# sample of each version: two replicas for balance, and a third because replicas differ.
_MAX_WITHOUT_SAMPLING = 8
_SAMPLE_SIZE = 3
# Part of the prefix's prefill time that is added for a replica other than the preferred
# one, where the other nodes expect the prefix.
_NOT_PREFERRED_SHARE = 0.9
# A cold replica may be slower, and if it crashes its requests fail.
_COLD_MS = 50.0
# Rejected callers get a retry time that is longer by a random part, up to this share,
# so that they do not all return at once.
_WAIT_SPREAD = 0.3
# Fetching a prefix from the preferred replica's memory takes a few ms on fast links.
_NOT_PREFERRED_MS = 8.0


class Chooser:
    """Compares the replicas of a service and chooses one for each request; no I/O.

    Requests whose prompts share a prefix have the same preferred replica. Every node
    computes it from the prefix's key alone (rendezvous hashing), so the prefix is
    prefilled once and not on every replica. When the preferred replica is much busier
    than another one, the other one serves the request and fetches the prefix from it.
    """

    __slots__ = (
        "_brittle_limits",
        "_candidate_filter",
        "_cold_shares",
        "_cost_terms",
        "_directory",
        "_failure_domain",
        "_kv_room",
        "_peers",
        "_random",
        "_rate_limits",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        *,
        failure_domain: str,
        peers: PeerLoad | None = None,
        cold_shares: ColdShares | None = None,
        rate_limits: RateLimits | None = None,
        brittle_limits: BrittleLimits | None = None,
        cost_terms: Sequence[CostTerm] = (),
        candidate_filter: CandidateFilter | None = None,
        kv_room: KvRoom | None = None,
        seed: int | None = None,
    ) -> None:
        self._cost_terms = tuple(cost_terms)
        self._candidate_filter = candidate_filter
        self._kv_room = kv_room or KvRoom()
        self._cold_shares = cold_shares or ColdShares("")
        self._rate_limits = rate_limits or RateLimits("")
        self._brittle_limits = brittle_limits or BrittleLimits("")
        self._peers = peers or PeerLoad()
        self._directory = directory
        self._failure_domain = failure_domain
        self._random = random.Random(seed)

    def choose(
        self,
        now_ms: int,
        requirements: Requirements,
        *,
        without: frozenset[int] = frozenset(),
    ) -> Choice | None:
        """Return the best replica, or None when none may serve the request.

        ``without`` holds the incarnation ids of replicas to leave out.
        """
        listed = [
            state
            for state in self._directory.of_service(requirements.service)
            if state.incarnation_id not in without and _fits(state, requirements)
        ]
        available = [state for state in listed if self._accepts_more(now_ms, state)]
        if not available:
            return None
        # A preferred replica that may not get more requests from this node now stays
        # the preferred one: its prefix is fetched from it. Otherwise another replica
        # would become the preferred one for a moment and prefill the prefix again.
        preferred = self._preferred_replica(now_ms, listed, requirements)
        median_failed_share = sorted(state.failed_share for state in available)[
            len(available) // 2
        ]
        candidates = self._sample(now_ms, available, requirements, preferred)
        loads = [self._load(now_ms, state, requirements) for state in candidates]
        costs = [
            self._cost_ms(
                now_ms, state, load, requirements, preferred, median_failed_share
            )
            for state, load in zip(candidates, loads, strict=True)
        ]
        best = min(range(len(candidates)), key=costs.__getitem__)
        self._count_send(now_ms, candidates[best])
        self._kv_room.on_choice(now_ms, candidates[best], requirements)
        self._kv_room.count(candidates[best], loads[best], loads)
        slots = sum(state.entry.slots for state in available)
        return self._choice(
            now_ms, candidates[best], loads[best], requirements, preferred, slots
        )

    def _sample(
        self,
        now_ms: int,
        available: list[ReplicaState],
        requirements: Requirements,
        preferred: ReplicaState | None,
    ) -> list[ReplicaState]:
        """Return the replicas to compare: all if they are few, otherwise a sample.

        All nodes receive load reports at the same moment. If each compared all
        replicas, all of them would send every request to the least loaded one until
        the next report, by which time it would have ten times the requests of the
        others. The best of a small random sample is never far from the best replica,
        and sampling spreads the requests that no report contains yet.
        """
        if self._candidate_filter is not None:
            filtered = self._candidate_filter.filter(now_ms, available, requirements)
            if filtered and preferred in available and preferred not in filtered:
                filtered = [*filtered, preferred]
            available = filtered or available
        if len(available) <= _MAX_WITHOUT_SAMPLING:
            return available
        # Replicas with a low limit are sampled separately. This list holds only the
        # few that may get a request from this node now; sampled together with the
        # others they would stay idle while the others are full.
        limited = [state for state in available if _is_limited(now_ms, state)]
        healthy = [
            state
            for state in available
            if not _is_limited(now_ms, state)
            and not self._is_last_resort(now_ms, state)
        ]
        newest = [
            state
            for state in healthy
            if state.version_by_model.get(requirements.model) == requirements.version
        ]
        older = [
            state
            for state in healthy
            if state.version_by_model.get(requirements.model) != requirements.version
        ]
        sampled = [
            *self._random.sample(newest, min(_SAMPLE_SIZE, len(newest))),
            *self._random.sample(older, min(_SAMPLE_SIZE, len(older))),
            *self._random.sample(limited, min(_SAMPLE_SIZE, len(limited))),
        ]
        if preferred in available and preferred not in sampled:
            sampled.append(preferred)
        return sampled or available

    def _is_last_resort(self, now_ms: int, state: ReplicaState) -> bool:
        """Return whether a replica is used only if there is no other."""
        if state.is_loading(now_ms) or state.is_full(now_ms):
            return True
        return self._directory.is_suspect(now_ms, state)

    def has_older_weights(self, service: str, model: str, version: int) -> bool:
        """Return whether a replica of a service has weights older than a version."""
        return any(
            state.version_by_model.get(model, version) < version
            for state in self._directory.of_service(service)
        )

    def wait_ms(self, now_ms: int, service: str) -> float:
        """Return when a replica of a service accepts a request again, 0 if unknown.

        The value is for callers that were rejected, and differs at random between them.
        """
        waits_ms = [
            self._wait_ms(now_ms, state) or self._brittle_wait_ms(now_ms, state)
            for state in self._directory.of_service(service)
        ]
        return min(waits_ms, default=0.0) * (1 + _WAIT_SPREAD * self._random.random())

    def _accepts_more(self, now_ms: int, state: ReplicaState) -> bool:
        """Return whether this node may send one more request to a replica."""
        if self._wait_ms(now_ms, state):
            return False
        if self._brittle_wait_ms(now_ms, state):
            return False
        per_second = self._directory.cold_per_second(state)
        if not per_second or not state.is_cold(now_ms):
            return True
        return self._cold_shares.may_send(now_ms, state, per_second)

    def _wait_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return how long this node must not send to a replica, at its request."""
        backoff_ms = state.backpressure.backoff_ms(now_ms)
        return max(backoff_ms, self._rate_limits.wait_ms(now_ms, state))

    def _brittle_wait_ms(self, now_ms: int, state: ReplicaState) -> float:
        if not state.is_brittle:
            return 0.0
        requests = last_requests_at(now_ms, state, self._peers)
        if self._brittle_limits.may_send(now_ms, state, requests):
            return 0.0
        return self._brittle_limits.wait_ms(state)

    def _count_send(self, now_ms: int, chosen: ReplicaState) -> None:
        """Count a request against the limits of the replica that it is sent to."""
        self._rate_limits.on_granted(now_ms, chosen)
        if chosen.is_brittle:
            self._brittle_limits.on_granted(now_ms, chosen)
        if self._directory.cold_per_second(chosen) and chosen.is_cold(now_ms):
            self._cold_shares.on_granted(now_ms, chosen)

    def queue_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return how long a replica takes to prefill all prompts sent to it."""
        other_nodes = self._peers.at(now_ms, state.incarnation_id)
        unprefilled = state.unprefilled_tokens + other_nodes.unprefilled
        usual_ms = _prefill_ms(state, unprefilled)
        return state.speed.work_factor(now_ms, usual_ms) * usual_ms

    def _choice(
        self,
        now_ms: int,
        chosen: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
        preferred: ReplicaState | None,
        slots: int,
    ) -> Choice:
        weights = chosen.version_by_model.get(requirements.model)
        source = None
        if preferred is not None and preferred is not chosen:
            is_suspect = self._directory.is_suspect(now_ms, preferred)
            has_weights = preferred.version_by_model.get(requirements.model) == weights
            if has_weights and not is_suspect:
                source = preferred.entry.address
        wait_ms = load.wait_ms
        if chosen.is_loading(now_ms):
            wait_ms += load.work_factor * _LOADING_MS
        first_token_ms = wait_ms + load.work_factor * load.own_ms
        confirmation = self._directory.confirmation
        return Choice(
            chosen,
            weights,
            source,
            wait_ms,
            first_token_ms,
            load.slot_ms,
            slots,
            load.work_factor,
            chosen.speed.reading(now_ms),
            memory_ms=load.memory_ms,
            has_room=not load.memory_ms or not self._kv_room.is_in_effect(chosen),
            list_age_ms=confirmation.age_ms(now_ms),
            list_source=confirmation.source,
        )

    def _load(
        self, now_ms: int, state: ReplicaState, requirements: Requirements
    ) -> LoadEstimate:
        """Return the load of a replica from all nodes."""
        other_nodes = self._peers.at(now_ms, state.incarnation_id)
        requests = requests_at(now_ms, state, self._peers)
        load = LoadEstimate(
            requests,
            _prefill_ms(state, state.unprefilled_tokens + other_nodes.unprefilled),
            self._kv_room.memory_ms(state, requirements, other_nodes),
            _slot_ms(state, requests),
            _prefill_ms(state, requirements.new_tokens),
            _prefill_ms(state, requirements.prefix_tokens),
        )
        work_ms = load.wait_ms + load.own_ms
        return load.at_factor(state.speed.work_factor(now_ms, work_ms))

    def _preferred_replica(
        self, now_ms: int, listed: list[ReplicaState], requirements: Requirements
    ) -> ReplicaState | None:
        if not requirements.prefix_key:
            return None
        healthy = [
            state
            for state in listed
            if not self._directory.is_suspect(now_ms, state)
            and not state.is_loading(now_ms)
        ]
        return max(
            healthy or listed,
            key=lambda state: rendezvous_rank(
                requirements.prefix_key, state.entry.incarnation
            ),
        )

    def _cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: LoadEstimate,
        requirements: Requirements,
        preferred: ReplicaState | None,
        median_failed_share: float,
    ) -> float:
        cost_ms = _FULL_LOAD_MS * load.requests / max(1, state.entry.slots)
        cost_ms += load.wait_ms
        cost_ms += (load.work_factor - 1.0) * (load.new_ms + FIRST_EVENT_MS)
        if load.memory_ms and self._kv_room.is_in_effect(state):
            cost_ms += _NO_ROOM_MS
            cost_ms += _prefill_ms(state, self._kv_room.usual_tokens(state))
        cost_ms += _JITTER_MS * self._random.random()
        if preferred is not None and state is not preferred:
            cost_ms += (
                _NOT_PREFERRED_SHARE
                * load.work_factor
                * requirements.prefix_tokens
                / _PREFILL_TOKENS_PER_MS
            )
            cost_ms += _NOT_PREFERRED_MS
        if state.entry.failure_domain != self._failure_domain:
            cost_ms += _REMOTE_MS
        if self._directory.is_suspect(now_ms, state):
            cost_ms += _SUSPECT_MS
        if state.is_full(now_ms):
            cost_ms += _RECENTLY_FULL_MS
        if state.is_loading(now_ms):
            cost_ms += _LOADING_MS
        cost_ms += _FAILING_MS * max(0.0, state.failed_share - median_failed_share)
        if state.is_cold(now_ms):
            cost_ms += _COLD_MS
        version = state.version_by_model.get(requirements.model)
        if requirements.version is not None and version != requirements.version:
            cost_ms += _OLD_WEIGHTS_MS
        return cost_ms + sum(
            term.cost_ms(now_ms, state, load, requirements) for term in self._cost_terms
        )


def _is_limited(now_ms: int, state: ReplicaState) -> bool:
    """Return whether a replica accepts only few requests, even when it is idle."""
    return state.is_cold(now_ms) or state.backpressure.limit.per_second is not None


def _prefill_ms(state: ReplicaState, tokens: float) -> float:
    """Return how long a replica takes to prefill this many prompt tokens."""
    return state.slowdown * tokens / _PREFILL_TOKENS_PER_MS


def _slot_ms(state: ReplicaState, requests: float) -> float:
    """Return how long one more request waits for a slot."""
    slots = max(1, state.entry.slots)
    return max(0.0, requests + 1 - slots) * state.mean_run_ms / slots


def _fits(state: ReplicaState, requirements: Requirements) -> bool:
    """Return whether a replica's software and weights may serve the request."""
    software = requirements.software
    if software is not None and state.entry.software not in software:
        return False
    if not requirements.model:
        return True
    version = state.version_by_model.get(requirements.model)
    if version is None:
        return False
    return version >= requirements.least_version
