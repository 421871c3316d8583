"""What one start of a replica asks of a node: a rate limit, rest, nothing at all."""


class NamedLimit:
    """What a replica last said of its limit, in its answers or by other nodes' word.

    ``per_second`` is None while it names none, and ``as_of_ms`` is when that was said,
    None if it never was. ``first_ms`` and ``granted_ms`` are when this node may first
    send under the limit, and when it last did; see ``RateLimits``.
    """

    __slots__ = ("as_of_ms", "first_ms", "granted_ms", "per_second")

    def __init__(self) -> None:
        self.per_second: float | None = None
        self.as_of_ms: int | None = None
        self.first_ms: float | None = None
        self.granted_ms: int | None = None

    def on_limit_named(self, now_ms: int, per_second: float) -> bool:
        """Take a limit that an answer names; return whether it is a new one."""
        self.as_of_ms = now_ms
        return self._change(per_second)

    def on_no_limit(self, now_ms: int, sent_ms: int) -> bool:
        """Take an answer that names no limit; return whether that ends one.

        What was sent before the limit was last named says nothing: long answers
        overtake each other.
        """
        if self.per_second is None or sent_ms <= self.as_of_ms:
            return False
        self.as_of_ms = now_ms
        return self._change(None)

    def on_limit_update(self, as_of_ms: int, per_second: float | None) -> bool:
        """Take what another node heard of it; return whether that is news."""
        if self.as_of_ms is not None and as_of_ms <= self.as_of_ms:
            return False
        if per_second == self.per_second:
            return False
        self.as_of_ms = as_of_ms
        return self._change(per_second)

    def _change(self, per_second: float | None) -> bool:
        if per_second == self.per_second:
            return False
        if self.per_second is None:
            self.first_ms = None
        self.per_second = per_second
        return True


class Backpressure:
    """All that one start of a replica asked for.

    ``changes`` counts what is new: a send that waits sees by it that its choice does
    not hold any more. ``is_leaving`` tells that the replica said in an answer that it
    leaves, and ``has_unreadable_header`` that it sent a header which could not be read.
    """

    __slots__ = (
        "_rest_until_ms",
        "changes",
        "is_leaving",
        "has_unreadable_header",
        "limit",
    )

    def __init__(self) -> None:
        self.limit = NamedLimit()
        self.changes = 0
        self.is_leaving = False
        self.has_unreadable_header = False
        self._rest_until_ms = 0.0

    def on_backoff(self, now_ms: int, for_ms: float) -> None:
        """Keep away for as long as the replica asked this node for."""
        self._rest_until_ms = max(self._rest_until_ms, now_ms + for_ms)
        self.changes += 1

    def backoff_ms(self, now_ms: int) -> float:
        """Return for how long it still wants nothing from this node."""
        return max(0.0, self._rest_until_ms - now_ms)
