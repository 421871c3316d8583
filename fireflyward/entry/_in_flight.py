"""Counts every request from its headers to the last byte of its response."""

import asyncio
from dataclasses import dataclass

from aiohttp import web


@dataclass(frozen=True, slots=True)
class Flight:
    """One request under way: its id, what it asked, and the task that serves it."""

    request_id: str
    described: str
    task: asyncio.Task[object] | None


class InFlight:
    """The requests under way at this node, whatever they ask.

    Admission counts only what it admitted. A planned stop that waited for
    admission alone would cut a body that is still being read, a plain service's
    call or the last bytes of a response; this counts them all.
    """

    __slots__ = ("_flight_by_id", "is_closing")

    def __init__(self) -> None:
        self._flight_by_id: dict[str, Flight] = {}
        self.is_closing = False

    def __repr__(self) -> str:
        return f"InFlight({self.count})"

    @property
    def count(self) -> int:
        return len(self._flight_by_id)

    def flights(self) -> tuple[Flight, ...]:
        """Return the requests under way, oldest first."""
        return tuple(self._flight_by_id.values())

    def enter(self, request_id: str, described: str) -> None:
        """Count a request in; the current task serves it."""
        flight = Flight(request_id, described, asyncio.current_task())
        self._flight_by_id[request_id] = flight

    def leave(self, request_id: str) -> None:
        """Count a request out."""
        del self._flight_by_id[request_id]

    def begin_closing(self) -> None:
        """Have each response from now on close its connection."""
        self.is_closing = True

    def cut(self) -> tuple[Flight, ...]:
        """End what is under way and return it."""
        cut = self.flights()
        for flight in cut:
            if flight.task is not None:
                flight.task.cancel()
        return cut


async def write_whole(request: web.Request, response: web.StreamResponse) -> None:
    """Write a plain response to its end, so that it counts until it is out."""
    if not isinstance(response, web.Response):
        return
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError:
        # The caller is gone. The library finds the same and tidies up.
        return


def close_connection(response: web.StreamResponse) -> None:
    """Have the caller open another connection for its next request."""
    response.force_close()
    response.headers["Connection"] = "close"
