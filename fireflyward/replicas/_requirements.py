"""What a request requires of a replica, and how loaded a replica is."""

from dataclasses import dataclass, replace

from ._shared_prefix import SharedPrefix
from ._state import FIRST_EVENT_MS


@dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a replica.

    ``prefix_key`` identifies the part of the prompt that it shares with other requests,
    ``prefix_tokens`` is how many tokens of that part are in no store, and
    ``new_tokens`` is how many tokens any replica has to prefill. ``tokens`` is how many
    tokens the request occupies in KV memory when it finishes; a replica has room for
    ``kv_tokens``. ``shared_prefix`` is the part of ``tokens`` that a replica holds only
    once, however many of its runs share it. ``version`` is the newest version of the
    weights and ``least_version`` the oldest one that may serve the request.
    ``pause_ms`` is the route's target for the longest pause between two events of a
    stream, 0 if the route has none. ``software`` has the only software versions that
    may serve the request, None if any may.
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
    pause_ms: int = 0
    shared_prefix: SharedPrefix | None = None
    software: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Load of one replica from all nodes, and how long the next request waits for it.

    ``queue_ms`` is the prefill time of the prompts before it, ``memory_ms`` the time
    until enough KV memory is free, and ``slot_ms`` the time until a slot is free. These
    times contain ``work_factor``, how many times as long as usual the work takes at the
    replica's reported speed. ``new_ms`` and ``prefix_ms`` are the times to prefill the
    request's new tokens and its prefix at the usual speed.
    """

    requests: float
    queue_ms: float
    memory_ms: float
    slot_ms: float
    new_ms: float = 0.0
    prefix_ms: float = 0.0
    work_factor: float = 1.0

    @property
    def wait_ms(self) -> float:
        return self.queue_ms + self.memory_ms + self.slot_ms

    @property
    def own_ms(self) -> float:
        """Return the usual time from the end of the wait to the first event."""
        return self.new_ms + self.prefix_ms + FIRST_EVENT_MS

    def at_factor(self, factor: float) -> "LoadEstimate":
        """Return the load of a replica on which work takes longer than usual."""
        if factor == 1.0:
            return self
        return replace(
            self,
            queue_ms=factor * self.queue_ms,
            memory_ms=factor * self.memory_ms,
            slot_ms=factor * self.slot_ms,
            work_factor=factor,
        )
