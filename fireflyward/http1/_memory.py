"""The account of the memory that a process uses for bodies; no I/O."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

log = logging.getLogger("fireflyward.http1")

# The largest response that is read into memory. The services' usual responses have a
# few kilobytes.
MAX_BODY_BYTES = 16 << 20
# Requests of this size and less may use all of the memory for requests, larger ones a
# share of it. A few large bodies would otherwise leave no room for the usual ones.
SMALL_REQUEST_BYTES = 65_536
_LARGE_REQUESTS_SHARE = 0.75
# What a request in flight needs beside its body: tasks, headers, its run and its share
# of the buffers of two connections.
REQUEST_OVERHEAD_BYTES = 32_768


class RequestMemory:
    """The memory that one caller's request uses, with its body."""

    __slots__ = ("_account", "size")

    def __init__(self, account: "ReadMemory") -> None:
        self._account = account
        self.size = 0

    def has_room_for(self, body_bytes: int) -> bool:
        """Reserve the memory of a body of this size; return False without room."""
        return self._account.grow(self, body_bytes)


class Peer(Protocol):
    """The connection on which a body is read or written."""

    address: str

    def close(self) -> None: ...


class _Body:
    """The part of a response's body that has arrived, or a whole one being written."""

    __slots__ = ("data", "peer", "problem")

    def __init__(self, peer: Peer, data: bytes | bytearray) -> None:
        self.peer = peer
        self.data = data
        self.problem = ""


class ReadMemory:
    """Bounds the memory of all bodies that a process holds; no I/O.

    Requests and responses have separate shares. A request that does not fit into its
    share is rejected before its body is read, so that it has certainly not run.

    A response cannot be refused: its request has run. A server in trouble may send
    without end, and several at once may do so. Each body stays within its own limit
    then, and all of them together may exceed the memory of the process. If they would
    exceed ``max_bytes``, the largest one is given up. A response counts from its first
    byte until its caller has taken it.

    >>> from fireflyward.http1 import HttpConnection
    >>> memory = ReadMemory(max_bytes=10)
    >>> small, large = map(memory.begin, [HttpConnection("a"), HttpConnection("b")])
    >>> memory.add(small, b"1234"), memory.add(large, b"1234567")
    (True, False)
    >>> memory.used_bytes
    4
    """

    __slots__ = (
        "_bodies",
        "_max_bytes",
        "_max_large_request_bytes",
        "_max_request_bytes",
        "given_up",
        "refused_requests",
        "request_bytes",
        "used_bytes",
    )

    def __init__(
        self,
        *,
        max_bytes: int = 4 * MAX_BODY_BYTES,
        max_request_bytes: int = 4 * MAX_BODY_BYTES,
    ) -> None:
        """``max_bytes`` is for responses, ``max_request_bytes`` for requests."""
        self._max_bytes = max_bytes
        self._max_request_bytes = max_request_bytes
        self._max_large_request_bytes = int(_LARGE_REQUESTS_SHARE * max_request_bytes)
        self._bodies: set[_Body] = set()
        self.request_bytes = 0
        self.refused_requests = 0
        self.used_bytes = 0
        self.given_up = 0

    @property
    def largest_request_bytes(self) -> int:
        """Return the size of the largest body for which there is ever room."""
        return self._max_large_request_bytes - REQUEST_OVERHEAD_BYTES

    @contextmanager
    def request(self) -> Iterator[RequestMemory]:
        """Count the memory of a request until the context ends."""
        request = RequestMemory(self)
        try:
            yield request
        finally:
            self.request_bytes -= request.size

    def grow(self, request: RequestMemory, body_bytes: int) -> bool:
        """Reserve the memory of a request with a body of a size, if there is room.

        If more is reserved already, the rest is given back.
        """
        is_small = body_bytes <= SMALL_REQUEST_BYTES
        limit = self._max_request_bytes if is_small else self._max_large_request_bytes
        more = REQUEST_OVERHEAD_BYTES + body_bytes - request.size
        if more > 0 and self.request_bytes + more > limit:
            self.refused_requests += 1
            return False
        request.size += more
        self.request_bytes += more
        return True

    def begin(self, peer: Peer) -> _Body:
        """Return an empty body, to be passed to ``end`` when it has been read."""
        body = _Body(peer, bytearray())
        self._bodies.add(body)
        return body

    @contextmanager
    def writing(self, peer: Peer, data: bytes | bytearray) -> Iterator[None]:
        """Count a whole body until the context ends."""
        body = _Body(peer, data)
        self._bodies.add(body)
        self.used_bytes += len(data)
        try:
            self._limit()
            yield
        finally:
            self.end(body)

    def add(self, body: _Body, data: bytes) -> bool:
        """Add received bytes; return False if the body has been given up."""
        if body.problem:
            return False
        body.data += data
        self.used_bytes += len(data)
        self._limit()
        return not body.problem

    def give_up(self, body: _Body, problem: str) -> None:
        """Discard what has arrived, and close the connection."""
        body.problem = problem
        self.given_up += 1
        self._discard(body)
        log.warning("http1: response of %s: %s", body.peer.address, problem)
        body.peer.close()

    def end(self, body: _Body) -> None:
        """Stop counting a body."""
        self._discard(body)
        self._bodies.discard(body)

    def _limit(self) -> None:
        while self.used_bytes > self._max_bytes:
            largest = max(self._bodies, key=lambda item: len(item.data))
            size = len(largest.data)
            self.give_up(
                largest,
                f"body of {size} bytes or more, all bodies have {self.used_bytes}, "
                f"limit {self._max_bytes}",
            )

    def _discard(self, body: _Body) -> None:
        self.used_bytes -= len(body.data)
        body.data = bytearray()
