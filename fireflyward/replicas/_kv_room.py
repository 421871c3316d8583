"""Whether a request fits into a replica's KV memory, and how long it waits if not."""

from collections.abc import Sequence

from ._in_flight_load import InFlightLoad
from ._prefix_shares import PrefixShares, expected_part
from ._requirements import LoadEstimate, Requirements
from ._state import ReplicaState

# Share of a replica's KV memory that requests may use before others wait for memory,
# and how long a request uses its part.
_MEMORY_SHARE = 0.85
_RUN_MS = 1_500.0
# A request of at most this share may use a larger share of the memory. Small
# requests, which are often the more urgent ones, then aren't rejected because long
# prompts hold the memory.
_SMALL_SHARE = 0.05
_MEMORY_SHARE_OF_SMALL = 0.95
# A request of more than this share may use all of the memory. Otherwise one of more
# than _MEMORY_SHARE would have room only at an empty replica, and a busy service has
# none.
_LARGE_SHARE = 0.5
# A replica admits by slots. Where memory holds a smaller share of the requests that
# the slots allow, a replica admits by memory in any case: few runs are preempted there,
# and rejections by an estimate cost callers more.
_MIN_SHARE_OF_SLOTS = 0.5
# Weight of one request in the moving averages of sizes, and how many requests are seen
# before they are used.
_SIZE_WEIGHT = 0.02
_MIN_REQUESTS = 20


class _Sizes:
    """The KV memory of a service's replicas, and the sizes of the requests to it."""

    __slots__ = ("kv_tokens", "mean", "mean_square", "requests")

    def __init__(self) -> None:
        self.kv_tokens = 0
        self.requests = 0
        self.mean = 0.0
        self.mean_square = 0.0

    def on_request(self, requirements: Requirements) -> None:
        self.kv_tokens = requirements.kv_tokens
        self.requests += 1
        weight = max(_SIZE_WEIGHT, 1 / self.requests)
        # A caller may ask for more output than fits. A run never occupies more than the
        # memory, and one such request would otherwise dominate the average.
        tokens = min(requirements.tokens, requirements.kv_tokens)
        self.mean += weight * (tokens - self.mean)
        self.mean_square += weight * (tokens * tokens - self.mean_square)

    @property
    def usual(self) -> float:
        """Return the size of the request to which a token in memory belongs on average.

        The plain mean of many small requests and some large ones would fit often,
        although the large ones that fill the memory don't.
        """
        return self.mean_square / self.mean if self.mean else 0.0


