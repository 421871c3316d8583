"""Serves an aiohttp application with the bounds of this package."""

import asyncio
import contextlib
import ssl
from typing import Any

from aiohttp import web

from fireflyward.clock import Clock

from ._listener import ACCEPTS_AT_ONCE, bind, limit_buffers, restore_backlog
from ._server import InboundServer


class InboundAppRunner(web.AppRunner):
    """An ``AppRunner`` whose connections are bounded.

    ``bounds`` are the keyword arguments of ``InboundServer``.
    """

    def __init__(self, app: web.Application, *, clock: Clock, **bounds: Any) -> None:
        super().__init__(app)
        self._clock = clock
        self._bounds = bounds
        self._checks: asyncio.Task[None] | None = None

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        server = InboundServer(
            plain.request_handler,
            clock=self._clock,
            request_factory=plain.request_factory,
            **self._bounds,
        )
        self._checks = asyncio.create_task(server.run(), name="inbound connections")
        return server

    async def listen(
        self, host: str, port: int, *, ssl_context: ssl.SSLContext | None = None
    ) -> int:
        """Accept connections and return the port; raise ``OSError``."""
        raw = bind(host, port)
        try:
            limit_buffers(raw)
            site = web.SockSite(
                self, raw, ssl_context=ssl_context, backlog=ACCEPTS_AT_ONCE
            )
            await site.start()
        except BaseException:
            raw.close()
            raise
        restore_backlog(raw)
        return self.addresses[0][1]

    async def cleanup(self) -> None:
        """Close the port and all connections."""
        await super().cleanup()
        if self._checks is not None:
            self._checks.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._checks
