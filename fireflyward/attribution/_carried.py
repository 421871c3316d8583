"""The requests that one connection has carried."""

from collections import deque

# A copy of a response arrives where the next one is expected, or a few later.
_MAX_REQUESTS = 8
# Callers choose the ids; a longer one is not remembered.
_MAX_ID_LENGTH = 128


class CarriedRequests:
    """The ids of the requests that one connection has carried lately.

    A second copy of a response may arrive where the next one is expected. Its id tells
    it from the next one, which follows it, so it can be skipped. That holds only for a
    request that this connection has carried before, and never for one without an id.

    >>> carried = CarriedRequests()
    >>> carried.begin("q1")
    >>> carried.begin("q2")
    >>> carried.is_late("q1"), carried.is_late("q2"), carried.is_late("q0")
    (True, False, False)
    >>> carried.is_late(None)
    False
    """

    __slots__ = ("_current", "_earlier")

    def __init__(self) -> None:
        self._current: str | None = None
        self._earlier: deque[str] = deque(maxlen=_MAX_REQUESTS)

    def begin(self, request_id: str | None) -> None:
        """Record a request that is about to be sent, None for a call without an id."""
        if self._current is not None and len(self._current) <= _MAX_ID_LENGTH:
            self._earlier.append(self._current)
        self._current = request_id

    def is_late(self, named_id: str | None) -> bool:
        """Return whether a response belongs to a request before the current one."""
        return named_id != self._current and named_id in self._earlier

    def has(self, named_id: str | None) -> bool:
        """Return whether a response belongs to the current request or one before."""
        if named_id is None:
            return False
        return named_id == self._current or named_id in self._earlier
