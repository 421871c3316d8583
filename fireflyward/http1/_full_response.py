"""Reads a complete response, for callers that don't stream it."""

from dataclasses import dataclass

from fireflyward.clock import Clock

from ._connection import BodyPart, Broken, End, Head, HttpConnection


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A response with its complete body; header names are in lower case."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No complete response arrived; the request may have been executed."""

    detail: str


async def read_full_response(
    connection: HttpConnection, *, clock: Clock, limit_ms: float
) -> FullResponse | NoResponse:
    """Return the response to the request just sent, if complete within ``limit_ms``.

    Otherwise the connection is closed, because the response may still arrive.
    """
    deadline_ms = clock.now_ms() + limit_ms
    status, headers, parts = 0, (), []
    while True:
        event = await connection.next_event_within(deadline_ms - clock.now_ms())
        if isinstance(event, Head):
            status, headers = event.status, event.headers
        elif isinstance(event, BodyPart):
            parts.append(event.data)
        elif isinstance(event, End):
            return FullResponse(status, b"".join(parts), headers)
        else:
            connection.close()
            is_broken = isinstance(event, Broken)
            return NoResponse(
                event.detail if is_broken else f"no response in {limit_ms:.0f} ms"
            )
