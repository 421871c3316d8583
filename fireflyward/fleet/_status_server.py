"""The HTTP server for the balancer's readiness checks and for metrics."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web_server
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from fireflyward.observe import Metrics
from fireflyward.platform import READINESS_PATH

from ._callers import address_of

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
        is_ready: Callable[[], bool],
        update_gauges: Callable[[], None],
    ) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        self._update_gauges = update_gauges
        self._listeners: list[asyncio.Server] = []
        self._servers: list[web_server.Server] = []

    async def listen(self, readiness_address: str, metrics_address: str) -> str:
        """Listen at both addresses; return the readiness address with the real port."""
        address = await self._open_listener(readiness_address, self._serve_readiness)
        await self._open_listener(metrics_address, self._serve_metrics)
        return address

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
