"""The HTTP server for the balancer's readiness checks and for metrics."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web_server
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from fireflyward.clock import Clock
from fireflyward.observe import Metrics
from fireflyward.platform import READINESS_PATH
from fireflyward.supervision import describe_error, listen_when_free

from ._callers import address_of

log = logging.getLogger("fireflyward.process")

_METRICS_RETRY_MS = 5_000
_METRICS_PATH = "/metrics"
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
        self._servers: list[web_server.Server] = []

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

    async def close(self) -> None:
        """Close the listeners and all connections."""
        for listener in self._listeners:
            listener.close()
        for server in self._servers:
            server.pre_shutdown()
            await server.shutdown(0)

    async def _open_listener(self, address: str, handler: _Handler) -> str:
        host, _, port = address.rpartition(":")
        server = web_server.Server(handler, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, host, int(port))
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
