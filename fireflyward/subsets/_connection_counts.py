"""Counts the connections that this node opens and reuses, by service."""

from typing import Protocol

from fireflyward.http1 import ConnectionUse
from fireflyward.replicas import ReplicaDirectory

_PERIOD_MS = 1_000
# Weight of one second in the moving average of the send rate. The average follows a
# change of load within some 10 s; bursts of 3 to 7 s change the subset little.
_RATE_WEIGHT = 0.1


class PoolCounts(Protocol):
    """The pool's methods that tell how connections are used; see ``ConnectionPool``."""

    def use_of(self, address: str) -> ConnectionUse: ...

    def has_idle(self, address: str) -> bool: ...


class _ServiceCounts:
    """What is known of one service."""

    __slots__ = ("per_second", "total", "used")

    def __init__(self) -> None:
        self.total = ConnectionUse()
        self.used = 0
        self.per_second: float | None = None


class ConnectionCounts:
    """Adds up the pool's counts by service and measures the rate of sends; no I/O.

    The pool counts by address and starts again when an address is gone. The totals of
    a service never decrease.
    """

    __slots__ = (
        "_counts_by_service",
        "_directory",
        "_last_by_address",
        "_last_ms",
        "_pool",
    )

    def __init__(self, pool: PoolCounts, directory: ReplicaDirectory) -> None:
        self._pool = pool
        self._directory = directory
        self._counts_by_service: dict[str, _ServiceCounts] = {}
        self._last_by_address: dict[str, tuple[int, int]] = {}
        self._last_ms: int | None = None

    def update(self, now_ms: int) -> None:
        """Add what was counted since the last call, at most once in a second."""
        if self._last_ms is not None and now_ms - self._last_ms < _PERIOD_MS:
            return
        since_ms = None if self._last_ms is None else now_ms - self._last_ms
        self._last_ms = now_ms
        last_by_address, self._last_by_address = self._last_by_address, {}
        for state in self._directory.all():
            address = state.entry.address
            if address in self._last_by_address:
                # Two incarnations may be listed with one address for a moment.
                continue
            use = self._pool.use_of(address)
            self._last_by_address[address] = use.opened, use.reused
            last = last_by_address.get(address, (0, 0))
            if use.opened < last[0] or use.reused < last[1]:
                last = 0, 0
            service = state.entry.service
            counts = self._counts_by_service.setdefault(service, _ServiceCounts())
            counts.total.opened += use.opened - last[0]
            counts.total.reused += use.reused - last[1]
        for counts in self._counts_by_service.values():
            _update_rate(counts, since_ms)

    def per_second(self, service: str) -> float | None:
        """Return the mean sends per second to a service; None if not yet measured."""
        counts = self._counts_by_service.get(service)
        return None if counts is None else counts.per_second

    def totals(self) -> dict[str, ConnectionUse]:
        """Return the connections opened and reused so far, by service."""
        return {name: item.total for name, item in self._counts_by_service.items()}


def _update_rate(counts: _ServiceCounts, since_ms: int | None) -> None:
    sends = counts.total.opened + counts.total.reused
    new, counts.used = sends - counts.used, sends
    if since_ms is None:
        return
    rate = new * 1_000 / since_ms
    if counts.per_second is None:
        # A node that starts has sent little. Its first subset would be too small.
        counts.per_second = rate if new else None
    else:
        weight = 1 - (1 - _RATE_WEIGHT) ** (since_ms / _PERIOD_MS)
        counts.per_second += weight * (rate - counts.per_second)
