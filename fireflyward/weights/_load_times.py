"""How long replicas take to load weights."""

# Before a load was seen: reports are some 200 ms old, so an earlier look sees nothing.
_FIRST_LOOK_MS = 200.0
# Of the shortest load seen; another may have fewer runs to wait for.
_SHORTEST_SHARE = 0.7


class LoadTimes:
    """Learns when to look for the first time whether a replica has loaded; no I/O.

    The load that it answers: while a version is rolled out two fifths of the replicas
    load and the others carry everything. With a first look after a fixed second,
    replicas that load in 0.4 s stood ready and unused for as long again: three rounds
    of loads took 3.2 s in place of 1.4 s (reckoned with looks every 80 ms).

    >>> times = LoadTimes()
    >>> times.first_look_ms
    200.0
    >>> times.on_loaded(1_500), times.on_loaded(2_600)
    (None, None)
    >>> times.first_look_ms
    1050.0
    """

    __slots__ = ("_shortest_ms",)

    def __init__(self) -> None:
        self._shortest_ms: float | None = None

    @property
    def first_look_ms(self) -> float:
        """Return how long after an order the first look is worth its call."""
        if self._shortest_ms is None:
            return _FIRST_LOOK_MS
        return max(_FIRST_LOOK_MS, _SHORTEST_SHARE * self._shortest_ms)

    def on_loaded(self, took_ms: float) -> None:
        """Take how long after its order a replica was seen with the weights."""
        if self._shortest_ms is None or took_ms < self._shortest_ms:
            self._shortest_ms = took_ms
