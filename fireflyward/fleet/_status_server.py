"""The HTTP server for the balancer's readiness checks and for metrics."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from fireflyward.clock import Clock
from fireflyward.deployment import Limits
from fireflyward.inbound import (
    ConnectionMemory,
    InboundServer,
    open_listener,
    run_checks,
)
from fireflyward.observe import Metrics
from fireflyward.platform import READINESS_PATH
from fireflyward.supervision import describe_error, listen_when_free

from ._callers import address_of

log = logging.getLogger("fireflyward.process")

_METRICS_RETRY_MS = 5_000
_METRICS_PATH = "/metrics"
# Checks come once a second from a few addresses, with short heads.
_MAX_CONNECTIONS = 64
_HELD_BYTES = 1 << 20
_LIMITS = Limits(
    max_header_bytes=16_384, header_timeout_ms=3_000, idle_timeout_ms=15_000
)
_Handler = Callable[[BaseRequest], Awaitable[Response]]


class StatusServer:
    """Serves readiness and metrics, each at its own address.

    ``update_gauges`` updates the gauges before the metrics are read.
    """

    def __init__(
        self,
        metrics: Metrics,
        *,
        clock: Clock,
        is_ready: Callable[[], bool],
        update_gauges: Callable[[], None],
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._is_ready = is_ready
        self._update_gauges = update_gauges
        self._listeners: list[asyncio.Server] = []
        self._servers: list[InboundServer] = []

    async def listen_for_readiness(self, address: str) -> str:
        """Return the address with the real port; raise ``CannotListen``."""
        return await listen_when_free(
            "readiness",
            address,
            lambda: self._open_listener(address, self._serve_readiness),
            clock=self._clock,
        )

    async def listen_for_metrics(self, address: str) -> None:
        """Serve metrics as soon as the address is free, however long it takes."""
        is_first = True
        while True:
            try:
                await self._open_listener(address, self._serve_metrics)
            except OSError as error:
                if is_first:
                    reason = describe_error(error)
                    log.error(
                        "process: cannot serve metrics at %s: %s", address, reason
                    )
                is_first = False
                await self._clock.sleep_ms(_METRICS_RETRY_MS)
            else:
                return

    async def run(self) -> None:
        """Close connections whose clients take too long, until cancelled."""
        await run_checks(self._clock, self._servers)

    async def close(self) -> None:
        """Close the listeners and all connections."""
        for listener in self._listeners:
            listener.close()
        for server in self._servers:
            server.pre_shutdown()
            await server.shutdown(0)

    async def _open_listener(self, address: str, handler: _Handler) -> str:
        host, _, port = address.rpartition(":")
        server = InboundServer(
            handler,
            clock=self._clock,
            limits=lambda: _LIMITS,
            memory=ConnectionMemory(_HELD_BYTES),
            max_connections=_MAX_CONNECTIONS,
            count=lambda reason: self._metrics.count(
                "status_connections_closed_total", reason=reason
            ),
        )
        listener = await open_listener(server, host, int(port))
        self._listeners.append(listener)
        self._servers.append(server)
        return address_of(listener)

    async def _serve_readiness(self, request: BaseRequest) -> Response:
        if request.path != READINESS_PATH:
            return Response(status=404)
        return Response(status=200 if self._is_ready() else 503)

    async def _serve_metrics(self, request: BaseRequest) -> Response:
        if request.path != _METRICS_PATH:
            return Response(status=404)
        self._update_gauges()
        return Response(text=self._metrics.text())
