"""The chosen replica for one request, and what is expected of it."""

from dataclasses import dataclass

from ._state import ReplicaState


@dataclass(frozen=True, slots=True)
class Choice:
    """A replica, its assumed weights, and which replica may have the prefix in memory.

    ``queue_ms`` is how long this request waits at the replica, ``first_token_ms`` adds
    the prefill of its own prompt. ``slot_ms`` is the part of ``queue_ms`` that is spent
    waiting for a free slot, and ``memory_ms`` the part until KV memory is free.
    ``has_room`` is False if the request would make the replica preempt runs, where KV
    memory is scarcer than slots; see ``KvRoom``. ``slots`` is the sum over all replicas
    that may serve the request.
    """

    replica: ReplicaState
    weights: int | None
    kv_source: str | None = None
    queue_ms: float = 0.0
    first_token_ms: float = 0.0
    slot_ms: float = 0.0
    slots: int = 0
    memory_ms: float = 0.0
    has_room: bool = True
