"""Limits how many runs may wait for their first token at the upstreams."""

_INITIAL_SIZE = 8.0
_MIN_SIZE = 1.0
_MAX_SIZE = 1_024.0
_MAX_QUEUEING_DELAY_MS = 100.0
_SHRINK_FACTOR = 0.9
_MIN_SHRINK_INTERVAL_MS = 100


class Window:
    """Adapts the number of concurrent prefills so that engines do not queue runs.

    An engine serves its own queue in order of arrival, so fair queueing has no effect
    on the runs that wait there. The window therefore grows while first tokens arrive
    about as soon as their prefill allows, and shrinks when they arrive later or when
    an engine rejects a run. Each node adapts its window without coordination. As with
    TCP, additive increase and multiplicative decrease lead to similar windows on all
    nodes.
    """

    __slots__ = ("_shrunk_at_ms", "size")

    def __init__(self, size: float = _INITIAL_SIZE) -> None:
        self.size = size
        self._shrunk_at_ms = 0

    def on_first_token(
        self, now_ms: int, queueing_delay_ms: float, *, was_full: bool
    ) -> None:
        """Adapt the size to the time that a run waited in addition to its prefill.

        The delay is infinite if an engine rejected the run for overload.
        """
        if queueing_delay_ms > _MAX_QUEUEING_DELAY_MS:
            self._shrink(now_ms, _SHRINK_FACTOR)
        elif was_full:
            self.size = min(_MAX_SIZE, self.size + 1.0 / self.size)

    def _shrink(self, now_ms: int, factor: float) -> None:
        if now_ms - self._shrunk_at_ms < _MIN_SHRINK_INTERVAL_MS:
            return
        self._shrunk_at_ms = now_ms
        self.size = max(_MIN_SIZE, self.size * factor)
