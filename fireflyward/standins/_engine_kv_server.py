"""The KV calls of the engine stand-in over HTTP; it reads from the stores itself."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec
from aiohttp import web

from fireflyward.clock import Clock
from fireflyward.kept import HttpStore, StoreClient
from fireflyward.upstreams import ExportOrder, ImportOrder

from ._engine_kv import EngineKv
from ._engine_model import EngineModel

_JSON = "application/json"


class EngineKvRoutes:
    """Serves ``EngineKv`` and owns the HTTP session to the stores."""

    def __init__(self, model: EngineModel, clock: Clock) -> None:
        self.kv = EngineKv(
            model, clock, self._store_client, model.costs.import_ms_per_block
        )
        self._session: aiohttp.ClientSession | None = None

    def add_to(self, app: web.Application) -> None:
        """Add the routes, and a session that is open while the application runs."""
        app.router.add_post("/kv/export", self._export)
        app.router.add_post("/kv/import", self._import)
        app.router.add_get("/kv/events", self._events)
        app.cleanup_ctx.append(self._open_session)

    async def _open_session(self, app: web.Application) -> AsyncIterator[None]:
        async with aiohttp.ClientSession() as self._session:
            yield

    def _store_client(self, name: str, url: str) -> StoreClient:
        return HttpStore(self._session, name, url)

    async def _export(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ExportOrder)
        return _json(await self.kv.export_blocks(order))

    async def _import(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ImportOrder)
        return _json(await self.kv.import_blocks(order))

    async def _events(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        stride = int(request.query.get("stride", "1"))
        return _json(await self.kv.cache_events(after, stride=stride))


def _json(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type=_JSON)
