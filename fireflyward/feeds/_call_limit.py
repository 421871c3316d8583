"""How long a call may take in addition to the time that it waits for changes."""

# A store that is fifty times slower than usual still answers in this time.
MAX_OVERHEAD_MS = 700
# Packets that are lost once are sent again within this time.
_MIN_OVERHEAD_MS = 300
# A call that takes this many times the measured overhead has lost its answer.
_SAFETY_FACTOR = 4
# Weight of a shorter overhead than before; a longer one counts at once.
_DECAY = 0.1


class CallLimit:
    """Limits the time of calls by the overhead of earlier ones; no I/O.

    A connection that loses an answer shows it only by the time that passes, in which
    this node knows no change. A fixed limit that a slow store needs would be too long.
    After each failure the limit doubles, up to ``MAX_OVERHEAD_MS``.

    >>> limit = CallLimit()
    >>> limit.overhead_ms(failures=0), limit.overhead_ms(failures=1)
    (300, 600)
    >>> limit.on_answer(150)
    >>> limit.overhead_ms(failures=0)
    600
    """

    __slots__ = ("_usual_ms",)

    def __init__(self) -> None:
        self._usual_ms = 0.0

    def on_answer(self, overhead_ms: float) -> None:
        """Record how long a call took in addition to its wait.

        A longer time than the highest limit needs is a pause of this process.
        """
        overhead_ms = min(overhead_ms, MAX_OVERHEAD_MS / _SAFETY_FACTOR)
        weight = 1.0 if overhead_ms > self._usual_ms else _DECAY
        self._usual_ms += weight * (overhead_ms - self._usual_ms)

    def overhead_ms(self, *, failures: int) -> int:
        """Return the limit for the next call, after this many failures in a row."""
        base_ms = max(_MIN_OVERHEAD_MS, _SAFETY_FACTOR * self._usual_ms)
        return int(min(MAX_OVERHEAD_MS, base_ms * 2 ** min(failures, 4)))
