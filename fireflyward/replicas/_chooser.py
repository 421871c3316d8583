"""The choice of a replica for one request."""

import random
from dataclasses import dataclass, replace

from fireflyward.rendezvous import rendezvous_rank

from ._cold import ColdShares
from ._directory import ReplicaDirectory
from ._rate_limits import RateLimits
from ._state import FIRST_EVENT_MS, ReplicaState
from ._under_way import PeerLoad

# The costs below are in milliseconds of waiting that the caller would rather have.
# A replica in another failure domain: the way there and back, and priced bytes.
_REMOTE_MS = 2.0
# One slot's worth of requests: with all slots taken a new one waits about as long
# as a short request takes.
_FULL_LOAD_MS = 120.0
# Prompt tokens that a replica reads in a ms between the tokens of running requests;
# engines of this size read 92 to 112 alone.
_TOKENS_PER_MS = 90.0
# A replica whose last sends failed, or that just refused one, is a last resort.
_SUSPECT_MS = 5_000.0
_RECENTLY_FULL_MS = 400.0
# A replica that loads weights takes nothing for seconds.
_LOADING_MS = 4_000.0
# Failed answers above what all replicas of the service show.
_FAILING_MS = 600.0
# Old weights earn a fifth less from a moment after newer ones were named.
_OLD_WEIGHTS_MS = 150.0
# Nodes that see the same must not all choose the same replica.
_JITTER_MS = 3.0
# How much of a replica's memory requests may hold before others wait for it, and
# for how long a request holds its part.
_MEMORY_SHARE = 0.85
_RUN_MS = 1_500.0
# Up to so many replicas all are weighed; of more, so many of each version that a node
# draws: two for balance, the third for the differences between replicas.
_LOOK_AT_ALL = 8
_DRAWN = 3
# Preference for the place where the rest of the service expects the prompt.
_NOT_HOME_SHARE = 0.9
# A cold replica may be slower, and what fails there fails for its callers.
_COLD_MS = 50.0
# Callers that were turned away until replicas take more come back over this part of
# that time beside it, and not all at once.
_WAIT_SPREAD = 0.3
# Fetching what the home has in memory takes a few ms on fast links.
_NOT_HOME_MS = 8.0


@dataclass(frozen=True, slots=True)
class Requirements:
    """What a request asks of a replica.

    ``prefix_key`` names the part of the prompt that other requests share,
    ``prefix_tokens`` is how much of the prompt lies under it and in no store, and
    ``new_tokens`` is what any replica has to read. ``tokens`` is what the request
    holds in memory at its end, of the ``kv_tokens`` of a replica. ``version`` is the
    newest version of the weights and ``least_version`` the oldest that may serve.
    """

    service: str
    prefix_key: str = ""
    prefix_tokens: int = 0
    new_tokens: int = 0
    tokens: int = 0
    kv_tokens: int = 0
    model: str = ""
    version: int | None = None
    least_version: int = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """A replica, the weights it is taken to have, and who may hold the prefix.

    ``queue_ms`` is how long the prompts before this one take to read there, and
    ``first_token_ms`` adds the request's own. ``slot_ms`` of the queue is for a free
    slot; ``slots`` are those of all replicas that may take the request.
    """

    replica: ReplicaState
    weights: int | None
    kv_source: str | None = None
    queue_ms: float = 0.0
    first_token_ms: float = 0.0
    slot_ms: float = 0.0
    slots: int = 0


@dataclass(frozen=True, slots=True)
class _Load:
    """What all nodes have at one replica now, in ms until the next request runs.

    ``queue_ms`` is for the prompts before it, ``memory_ms`` until memory for it is
    free and ``slot_ms`` until one of the replica's slots is.
    """

    requests: float
    queue_ms: float
    memory_ms: float
    slot_ms: float

    @property
    def wait_ms(self) -> float:
        return self.queue_ms + self.memory_ms + self.slot_ms


