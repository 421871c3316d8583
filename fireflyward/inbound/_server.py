"""The open connections of one listener, and the factory for new ones."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from aiohttp import web_server
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from fireflyward.clock import Clock
from fireflyward.deployment import Limits
from fireflyward.observe import PER_REQUEST

from ._connection import InboundConnection, connection_of
from ._framing import Refusal
from ._memory import ConnectionMemory

log = logging.getLogger("fireflyward.inbound")

# An idle connection has some 10 kB of protocol, parser, task and timer.
IDLE_CONNECTION_BYTES = 12_288
_CHECK_PERIOD_MS = 250
_MAX_LATE_MS = 250
# The limits of the HTTP library are on parts of a head. The head as a whole is bounded
# before the library gets it.
_NO_LIMIT = 1 << 30
# Timers of this package close idle connections; the library's must not come first.
_KEEP_ALIVE_S = 86_400.0

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class RefusedConnection(asyncio.Protocol):
    """Closes a connection before anything was read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


class InboundServer(web_server.Server):
    """Serves connections within limits on their number, memory and time.

    ``limits`` returns the limits that hold now, for connections that are open as well.
    Beyond ``max_connections``, one that has not sent a request for the longest time
    gives way to a new one. ``refusal_headers`` returns the headers for a refusal of the
    bytes of a request that was not parsed. ``count`` counts refused and closed
    connections by reason. While the server serves, ``run`` must run, or ``run_checks``
    with this server among others.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        clock: Clock,
        limits: Callable[[], Limits],
        memory: ConnectionMemory,
        max_connections: int,
        refusal_headers: Callable[[bytes], tuple[tuple[str, str], ...]] = (
            lambda data: ()
        ),
        count: Callable[[str], None] = lambda reason: None,
        **options: Any,
    ) -> None:
        super().__init__(
            self._serve,
            max_line_size=_NO_LIMIT,
            max_field_size=_NO_LIMIT,
            max_headers=_NO_LIMIT,
            keepalive_timeout=_KEEP_ALIVE_S,
            access_log=None,
            **options,
        )
        self._handler = handler
        self._clock = clock
        self._count = count
        self.limits = limits
        self.memory = memory
        self.max_connections = max_connections
        self.refusal_headers = refusal_headers
        self.closed: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._connections)

    def __bool__(self) -> bool:
        return True

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of a new connection, which may be refused."""
        if not self.make_room():
            return RefusedConnection()
        return self.accept()

    def accept(self) -> InboundConnection:
        """Return the protocol of a new connection that is served."""
        return InboundConnection(self, loop=self._loop, **self._kwargs)

    def now_ms(self) -> int:
        """Return the time of the server's clock."""
        return self._clock.now_ms()

    async def run(self) -> None:
        """Close connections whose clients take too long, until cancelled."""
        await run_checks(self._clock, (self,))

    def check_connections(self) -> None:
        """Close connections whose clients have taken too long."""
        now_ms, limits = self._clock.now_ms(), self.limits()
        for connection in self.connections:
            connection.check(now_ms, limits)

    def make_room(self) -> bool:
        """Return whether there is room for one more connection, or make it.

        A connection gives way on which no request has been read that is not answered:
        first one that has yet to complete its first request or the next one, then an
        idle one whose client may use it again; of these, the one that waits longest.
        """
        if len(self._connections) < self.max_connections:
            return True
        candidates = [each for each in self._connections if each.may_give_way]
        if not candidates:
            self.on_closed("no_room", None)
            return False
        oldest = min(
            candidates, key=lambda each: (each.has_completed_request, each.since_ms)
        )
        self.on_closed("made_room", oldest)
        self._connections.pop(oldest, None)
        oldest.reset()
        return True

    def close_idle(self) -> None:
        """Close the connections on which no request is arriving or being served."""
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()

    def on_refused(self, refusal: Refusal, connection: InboundConnection) -> None:
        """Count and log a refusal before a request was passed on."""
        self.on_closed(refusal.label, connection)

    def on_idle(self) -> None:
        """Count an idle connection that this process closes, as clients expect."""
        self.closed["idle"] += 1
        self._count("idle")

    def on_closed(self, reason: str, connection: InboundConnection | None) -> None:
        """Count and log a connection that this process closes, and why."""
        self.closed[reason] += 1
        self._count(reason)
        address = connection.peername if connection is not None else None
        fields = {"reason": reason, "address": str(address)}
        log.info(
            "inbound: connection closed: %s",
            reason,
            extra={"fields": fields, **PER_REQUEST},
        )

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        connection = connection_of(request)
        connection.begin_request()
        try:
            return await self._handler(request)
        finally:
            connection.end_request()


async def run_checks(clock: Clock, servers: Collection[InboundServer]) -> None:
    """Check the connections of servers regularly, until cancelled.

    If this process stood still or is behind, what clients have sent meanwhile is not
    read yet. One check is left out then, so that it is read first.
    """
    was_left_out = False
    while True:
        began_ms = clock.now_ms()
        await clock.sleep_ms(_CHECK_PERIOD_MS)
        late_ms = clock.now_ms() - began_ms - _CHECK_PERIOD_MS
        was_left_out = late_ms > _MAX_LATE_MS and not was_left_out
        if not was_left_out:
            for server in servers:
                server.check_connections()
