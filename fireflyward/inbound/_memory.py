"""The account of the memory that connections hold outside admitted requests; no I/O."""

from typing import Protocol

# Heads of this size and less, as parsed, may use all of the memory for heads. A few
# large ones would otherwise leave no room for the usual ones.
_SMALL_HEAD_BYTES = 65_536
_LARGE_HEADS_SHARE = 0.75


class Holder(Protocol):
    """A connection that holds unparsed bytes or unread answers."""

    def give_way(self) -> None:
        """Release everything that is held, and close."""


class ConnectionMemory:
    """Bounds what all connections of a listener hold together; no I/O.

    What a connection holds is of two kinds. Bytes that wait to be parsed or read can be
    given up by closing the connection: if the memory is used up, the connection that
    holds most gives way. A parsed head belongs to a request that may have been passed
    on, and stays until the request ends. It is counted before it is parsed; without
    room, the request is refused.

    >>> class Connection:
    ...     def give_way(self):
    ...         memory.hold(self, 0)
    >>> memory = ConnectionMemory(max_bytes=100)
    >>> small, large = Connection(), Connection()
    >>> memory.hold(small, 40), memory.hold(large, 50), memory.reserve(20)
    (None, None, True)
    >>> memory.used_bytes, memory.gave_way
    (60, 1)
    """

    __slots__ = ("_held_by_holder", "_max_bytes", "_reserved_bytes", "gave_way")
    __slots__ += ("used_bytes",)

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_by_holder: dict[Holder, int] = {}
        self._reserved_bytes = 0
        self.used_bytes = 0
        self.gave_way = 0

    def hold(self, holder: Holder, size: int) -> None:
        """Record what a connection holds now; the largest gives way to the others."""
        before = self._held_by_holder.pop(holder, 0)
        self.used_bytes += size - before
        if size:
            self._held_by_holder[holder] = size
        while self.used_bytes > self._max_bytes and self._held_by_holder:
            self._evict()

    def reserve(self, size: int) -> bool:
        """Reserve the memory of a parsed head; return False if there is no room.

        Connections that hold more than that give way to it.
        """
        share = 1.0 if size <= _SMALL_HEAD_BYTES else _LARGE_HEADS_SHARE
        if self._reserved_bytes + size > share * self._max_bytes:
            return False
        while self.used_bytes + size > self._max_bytes:
            if max(self._held_by_holder.values(), default=0) < size:
                return False
            self._evict()
        self._reserved_bytes += size
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back what was reserved for a parsed head."""
        self._reserved_bytes -= size
        self.used_bytes -= size

    def _evict(self) -> None:
        largest = max(self._held_by_holder, key=self._held_by_holder.__getitem__)
        self.gave_way += 1
        largest.give_way()
        # The holder may not know that it held anything any more.
        self.used_bytes -= self._held_by_holder.pop(largest, 0)
