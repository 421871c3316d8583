"""Reads a whole body within limits on its size and on the memory of all bodies."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ._connection import BodyPart, End, Event, HttpConnection
from ._head import Head

log = logging.getLogger("fireflyward.http1")

# The largest response that is read into memory. The services' usual responses have a
# few kilobytes.
MAX_BODY_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """A body is not read to its end: it exceeds a limit."""

    detail: str


class _Body:
    """The part of a body that has arrived."""

    __slots__ = ("connection", "data", "problem")

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection
        self.data = bytearray()
        self.problem = ""


class ReadMemory:
    """Bounds the memory of all bodies that a process is reading; no I/O.

    A server in trouble may send without end, and several at once may do so. Each body
    stays within its own limit then, and all of them together may exceed the memory of
    the process. If they would exceed ``max_bytes``, the largest one is given up.

    >>> memory = ReadMemory(max_bytes=10)
    >>> small, large = map(memory.begin, [HttpConnection("a"), HttpConnection("b")])
    >>> memory.add(small, b"1234"), memory.add(large, b"1234567")
    (True, False)
    >>> memory.used_bytes
    4
    """

    __slots__ = ("_bodies", "_max_bytes", "given_up", "used_bytes")

    def __init__(self, *, max_bytes: int = 4 * MAX_BODY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bodies: set[_Body] = set()
        self.used_bytes = 0
        self.given_up = 0

    def begin(self, connection: HttpConnection) -> _Body:
        """Return an empty body, to be passed to ``end`` when it has been read."""
        body = _Body(connection)
        self._bodies.add(body)
        return body

    def add(self, body: _Body, data: bytes) -> bool:
        """Add received bytes; return False if the body has been given up."""
        if body.problem:
            return False
        body.data += data
        self.used_bytes += len(data)
        while self.used_bytes > self._max_bytes:
            largest = max(self._bodies, key=lambda item: len(item.data))
            size = len(largest.data)
            self.give_up(
                largest,
                f"body of {size} bytes or more, all bodies have {self.used_bytes}, "
                f"limit {self._max_bytes}",
            )
        return not body.problem

    def give_up(self, body: _Body, problem: str) -> None:
        """Discard what has arrived, and close the connection."""
        body.problem = problem
        self.given_up += 1
        self._discard(body)
        log.warning("http1: response of %s: %s", body.connection.address, problem)
        body.connection.close()

    def end(self, body: _Body) -> None:
        """Stop counting a body."""
        self._discard(body)
        self._bodies.discard(body)

    def _discard(self, body: _Body) -> None:
        self.used_bytes -= len(body.data)
        body.data = bytearray()


async def read_body(
    connection: HttpConnection,
    head: Head,
    next_event: Callable[[], Awaitable[Event | None]],
    *,
    memory: ReadMemory,
    max_bytes: int,
) -> bytes | BodyTooLarge | Event | None:
    """Return the body that follows ``head``, or the event that came in its place.

    The connection is closed as soon as the body is known to exceed ``max_bytes``.
    """
    body = memory.begin(connection)
    try:
        declared = head.get("content-length") or ""
        if declared.isdecimal() and int(declared) > max_bytes:
            memory.give_up(body, f"body of {declared} bytes, limit {max_bytes}")
            return BodyTooLarge(body.problem)
        while not isinstance(event := await next_event(), End):
            if not isinstance(event, BodyPart):
                return BodyTooLarge(body.problem) if body.problem else event
            if not memory.add(body, event.data):
                return BodyTooLarge(body.problem)
            if len(body.data) > max_bytes:
                size = len(body.data)
                memory.give_up(body, f"body of {size} bytes or more, limit {max_bytes}")
                return BodyTooLarge(body.problem)
        return BodyTooLarge(body.problem) if body.problem else bytes(body.data)
    finally:
        memory.end(body)
