"""The limit on weight loads per minute over all replicas."""

_MS_PER_MINUTE = 60_000
_BURST_LOADS = 2.0


class LoadBudget:
    """A token bucket for weight loads, used by the one driver of a deployment.

    It starts empty: a new driver does not know how many loads its predecessor has
    started, and together they must not exceed ``per_minute``.

    >>> budget = LoadBudget(per_minute=60, now_ms=0)
    >>> budget.try_acquire(500), budget.try_acquire(1_000), budget.try_acquire(1_001)
    (False, True, False)
    """

    __slots__ = ("_last_refill_ms", "_per_ms", "_tokens")

    def __init__(self, *, per_minute: int, now_ms: int) -> None:
        self._per_ms = per_minute / _MS_PER_MINUTE
        self._last_refill_ms = now_ms
        self._tokens = 0.0

    def __repr__(self) -> str:
        return f"LoadBudget({self._tokens:.1f})"

    def try_acquire(self, now_ms: int) -> bool:
        """Consume a token for one load, if there is one."""
        passed_ms = max(0, now_ms - self._last_refill_ms)
        self._tokens = min(_BURST_LOADS, self._tokens + passed_ms * self._per_ms)
        self._last_refill_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
