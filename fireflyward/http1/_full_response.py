"""One whole response, for callers that pass nothing on before its end."""

from dataclasses import dataclass

from fireflyward.clock import Clock

from ._connection import BodyPart, Broken, End, Head, HttpConnection


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A response with its whole body; header names are in lower case."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No whole response came; the request may have been carried out."""

    detail: str


async def read_full_response(
    connection: HttpConnection, *, clock: Clock, limit_ms: float
) -> FullResponse | NoResponse:
    """Return the response to what was just sent, if it is whole in ``limit_ms``.

    Without one the connection is closed, since the response may still come.
    """
    due_ms = clock.now_ms() + limit_ms
    status, headers, parts = 0, (), []
    while True:
        event = await connection.next_event_within(due_ms - clock.now_ms())
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
                event.detail if is_broken else f"no answer in {limit_ms:.0f} ms"
            )
