"""An HTTP server for the platform's four services, on one port."""

import msgspec
from aiohttp import web

from fireflyward.backing import Conflict, Missing, Row, Unavailable, Uncertain
from fireflyward.backing._http import (
    CommitBody,
    RowBody,
    VersionsBody,
    VmBody,
    VmListBody,
)

from ._http_server import HttpServer
from ._platform_memory import MemoryObjects, MemoryTable, MemoryVms, MemoryWeights


class PlatformServer(HttpServer):
    """Serves the in-memory table, object store, weight store and VM list."""

    def __init__(
        self,
        *,
        table: MemoryTable | None = None,
        objects: MemoryObjects | None = None,
        weights: MemoryWeights | None = None,
        vms: MemoryVms | None = None,
        port: int = 0,
    ) -> None:
        super().__init__(port=port)
        self.table = table or MemoryTable()
        self.objects = objects or MemoryObjects()
        self.weights = weights or MemoryWeights({})
        self.vms = vms or MemoryVms()

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/rows", self._get_row)
        app.router.add_get("/scan", self._scan)
        app.router.add_post("/commit", self._commit)
        app.router.add_get("/objects/{name:.+}", self._get_object)
        app.router.add_put("/objects/{name:.+}", self._put_object)
        app.router.add_get("/weights", self._get_weights)
        app.router.add_get("/vms", self._get_vms)
        return app

    async def _get_row(self, request: web.Request) -> web.Response:
        row = await self.table.get(request.query["key"])
        if isinstance(row, Unavailable):
            return _unavailable()
        if isinstance(row, Missing):
            return web.Response(status=404)
        return _json(_row_body(row))

    async def _scan(self, request: web.Request) -> web.Response:
        rows = await self.table.scan(request.query["prefix"])
        if isinstance(rows, Unavailable):
            return _unavailable()
        return _json([_row_body(row) for row in rows])

    async def _commit(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=CommitBody)
        result = await self.table.commit(
            expected=body.expected, puts=body.puts, deletes=tuple(body.deletes)
        )
        if isinstance(result, Unavailable):
            return _unavailable()
        if isinstance(result, Uncertain):
            return web.Response(status=504)
        status = 409 if isinstance(result, Conflict) else 200
        return _json(VersionsBody(result.version_by_key), status)

    async def _get_object(self, request: web.Request) -> web.Response:
        body = await self.objects.get(request.match_info["name"])
        if isinstance(body, Unavailable):
            return _unavailable()
        if isinstance(body, Missing):
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        result = await self.objects.put(name, await request.read())
        return (
            _unavailable()
            if isinstance(result, Unavailable)
            else web.Response(status=200)
        )

    async def _get_weights(self, request: web.Request) -> web.Response:
        versions = await self.weights.versions()
        return _unavailable() if isinstance(versions, Unavailable) else _json(versions)

    async def _get_vms(self, request: web.Request) -> web.Response:
        found = await self.vms.list()
        if isinstance(found, Unavailable):
            return _unavailable()
        entries = [
            VmBody(entry.name, entry.state, entry.failure_domain, entry.address)
            for entry in found.entries
        ]
        return _json(VmListBody(entries, found.as_of_ms))


def _unavailable() -> web.Response:
    return web.Response(status=503)


def _row_body(row: Row) -> RowBody:
    return RowBody(row.key, row.value, row.version)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
