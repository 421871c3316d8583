"""The times of recent events."""

from collections import deque

_MAX_TIMES = 1_000


class RecentTimes:
    """Counts the events since a time; the oldest are dropped beyond a fixed number.

    >>> times = RecentTimes()
    >>> times.add(10), times.add(20)
    (None, None)
    >>> times.since(10)
    1
    """

    __slots__ = ("_times_ms",)

    def __init__(self) -> None:
        self._times_ms: deque[int] = deque(maxlen=_MAX_TIMES)

    def add(self, now_ms: int) -> None:
        """Record an event."""
        self._times_ms.append(now_ms)

    def since(self, since_ms: int) -> int:
        """Return how many events came after a time; older ones are forgotten."""
        while self._times_ms and self._times_ms[0] <= since_ms:
            self._times_ms.popleft()
        return len(self._times_ms)
