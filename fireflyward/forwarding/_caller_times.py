"""Estimates how much of its deadline a caller has used up before its request."""


class CallerTimes:
    """Records the initial deadline that callers of each route use; no I/O.

    >>> times = CallerTimes()
    >>> times.spent_ms("r", 3_000.0), times.spent_ms("r", 2_200.0)
    (0.0, 800.0)
    """

    __slots__ = ("_longest_ms_by_route",)

    def __init__(self) -> None:
        self._longest_ms_by_route: dict[str, float] = {}

    def spent_ms(self, route: str, deadline_ms: float | None) -> float:
        """Return how much of its deadline a caller had used up before this request.

        All callers of a route start with the same deadline, and a caller that retries
        after a rejection has less of it left. The longest deadline received for a
        route is therefore taken as its initial deadline.
        """
        if deadline_ms is None:
            return 0.0
        longest_ms = max(self._longest_ms_by_route.get(route, 0.0), deadline_ms)
        self._longest_ms_by_route[route] = longest_ms
        return longest_ms - deadline_ms
