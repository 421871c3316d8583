"""The crashes of replicas, with the parts of prompts that were in flight there."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# A part that crashes a replica less often than this is not told from chance.
_KEPT_MS = 300_000
_MAX_CRASHES = 256
# A replica has some hundred requests in flight, with two or three shared parts each.
_MAX_PARTS_PER_CRASH = 1_000


@dataclass(slots=True)
class Crash:
    """The crash of an incarnation: how many requests in flight had each part."""

    at_ms: int
    incarnation_id: int
    requests_by_part: Counter[int] = field(default_factory=Counter)


class CrashLog:
    """The latest crashes, from the cut requests of all nodes; no I/O.

    The oldest crash is forgotten first.

    >>> crashes = CrashLog()
    >>> crashes.add(0, 7, {1: 2}), crashes.add(1, 7, {1: 1, 5: 1})
    (True, False)
    >>> [crash.requests_by_part for crash in crashes.recent(1)]
    [Counter({1: 3, 5: 1})]
    """

    __slots__ = ("_by_incarnation_id",)

    def __init__(self) -> None:
        self._by_incarnation_id: dict[int, Crash] = {}

    def add(
        self, now_ms: int, incarnation_id: int, requests_by_part: Mapping[int, int]
    ) -> bool:
        """Record parts of one node at a crash; return whether the crash is new."""
        crash = self._by_incarnation_id.get(incarnation_id)
        is_new = crash is None
        if crash is None:
            crash = self._by_incarnation_id[incarnation_id] = Crash(
                now_ms, incarnation_id
            )
            while len(self._by_incarnation_id) > _MAX_CRASHES:
                del self._by_incarnation_id[next(iter(self._by_incarnation_id))]
        for part, requests in requests_by_part.items():
            is_known = part in crash.requests_by_part
            if is_known or len(crash.requests_by_part) < _MAX_PARTS_PER_CRASH:
                crash.requests_by_part[part] += max(1, requests)
        return is_new

    def add_part(self, now_ms: int, incarnation_id: int, part: int) -> bool:
        """Record that a part was in flight at a crash; return whether that is new."""
        crash = self._by_incarnation_id.get(incarnation_id)
        if crash is not None and part in crash.requests_by_part:
            return False
        self.add(now_ms, incarnation_id, {part: 1})
        return True

    def recent(self, now_ms: int) -> list[Crash]:
        """Return the crashes that still count, the oldest first."""
        since_ms = now_ms - _KEPT_MS
        for incarnation_id, crash in list(self._by_incarnation_id.items()):
            if crash.at_ms >= since_ms:
                break
            del self._by_incarnation_id[incarnation_id]
        return list(self._by_incarnation_id.values())


def count_parts(requests: Iterable[Iterable[int]]) -> Counter[int]:
    """Return how many of the requests have each part.

    >>> count_parts([(1, 2), (1,)])
    Counter({1: 2, 2: 1})
    """
    return Counter(part for parts in requests for part in set(parts))
