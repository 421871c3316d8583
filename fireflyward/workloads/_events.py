"""A clock that advances from event to event."""

import heapq
import itertools
from collections.abc import Callable

from fireflyward.clock import Clock


class EventClock(Clock):
    """A clock that runs scheduled events without waiting for their times.

    Use it for code without asyncio tasks, and ``ManualClock`` for code with tasks.
    Events with the same time run in the order in which they were scheduled.

    >>> clock, seen = EventClock(), []
    >>> clock.call_at(5.0, lambda: seen.append(clock.now_ms()))
    >>> clock.run()
    >>> seen
    [5]
    """

    __slots__ = ("_events", "_order", "exact_ms")

    def __init__(self) -> None:
        self.exact_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now_ms(self) -> int:
        return int(self.exact_ms)

    def call_at(self, at_ms: float, event: Callable[[], None]) -> None:
        """Schedule ``event`` for ``at_ms``, or for now if that time has passed."""
        at_ms = max(at_ms, self.exact_ms)
        heapq.heappush(self._events, (at_ms, next(self._order), event))

    def call_in(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule ``event`` after a delay."""
        self.call_at(self.exact_ms + delay_ms, event)

    def run(self) -> None:
        """Run all events, including those that events schedule."""
        while self._events:
            self.exact_ms, _, event = heapq.heappop(self._events)
            event()
