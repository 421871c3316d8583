"""Reads a complete response, for callers that don't stream it."""

from dataclasses import dataclass

from fireflyward.clock import Clock

from ._body import BodyTooLarge, read_body
from ._connection import Broken, Event, HttpConnection
from ._head import Head
from ._memory import ReadMemory


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A response with its complete body; header names are in lower case."""

    status: int
    body: bytes | bytearray
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No complete response arrived; the request may have been executed."""

    detail: str


async def read_full_response(
    connection: HttpConnection,
    *,
    clock: Clock,
    limit_ms: float,
    memory: ReadMemory,
    max_bytes: int,
) -> FullResponse | NoResponse:
    """Return the response to the request just sent, if complete within ``limit_ms``.

    Otherwise the connection is closed, because the response may still arrive. The same
    holds for a body of more than ``max_bytes``.
    """
    deadline_ms = clock.now_ms() + limit_ms

    async def next_event() -> Event | None:
        return await connection.next_event_within(deadline_ms - clock.now_ms())

    found = head = await next_event()
    if isinstance(head, Head):
        found = await read_body(
            connection, head, next_event, memory=memory, max_bytes=max_bytes
        )
        if isinstance(found, bytes | bytearray):
            return FullResponse(head.status, found, head.headers)
    connection.close()
    if isinstance(found, Broken | BodyTooLarge):
        return NoResponse(found.detail)
    return NoResponse(f"no response in {limit_ms:.0f} ms")
