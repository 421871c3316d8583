"""Tracks every request from its headers to the last byte of its response."""

import asyncio
from dataclasses import dataclass

from aiohttp import web


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """One request in flight: its id, method and path, and the task that serves it."""

    request_id: str
    description: str
    task: asyncio.Task[object] | None


class InFlightRequests:
    """The requests of all kinds that are in flight at this node.

    Admission counts only the requests that it admitted. A planned stop that waited
    for those alone would cut a request whose body is still arriving, a call of a plain
    service, or the last bytes of a response. This class counts all of them.
    """

    __slots__ = ("_request_by_id", "is_closing")

    def __init__(self) -> None:
        self._request_by_id: dict[str, InFlightRequest] = {}
        self.is_closing = False

    def __repr__(self) -> str:
        return f"InFlightRequests({self.count})"

    @property
    def count(self) -> int:
        return len(self._request_by_id)

    def requests(self) -> tuple[InFlightRequest, ...]:
        """Return the requests in flight, oldest first."""
        return tuple(self._request_by_id.values())

    def enter(self, request_id: str, description: str) -> None:
        """Add a request that the current task serves."""
        open_request = InFlightRequest(request_id, description, asyncio.current_task())
        self._request_by_id[request_id] = open_request

    def leave(self, request_id: str) -> None:
        """Remove a request."""
        del self._request_by_id[request_id]

    def begin_closing(self) -> None:
        """Make each further response close its connection."""
        self.is_closing = True

    def cut(self) -> tuple[InFlightRequest, ...]:
        """Cancel the requests in flight and return them."""
        cut = self.requests()
        for open_request in cut:
            if open_request.task is not None:
                open_request.task.cancel()
        return cut


async def write_response(request: web.Request, response: web.StreamResponse) -> None:
    """Write a complete response, so that its request is in flight until then.

    A streamed response was already written by its handler.
    """
    if not isinstance(response, web.Response):
        return
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError:
        # The caller has disconnected. aiohttp notices this too and cleans up.
        return


def close_connection(response: web.StreamResponse) -> None:
    """Make the caller open another connection for its next request."""
    response.force_close()
    response.headers["Connection"] = "close"
