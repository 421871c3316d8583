"""The replica chosen for one request, with the estimated times."""

from dataclasses import dataclass

from ._speed import NO_READING, SpeedReading
from ._state import ReplicaState


@dataclass(frozen=True, slots=True)
class Choice:
    """A replica, its assumed weights, and which replica may have the prefix in memory.

    ``queue_ms`` is how long this request waits at the replica, ``first_token_ms`` adds
    the prefill of its own prompt. ``slot_ms`` is the part of ``queue_ms`` that is spent
    waiting for a free slot, and ``memory_ms`` the part until KV memory is free.
    ``has_room`` is False if the request would make the replica preempt runs, where KV
    memory is scarcer than slots; see ``KvRoom``. ``slots`` is the sum over all replicas
    that may serve the request. The times contain ``work_factor``, which follows from
    ``speed``. ``list_age_ms`` is how old the list of replicas was, and ``list_source``
    who had confirmed it.
    """

    replica: ReplicaState
    weights: int | None
    kv_source: str | None = None
    queue_ms: float = 0.0
    first_token_ms: float = 0.0
    slot_ms: float = 0.0
    slots: int = 0
    work_factor: float = 1.0
    speed: SpeedReading = NO_READING
    memory_ms: float = 0.0
    has_room: bool = True
    list_age_ms: int = 0
    list_source: str = ""

    def on_first_token(self, now_ms: int, took_ms: float) -> None:
        """Compare a measured time with the estimate if the speed is the same as then.

        Otherwise a slow phase would count as the factor and as the slowdown too. Both
        are compared as times at the usual speed: the least estimate that is used, and
        the time to the first event besides the prefill, are known for that speed.
        """
        if self.speed.is_like(self.replica.speed.factor(now_ms)):
            self.replica.on_first_token(
                expected_ms=self.first_token_ms / self.work_factor,
                took_ms=took_ms / self.work_factor,
            )
