"""A node's share of the budget for repeated sends, per service."""

from collections import deque

# Of the ratio that the deployment allows: the rest is for the difference between
# a node's own window and any other window of the same length.
_RATIO_SHARE = 0.75
# Of the fixed part: nodes that join are not counted at once.
_EXTRA_SHARE = 0.8


class _Service:
    __slots__ = ("first_ms", "repeat_ms")

    def __init__(self) -> None:
        self.first_ms: deque[int] = deque()
        self.repeat_ms: deque[int] = deque()


class RetryBudget:
    """Counts sends in a sliding window; no I/O.

    All nodes together may send ``ratio`` of the requests again, and ``extra`` more
    in each window. Each node takes the ratio of its own requests and an equal part
    of the extra, so that no message between nodes lies on a request's path. A
    service that fails everywhere thus gets little more than its own load, where
    unbounded repeats would keep it down.

    >>> budget = RetryBudget(ratio=0.2, extra=10, window_ms=10_000)
    >>> budget.set_nodes(8)
    >>> budget.try_acquire(0, "service"), budget.try_acquire(0, "service")
    (True, False)
    """

    __slots__ = ("_by_service", "_extra", "_nodes", "_ratio", "_window_ms")

    def __init__(self, *, ratio: float, extra: int, window_ms: int) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._nodes = 1
        self._by_service: dict[str, _Service] = {}

    def set_bounds(self, *, ratio: float, extra: int, window_ms: int) -> None:
        """Take new bounds from the settings."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def set_nodes(self, nodes: int) -> None:
        """Take the number of nodes that share the budget."""
        self._nodes = max(1, nodes)

    def on_request(self, now_ms: int, service: str) -> None:
        """Count a caller's request."""
        counted = self._at(now_ms, service)
        counted.first_ms.append(now_ms)

    def try_acquire(self, now_ms: int, service: str) -> bool:
        """Count a repeated send, or return False where the budget is spent."""
        counted = self._at(now_ms, service)
        if len(counted.repeat_ms) + 1 > self._allowed(counted):
            return False
        counted.repeat_ms.append(now_ms)
        return True

    def _allowed(self, counted: _Service) -> float:
        extra = self._extra * _EXTRA_SHARE / self._nodes
        return extra + self._ratio * _RATIO_SHARE * len(counted.first_ms)

    def _at(self, now_ms: int, service: str) -> _Service:
        counted = self._by_service.setdefault(service, _Service())
        for times in (counted.first_ms, counted.repeat_ms):
            while times and now_ms - times[0] >= self._window_ms:
                times.popleft()
        return counted