class KvRoom:
    """Estimates the KV memory that is in use at each replica; no I/O.

    The load condition that it addresses: long prompts fill the memory of replicas that
    still have free slots, and a replica preempts running streams for each further one.

    A shared prefix is in memory once, however many runs share it. Nodes exchange sums
    and don't know each other's prefixes, so each counts the expected part of a prefix
    for each of its runs; see ``expected_part`` and docs/design/kv-room.md. It is in
    effect only where memory holds fewer requests of the usual size than a replica has
    slots, but not much fewer. Elsewhere each run counts its whole prompt.
    """

    __slots__ = ("_shares", "_sizes_by_service", "moved", "without_room")

    def __init__(self) -> None:
        self._shares = PrefixShares()
        self._sizes_by_service: dict[str, _Sizes] = {}
        # Prompts that went to a replica with room where another one that was compared
        # had none, and prompts that were to go where they have to wait for room.
        self.moved = 0
        self.without_room = 0

    def is_in_effect(self, state: ReplicaState) -> bool:
        """Return whether memory is somewhat scarcer than slots at a replica."""
        sizes = self._sizes_by_service.get(state.entry.service)
        if sizes is None or sizes.requests < _MIN_REQUESTS or not sizes.kv_tokens:
            return False
        requests = sizes.kv_tokens / max(1.0, sizes.usual)
        slots = state.entry.slots
        return _MIN_SHARE_OF_SLOTS * slots <= requests < slots

    def on_choice(
        self, now_ms: int, state: ReplicaState, requirements: Requirements
    ) -> None:
        """Record the size of a request, and which prefix goes to which replica."""
        if not requirements.kv_tokens:
            return
        service = requirements.service
        self._sizes_by_service.setdefault(service, _Sizes()).on_request(requirements)
        prefix = requirements.shared_prefix
        self._shares.on_send(
            now_ms, service, state.incarnation_id, prefix.key if prefix else ""
        )

    def count(
        self,
        state: ReplicaState,
        chosen: LoadEstimate,
        compared: Sequence[LoadEstimate],
    ) -> None:
        """Count a choice for which a replica had no room, or none had."""
        if not self.is_in_effect(state):
            return
        if chosen.memory_ms:
            self.without_room += 1
        elif any(load.memory_ms for load in compared):
            self.moved += 1

    def own_tokens(self, state: ReplicaState, other_requests: int) -> float:
        """Return the tokens of this node's runs at a replica, with prefixes once.

        ``other_requests`` is the number of the other nodes' requests there.
        """
        if not state.shared_runs or not self.is_in_effect(state):
            return state.resident_tokens
        tokens = float(state.resident_tokens)
        own_runs = state.in_flight + state.waiting_late
        for prefix, own in state.shared_runs.items():
            share = self._shares.share(
                state.entry.service,
                state.incarnation_id,
                prefix.key,
                own=own,
                own_runs=own_runs,
            )
            part = expected_part(share, own, max(0, other_requests))
            tokens -= prefix.tokens * (own - part)
        return tokens

    def memory_ms(
        self, state: ReplicaState, requirements: Requirements, others: InFlightLoad
    ) -> float:
        """Return how long a request waits at a replica until it fits.

        When its memory is full a replica preempts running requests and prefills them
        again later, which delays all of them.
        """
        resident = self.own_tokens(state, others.requests) + others.resident
        if not requirements.kv_tokens or not resident:
            return 0.0
        kv_tokens = requirements.kv_tokens
        if not self.is_in_effect(state):
            excess = resident + requirements.tokens - _MEMORY_SHARE * kv_tokens
            return _RUN_MS * max(0.0, excess) / resident
        needed = self._new_tokens(state, requirements, others)
        share = _memory_share(requirements.tokens / kv_tokens)
        excess = resident + needed - share * kv_tokens
        if excess <= 0:
            return 0.0
        # Memory becomes free when runs end. The next one ends after this part of the
        # time that a run takes, however little is missing.
        next_end = 1 / max(1.0, state.in_flight + state.waiting_late + others.requests)
        return state.mean_run_ms * max(next_end, excess / resident)

    def usual_tokens(self, state: ReplicaState) -> float:
        """Return the size of a run that would be preempted; 0 where not in effect."""
        if not self.is_in_effect(state):
            return 0.0
        return self._sizes_by_service[state.entry.service].usual

    def free_tokens(self, state: ReplicaState, others: InFlightLoad) -> int | None:
        """Return the unused KV memory of a replica; None where its size is unknown."""
        sizes = self._sizes_by_service.get(state.entry.service)
        if sizes is None or not sizes.kv_tokens:
            return None
        resident = self.own_tokens(state, others.requests) + others.resident
        return max(0, int(sizes.kv_tokens - resident))

    def _new_tokens(
        self, state: ReplicaState, requirements: Requirements, others: InFlightLoad
    ) -> float:
        """Return the memory that a request needs besides what is already there."""
        prefix = requirements.shared_prefix
        if prefix is None:
            return requirements.tokens
        if prefix in state.shared_runs:
            return requirements.tokens - prefix.tokens
        share = self._shares.share(
            state.entry.service, state.incarnation_id, prefix.key
        )
        absent = (1 - min(1.0, share)) ** max(0, others.requests)
        return requirements.tokens - prefix.tokens * (1 - absent)


def _memory_share(size: float) -> float:
    """Return the usable share of the memory for a request that needs this share."""
    if size <= _SMALL_SHARE:
        return _MEMORY_SHARE_OF_SMALL
    return _MEMORY_SHARE if size <= _LARGE_SHARE else 1.0
