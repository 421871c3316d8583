"""Learns after which time a response of a route is overdue."""

import bisect
from collections import deque

# Enough for the quantile below to rest on several values. At a few requests per second
# of a route, they span the last half minute.
_MAX_RATIOS = 128
_MIN_RATIOS = 32
# With this quantile about one send in twenty is overdue, a quarter of the retry budget.
_QUANTILE = 0.95
# Estimates below the first limit say little, and a response that took less than the
# second is not worth another send.
_MIN_EXPECTED_MS = 20.0
_MIN_OVERDUE_MS = 60.0


class _Ratios:
    """The last ratios in the order of arrival, and sorted."""

    __slots__ = ("arrived", "ordered")

    def __init__(self) -> None:
        self.arrived: deque[float] = deque()
        self.ordered: list[float] = []

    def add(self, ratio: float) -> None:
        self.arrived.append(ratio)
        bisect.insort(self.ordered, ratio)
        if len(self.arrived) > _MAX_RATIOS:
            oldest = self.arrived.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]


class AnswerTimes:
    """Measured relative to expected times until a response begins, by route; no I/O.

    Times relative to the estimate are used because the expected time differs with the
    prompt and with the load of the replica.

    >>> times = AnswerTimes()
    >>> for took_ms in range(101, 201):
    ...     times.on_begun("r", 100.0, took_ms)
    >>> times.overdue_ms("r", 300.0)
    588.0
    >>> times.overdue_ms("other", 300.0) is None
    True
    """

    __slots__ = ("_ratios_by_route",)

    def __init__(self) -> None:
        self._ratios_by_route: dict[str, _Ratios] = {}

    def on_begun(self, route: str, expected_ms: float, took_ms: float) -> None:
        """Record a response that began, or a send that was cancelled after this time.

        Without the cancelled ones the quantile would fall with each second send that
        wins, and more responses would be overdue.
        """
        ratio = took_ms / max(_MIN_EXPECTED_MS, expected_ms)
        self._ratios_by_route.setdefault(route, _Ratios()).add(ratio)

    def overdue_ms(self, route: str, expected_ms: float) -> float | None:
        """Return after which time a response is overdue, None if it is not known."""
        ratios = self._ratios_by_route.get(route)
        if ratios is None or len(ratios.ordered) < _MIN_RATIOS:
            return None
        ratio = ratios.ordered[int(_QUANTILE * len(ratios.ordered))]
        return max(_MIN_OVERDUE_MS, ratio * max(_MIN_EXPECTED_MS, expected_ms))