class Chooser:
    """Weighs the replicas of a service; no I/O.

    Requests that share a prompt's prefix have one home, worked out alike by every
    node from the prefix's name, so that the prefix is read once and not on every
    replica. When the home is much busier than another replica the other takes the
    request and fetches the prefix from the home.
    """

    __slots__ = (
        "_cold_shares",
        "_directory",
        "_failure_domain",
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
        seed: int | None = None,
    ) -> None:
        self._cold_shares = cold_shares or ColdShares("")
        self._rate_limits = rate_limits or RateLimits("")
        self._peers = peers or PeerLoad()
        self._directory = directory
        self._failure_domain = failure_domain
        self._random = random.Random(seed)

    def choose(
        self,
        now_ms: int,
        wanted: Requirements,
        *,
        without: frozenset[int] = frozenset(),
    ) -> Choice | None:
        """Return the best replica, or None when none may take the request.

        ``without`` are numbers of starts of replicas.
        """
        listed = [
            state
            for state in self._directory.of_service(wanted.service)
            if state.incarnation_id not in without and _has_weights(state, wanted)
        ]
        able = [state for state in listed if self._bears_more(now_ms, state)]
        if not able:
            return None
        # A home that bears nothing more from here stays the home: what it has read
        # is fetched from it, and not read anew at one that is home for a moment.
        home = self._home(now_ms, listed, wanted)
        usual = sorted(state.failed_share for state in able)[len(able) // 2]
        looked_at = self._sample(now_ms, able, wanted, home)
        loads = [self._load(now_ms, state, wanted) for state in looked_at]
        costs = [
            self._cost_ms(now_ms, state, load, wanted, home, usual)
            for state, load in zip(looked_at, loads, strict=True)
        ]
        best = min(range(len(looked_at)), key=costs.__getitem__)
        self._count_send(now_ms, looked_at[best])
        slots = sum(state.entry.slots for state in able)
        choice = self._choice(now_ms, looked_at[best], loads[best], wanted, home)
        return replace(choice, slots=slots)

    def _sample(
        self,
        now_ms: int,
        able: list[ReplicaState],
        wanted: Requirements,
        home: ReplicaState | None,
    ) -> list[ReplicaState]:
        """Return the replicas that are weighed: all of a few, some of many.

        All nodes hear of loads at the same moment. If each looked at all replicas,
        all would send what comes until the next news to the one that looked best,
        and it would have ten times the requests of the others by then. The best of
        a few that each node draws for itself is never far from the best, and
        spreads what nobody has heard of yet.
        """
        if len(able) <= _LOOK_AT_ALL:
            return able
        # Of replicas that take few requests only those are here that this node may send
        # to, and few of all: drawn among the others they would be left idle while those
        # are full.
        scarce = [state for state in able if _takes_few(now_ms, state)]
        sound = [
            state
            for state in able
            if not _takes_few(now_ms, state) and not self._is_shunned(now_ms, state)
        ]
        newest = [
            state
            for state in sound
            if state.version_by_model.get(wanted.model) == wanted.version
        ]
        older = [state for state in sound if state not in newest]
        drawn = [
            *self._random.sample(newest, min(_DRAWN, len(newest))),
            *self._random.sample(older, min(_DRAWN, len(older))),
            *self._random.sample(scarce, min(_DRAWN, len(scarce))),
        ]
        if home in able and home not in drawn:
            drawn.append(home)
        return drawn or able

    def _is_shunned(self, now_ms: int, state: ReplicaState) -> bool:
        """Tell whether a replica is a last resort now."""
        if state.is_loading(now_ms) or state.is_full(now_ms):
            return True
        return self._directory.is_suspect(now_ms, state)

    def wait_ms(self, now_ms: int, service: str) -> float:
        """Return when some replica of a service takes a request again, 0 if unknown.

        It is for callers that were turned away, and differs between them.
        """
        waits_ms = [
            self._wait_ms(now_ms, state)
            for state in self._directory.of_service(service)
        ]
        return min(waits_ms, default=0.0) * (1 + _WAIT_SPREAD * self._random.random())

    def _bears_more(self, now_ms: int, state: ReplicaState) -> bool:
        """Tell whether this node may send one more request to a replica."""
        if self._wait_ms(now_ms, state):
            return False
        per_second = self._directory.cold_per_second(state)
        if not per_second or not state.is_cold(now_ms):
            return True
        return self._cold_shares.may_send(now_ms, state, per_second)

    def _wait_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return for how long a replica asked this node to send it nothing."""
        backoff_ms = state.backpressure.backoff_ms(now_ms)
        return max(backoff_ms, self._rate_limits.wait_ms(now_ms, state))

    def _count_send(self, now_ms: int, chosen: ReplicaState) -> None:
        """Count a request to a replica whose requests may be limited."""
        self._rate_limits.on_granted(now_ms, chosen)
        if self._directory.cold_per_second(chosen) and chosen.is_cold(now_ms):
            self._cold_shares.on_granted(now_ms, chosen)

    def queue_ms(self, now_ms: int, state: ReplicaState) -> float:
        """Return how long the prompts take that all nodes have sent there."""
        others = self._peers.at(now_ms, state.incarnation_id)
        return _reading_ms(state, state.unprefilled_tokens + others.unread)

    def _choice(
        self,
        now_ms: int,
        chosen: ReplicaState,
        load: _Load,
        wanted: Requirements,
        home: ReplicaState | None,
    ) -> Choice:
        weights = chosen.version_by_model.get(wanted.model)
        source = None
        if home is not None and home is not chosen:
            is_suspect = self._directory.is_suspect(now_ms, home)
            has_weights = home.version_by_model.get(wanted.model) == weights
            if has_weights and not is_suspect:
                source = home.entry.address
        wait_ms = load.wait_ms
        if chosen.is_loading(now_ms):
            wait_ms += _LOADING_MS
        own_ms = _reading_ms(chosen, wanted.new_tokens + wanted.prefix_tokens)
        first_token_ms = wait_ms + own_ms + FIRST_EVENT_MS
        return Choice(
            chosen, weights, source, wait_ms, first_token_ms, slot_ms=load.slot_ms
        )

    def _load(self, now_ms: int, state: ReplicaState, wanted: Requirements) -> _Load:
        """Return what is at a replica.

        Nodes tell of their requests and replicas count all in their responses;
        either may be behind, so the larger number counts.
        """
        others = self._peers.at(now_ms, state.incarnation_id)
        requests = state.in_flight + max(others.requests, state.others_at(now_ms))
        return _Load(
            requests,
            _reading_ms(state, state.unprefilled_tokens + others.unread),
            _memory_ms(state.resident_tokens + others.held, wanted),
            _slot_ms(state, requests),
        )

    def _home(
        self, now_ms: int, listed: list[ReplicaState], wanted: Requirements
    ) -> ReplicaState | None:
        if not wanted.prefix_key:
            return None
        sound = [
            state
            for state in listed
            if not self._directory.is_suspect(now_ms, state)
            and not state.is_loading(now_ms)
        ]
        return max(
            sound or listed,
            key=lambda state: rendezvous_rank(
                wanted.prefix_key, state.entry.incarnation
            ),
        )

    def _cost_ms(
        self,
        now_ms: int,
        state: ReplicaState,
        load: _Load,
        wanted: Requirements,
        home: ReplicaState | None,
        usual_failures: float,
    ) -> float:
        cost_ms = _FULL_LOAD_MS * load.requests / max(1, state.entry.slots)
        cost_ms += load.wait_ms
        cost_ms += _JITTER_MS * self._random.random()
        if home is not None and state is not home:
            cost_ms += _NOT_HOME_SHARE * wanted.prefix_tokens / _TOKENS_PER_MS
            cost_ms += _NOT_HOME_MS
        if state.entry.failure_domain != self._failure_domain:
            cost_ms += _REMOTE_MS
        if self._directory.is_suspect(now_ms, state):
            cost_ms += _SUSPECT_MS
        if state.is_full(now_ms):
            cost_ms += _RECENTLY_FULL_MS
        if state.is_loading(now_ms):
            cost_ms += _LOADING_MS
        cost_ms += _FAILING_MS * max(0.0, state.failed_share - usual_failures)
        if state.is_cold(now_ms):
            cost_ms += _COLD_MS
        known = state.version_by_model.get(wanted.model)
        if wanted.version is not None and known != wanted.version:
            cost_ms += _OLD_WEIGHTS_MS
        return cost_ms


def _takes_few(now_ms: int, state: ReplicaState) -> bool:
    """Tell whether a replica takes only few requests, whatever it has to do."""
    return state.is_cold(now_ms) or state.backpressure.limit.per_second is not None


def _reading_ms(state: ReplicaState, tokens: float) -> float:
    """Return how long a replica reads prompt tokens."""
    return state.pace * tokens / _TOKENS_PER_MS


def _memory_ms(held: float, wanted: Requirements) -> float:
    """Return how long a request waits until memory for it is free.

    With its memory full a replica puts running requests back and reads them
    again later, which makes all of them late.
    """
    if not wanted.kv_tokens or not held:
        return 0.0
    over = held + wanted.tokens - _MEMORY_SHARE * wanted.kv_tokens
    return _RUN_MS * max(0.0, over) / held


def _slot_ms(state: ReplicaState, requests: float) -> float:
    """Return how long one more request waits for a slot."""
    slots = max(1, state.entry.slots)
    return max(0.0, requests + 1 - slots) * state.run_ms / slots


def _has_weights(state: ReplicaState, wanted: Requirements) -> bool:
    if not wanted.model:
        return True
    known = state.version_by_model.get(wanted.model)
    if known is None:
        return False
    return known >= wanted.least_version
