"""Reads a whole body within limits on its size and on the memory of all bodies."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ._connection import BodyPart, End, Event, HttpConnection
from ._head import Head
from ._memory import ReadMemory

# A body of this size and less is copied once when it is complete; a larger one is
# returned as it was collected.
_MAX_COPIED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """A body is not read to its end: it exceeds a limit."""

    detail: str


async def read_body(
    connection: HttpConnection,
    head: Head,
    next_event: Callable[[], Awaitable[Event | None]],
    *,
    memory: ReadMemory,
    max_bytes: int,
) -> bytes | bytearray | BodyTooLarge | Event | None:
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
        if body.problem:
            return BodyTooLarge(body.problem)
        is_small = len(body.data) <= _MAX_COPIED_BYTES
        return bytes(body.data) if is_small else body.data
    finally:
        memory.end(body)
