"""Time that jumps from event to event."""

import heapq
import itertools
from collections.abc import Callable

from fireflyward.clock import Clock


class EventClock(Clock):
    """A clock that runs through a list of events as fast as the machine can.

    It is for decisions without tasks; ``ManualClock`` is the one for tasks.
    Events of one time run in the order in which they were asked for.

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
        """Run ``event`` when the time comes, at once if it has passed."""
        at_ms = max(at_ms, self.exact_ms)
        heapq.heappush(self._events, (at_ms, next(self._order), event))

    def call_in(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Run ``event`` after a delay."""
        self.call_at(self.exact_ms + delay_ms, event)

    def run(self) -> None:
        """Run all events, and those that they ask for."""
        while self._events:
            self.exact_ms, _, event = heapq.heappop(self._events)
            event()
