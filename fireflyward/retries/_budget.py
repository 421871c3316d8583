"""One node's share of the retry budget of each service."""

from collections import deque

# The part of the deployment's ratio that a node uses. The rest covers the difference
# between a node's own window and any other window of the same length.
_USABLE_RATIO_SHARE = 0.75
# The part of the fixed number of retries that nodes use. The rest covers nodes that
# have joined and are not yet counted.
_USABLE_EXTRA_SHARE = 0.8


class _SendTimes:
    __slots__ = ("request_ms", "retry_ms")

    def __init__(self) -> None:
        self.request_ms: deque[int] = deque()
        self.retry_ms: deque[int] = deque()


class RetryBudget:
    """Counts requests and retries in a sliding window; does no I/O.

    In each window, all nodes together may retry the share ``ratio`` of the requests
    and ``extra`` more. Each node applies the ratio to its own requests and uses an
    equal part of the extra retries, so that a request never waits for a message
    between nodes. A service that fails on all replicas therefore gets little more than
    its normal load; unlimited retries would prevent it from recovering.

    >>> budget = RetryBudget(ratio=0.2, extra=10, window_ms=10_000)
    >>> budget.set_nodes(8)
    >>> budget.try_acquire(0, "service"), budget.try_acquire(0, "service")
    (True, False)
    """

    __slots__ = (
        "_send_times_by_service",
        "_extra",
        "_node_count",
        "_ratio",
        "_window_ms",
    )

    def __init__(self, *, ratio: float, extra: int, window_ms: int) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._node_count = 1
        self._send_times_by_service: dict[str, _SendTimes] = {}

    def set_bounds(self, *, ratio: float, extra: int, window_ms: int) -> None:
        """Apply new bounds from the settings."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes that share the budget."""
        self._node_count = max(1, nodes)

    def on_request(self, now_ms: int, service: str) -> None:
        """Count a request of a caller."""
        send_times = self._current(now_ms, service)
        send_times.request_ms.append(now_ms)

    def try_acquire(self, now_ms: int, service: str) -> bool:
        """Count a retry and return True, or return False if the budget is used up."""
        send_times = self._current(now_ms, service)
        if len(send_times.retry_ms) + 1 > self._allowed(send_times):
            return False
        send_times.retry_ms.append(now_ms)
        return True

    def _allowed(self, send_times: _SendTimes) -> float:
        extra = self._extra * _USABLE_EXTRA_SHARE / self._node_count
        return extra + self._ratio * _USABLE_RATIO_SHARE * len(send_times.request_ms)

    def _current(self, now_ms: int, service: str) -> _SendTimes:
        send_times = self._send_times_by_service.setdefault(service, _SendTimes())
        for times in (send_times.request_ms, send_times.retry_ms):
            while times and now_ms - times[0] >= self._window_ms:
                times.popleft()
        return send_times
