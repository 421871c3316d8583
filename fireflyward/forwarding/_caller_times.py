"""How much of their time callers have spent before they come here."""


class CallerTimes:
    """Learns how much time callers of each route begin with; no I/O.

    >>> times = CallerTimes()
    >>> times.spent_ms("r", 3_000.0), times.spent_ms("r", 2_200.0)
    (0.0, 800.0)
    """

    __slots__ = ("_longest_ms_by_route",)

    def __init__(self) -> None:
        self._longest_ms_by_route: dict[str, float] = {}

    def spent_ms(self, route: str, deadline_ms: float | None) -> float:
        """Return how much of its time a caller had spent before it came here.

        Callers of a route begin with the same deadline; one that was refused and
        comes back has less. The longest one seen is taken for the first.
        """
        if deadline_ms is None:
            return 0.0
        longest_ms = max(self._longest_ms_by_route.get(route, 0.0), deadline_ms)
        self._longest_ms_by_route[route] = longest_ms
        return longest_ms - deadline_ms
