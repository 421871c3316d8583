"""The orders of the engine stand-in over HTTP."""

import msgspec
from aiohttp import web

from fireflyward.clock import Clock
from fireflyward.upstreams import Broken, EngineOrder, OrderRefused, OrderResult

from ._engine_orders import EngineOrders

_JSON = "application/json"


class EngineOrderRoutes:
    """Serves ``EngineOrders``; instead of a lost answer it closes the connection."""

    def __init__(self, orders: EngineOrders, clock: Clock) -> None:
        self._orders = orders
        self._clock = clock

    def add_to(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post("/v1/orders", self._handle_order)
        app.router.add_get("/v1/state", self._state)

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=EngineOrder)
        return _respond(request, self._orders.handle_order(self._clock.now_ms(), order))

    async def _state(self, request: web.Request) -> web.Response:
        return _respond(request, self._orders.state(self._clock.now_ms()))


def _respond(request: web.Request, result: OrderResult) -> web.Response:
    if isinstance(result, Broken):
        request.transport.close()
        return web.Response(status=504)
    status = 409 if isinstance(result, OrderRefused) else 200
    body = msgspec.json.encode(result)
    return web.Response(status=status, body=body, content_type=_JSON)
