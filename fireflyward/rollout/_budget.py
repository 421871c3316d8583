"""The weight store's rate, kept over all replicas."""

_MS_PER_MINUTE = 60_000
_BURST = 2.0


class LoadBudget:
    """A token bucket of loads; the one driver of a deployment owns it.

    It begins empty: a successor does not know what its predecessor used, and
    after the first refill interval at most ``per_minute`` were started whatever
    that was.

    >>> budget = LoadBudget(per_minute=60, now_ms=0)
    >>> budget.take(500), budget.take(1_000), budget.take(1_001)
    (False, True, False)
    """

    __slots__ = ("_per_ms", "_seen_ms", "_tokens")

    def __init__(self, *, per_minute: int, now_ms: int) -> None:
        self._per_ms = per_minute / _MS_PER_MINUTE
        self._seen_ms = now_ms
        self._tokens = 0.0

    def __repr__(self) -> str:
        return f"LoadBudget({self._tokens:.1f})"

    def take(self, now_ms: int) -> bool:
        """Use one load if there is one."""
        passed_ms = max(0, now_ms - self._seen_ms)
        self._tokens = min(_BURST, self._tokens + passed_ms * self._per_ms)
        self._seen_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
