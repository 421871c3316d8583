"""Backpressure that one incarnation of a replica requests from the nodes."""


class ReportedLimit:
    """The last number of a kind that a replica reported, itself or via another node.

    This is either a rate limit, or how many rejections a second it withstands.

    ``per_second`` is None while there is no limit. ``as_of_ms`` is when the replica
    last reported a limit or its end, None if it never did. ``first_ms`` is the earliest
    time at which this node may send under the limit, and ``granted_ms`` is when it last
    did; see ``RateLimits``.
    """

    __slots__ = ("as_of_ms", "first_ms", "granted_ms", "per_second")

    def __init__(self) -> None:
        self.per_second: float | None = None
        self.as_of_ms: int | None = None
        self.first_ms: float | None = None
        self.granted_ms: int | None = None

    def on_limit_named(self, as_of_ms: int, per_second: float) -> bool:
        """Record a limit from an answer; return whether the limit changed.

        An answer that waited to be read may be older than what other nodes reported.
        """
        if self.as_of_ms is not None and as_of_ms < self.as_of_ms:
            return False
        self.as_of_ms = as_of_ms
        return self._set(per_second)

    def on_no_limit(self, as_of_ms: int, sent_ms: int) -> bool:
        """Record an answer without a limit; return whether that ends a limit.

        An answer to a request from before the last report of the limit is ignored:
        answers take different times, so they can arrive in another order.
        """
        if self.per_second is None or sent_ms <= self.as_of_ms:
            return False
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        return self._set(None)

    def on_limit_update(self, as_of_ms: int, per_second: float | None) -> bool:
        """Record a limit that another node reported; return whether it changed."""
        if self.as_of_ms is not None and as_of_ms <= self.as_of_ms:
            return False
        if per_second == self.per_second:
            return False
        self.as_of_ms = as_of_ms
        return self._set(per_second)

    def _set(self, per_second: float | None) -> bool:
        if per_second == self.per_second:
            return False
        if self.per_second is None:
            self.first_ms = None
        self.per_second = per_second
        return True


class Backpressure:
    """The rate limit, the backoff and the notices of one incarnation of a replica.

    While ``brittle`` has a number, the replica crashes if it rejects more requests than
    that in a second.
    ``changes`` counts these and the changes of the list after which the replica gets no
    new requests: a send that waits compares it to find out that its choice is out of
    date. ``is_leaving`` is set once the replica reported in an answer
    to some node that it is leaving, and ``has_unreadable_header`` once it sent this
    node a header that cannot be parsed.
    """

    __slots__ = (
        "_backoff_until_ms",
        "brittle",
        "changes",
        "is_leaving",
        "has_unreadable_header",
        "limit",
    )

    def __init__(self) -> None:
        self.limit = ReportedLimit()
        self.brittle = ReportedLimit()
        self.changes = 0
        self.is_leaving = False
        self.has_unreadable_header = False
        self._backoff_until_ms = 0.0

    def on_backoff(self, now_ms: int, for_ms: float) -> None:
        """Extend the backoff to at least ``for_ms`` from now."""
        self._backoff_until_ms = max(self._backoff_until_ms, now_ms + for_ms)
        self.changes += 1

    def backoff_ms(self, now_ms: int) -> float:
        """Return the remaining backoff."""
        return max(0.0, self._backoff_until_ms - now_ms)
