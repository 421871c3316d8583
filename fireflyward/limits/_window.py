"""How many runs may wait for their first token at the upstreams."""

_FIRST_SIZE = 8.0
_LEAST_SIZE = 1.0
_MOST_SIZE = 1_024.0
_TARGET_MS = 100.0
_SHRINK = 0.9
_SHRINK_PERIOD_MS = 100


class Window:
    """Learns the concurrency that the engines take without a queue of their own.

    A queue inside an engine is first come, first served, so whatever waits there
    is out of reach of fair queueing. The window therefore grows while first tokens
    come about as fast as their prefill takes, and shrinks when they come later or
    an engine refuses. Each node learns on its own; as with TCP, growing by a step
    and shrinking by a share lets nodes end up with like windows.
    """

    __slots__ = ("_shrunk_at_ms", "size")

    def __init__(self, size: float = _FIRST_SIZE) -> None:
        self.size = size
        self._shrunk_at_ms = 0

    def on_first_token(self, now_ms: int, late_ms: float, *, was_full: bool) -> None:
        """Take by how much a first token came later than its prefill alone.

        An engine's refusal for overload is a token that comes infinitely late.
        """
        if late_ms > _TARGET_MS:
            self._shrink(now_ms, _SHRINK)
        elif was_full:
            self.size = min(_MOST_SIZE, self.size + 1.0 / self.size)

    def _shrink(self, now_ms: int, factor: float) -> None:
        if now_ms - self._shrunk_at_ms < _SHRINK_PERIOD_MS:
            return
        self._shrunk_at_ms = now_ms
        self.size = max(_LEAST_SIZE, self.size * factor)
