"""Decides how soon a task that failed is started anew."""

_FIRST_PAUSE_MS = 100
_MAX_PAUSE_MS = 5_000
# A task that ran for this long before it failed had overcome its last failure.
_STEADY_MS = 10_000


class RestartPauses:
    """Pauses that double from one failure to the next, and no I/O.

    A task that fails on its first step each time, for example because of a row that
    stays in a table, costs little processor time and few calls while it does.

    >>> pauses = RestartPauses()
    >>> [pauses.next_ms(ran_ms=5) for _ in range(8)]
    [100, 200, 400, 800, 1600, 3200, 5000, 5000]
    >>> pauses.next_ms(ran_ms=60_000)
    100
    """

    __slots__ = ("_next_ms",)

    def __init__(self) -> None:
        self._next_ms = _FIRST_PAUSE_MS

    def next_ms(self, *, ran_ms: int) -> int:
        """Return the pause after a failure of a task that ran for ``ran_ms``."""
        if ran_ms >= _STEADY_MS:
            self._next_ms = _FIRST_PAUSE_MS
        pause_ms = self._next_ms
        self._next_ms = min(_MAX_PAUSE_MS, 2 * pause_ms)
        return pause_ms
