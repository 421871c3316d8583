"""Estimates when a replica that was ordered to load weights should be polled."""

# Used before the first observed load. Reports are about 200 ms old, so an earlier poll
# can't show the new version yet.
_DEFAULT_FIRST_POLL_MS = 200.0
# Share of the shortest observed load; the next load may be shorter, since it may have
# fewer requests in flight to wait for.
_FIRST_POLL_SHARE = 0.7


class LoadTimes:
    """Computes when to poll a replica for the first time after an order; no I/O.

    While a version is rolled out, two fifths of the replicas load and the others serve
    all requests. With a first poll at a fixed second after the order, replicas that
    load in 0.4 s stayed ready and unused for at least as long again: three rounds of
    loads took 3.2 s instead of 1.4 s (calculated with polls every 80 ms).

    >>> times = LoadTimes()
    >>> times.first_poll_ms
    200.0
    >>> times.on_loaded(1_500), times.on_loaded(2_600)
    (None, None)
    >>> times.first_poll_ms
    1050.0
    """

    __slots__ = ("_shortest_ms",)

    def __init__(self) -> None:
        self._shortest_ms: float | None = None

    @property
    def first_poll_ms(self) -> float:
        """Return how long after an order to poll the replica for the first time."""
        if self._shortest_ms is None:
            return _DEFAULT_FIRST_POLL_MS
        return max(_DEFAULT_FIRST_POLL_MS, _FIRST_POLL_SHARE * self._shortest_ms)

    def on_loaded(self, took_ms: float) -> None:
        """Record how long after its order a replica reported the new weights."""
        if self._shortest_ms is None or took_ms < self._shortest_ms:
            self._shortest_ms = took_ms
