"""An HTTP server for the store stand-in; docs/platform/store.md has the interface."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from fireflyward.clock import Clock
from fireflyward.kept import AppliedRefs, BlockRef, Fenced, ListQuery, Reserved
from fireflyward.kept._store_http import (
    FENCED_STATUS,
    MISS_STATUS,
    DescribeBody,
    FenceBody,
    FreeBody,
    MissBody,
    RefsBody,
    ReserveBody,
)
from fireflyward.upstreams import Miss

from ._http_server import HttpServer
from ._store_model import StoreModel

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_UNAVAILABLE_STATUS = 503
_LOST_STATUS = 504


class StoreServer(HttpServer):
    """Serves one ``StoreModel``, with the same faults as ``MemoryStore``."""

    def __init__(
        self, model: StoreModel, *, clock: Clock | None = None, port: int = 0
    ) -> None:
        super().__init__(port=port)
        self.model = model
        self._clock = clock or Clock()

    def build_app(self) -> web.Application:
        model = self.model
        app = web.Application(client_max_size=64 << 20, middlewares=[self._with_faults])
        routes = (
            ("/reserve", ReserveBody, self._reserve),
            ("/seal", RefsBody, lambda body: model.seal(body.refs)),
            ("/publish", RefsBody, lambda body: model.publish(body.refs)),
            ("/abandon", RefsBody, lambda body: model.abandon(body.refs)),
            ("/describe", DescribeBody, lambda body: model.describe(body.keys)),
            ("/fence", FenceBody, lambda body: model.raise_fence(body.fencing)),
            ("/free", FreeBody, self._free),
            ("/list", ListQuery, model.list),
        )
        for path, body_type, handle_body in routes:
            app.router.add_post(path, _json_handler(body_type, handle_body))
        app.router.add_put("/blocks/{slot}/{generation}/{key}", self._write)
        app.router.add_get("/blocks/{slot}/{generation}/{key}", self._read)
        app.router.add_get("/unfinished", self._unfinished)
        app.router.add_get("/room", self._usage)
        app.router.add_get("/coldest", self._coldest)
        return app

    def _reserve(self, body: ReserveBody) -> Reserved:
        return self.model.reserve(self._now_ms(), body.wanted)

    def _free(self, body: FreeBody) -> AppliedRefs | Fenced:
        return self.model.free(body.refs, state=body.state, fencing=body.fencing)

    def _now_ms(self) -> int:
        return self._clock.now_ms()

    @web.middleware
    async def _with_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        faults = self.model.faults
        if faults.delay_ms:
            await self._clock.sleep_ms(faults.delay_ms)
        if faults.unavailable:
            return web.Response(status=_UNAVAILABLE_STATUS)
        response = await handler(request)
        if faults.lose_answers:
            faults.lose_answers -= 1
            return web.Response(status=_LOST_STATUS)
        return response

    async def _write(self, request: web.Request) -> web.Response:
        ref = _ref_of(request, self.model.name)
        result = self.model.write(ref, await request.read())
        if result.refs:
            await self._clock.sleep_ms(self.model.transfer_ms(self._now_ms(), ref))
        return _json(result)

    async def _read(self, request: web.Request) -> web.Response:
        ref = _ref_of(request, self.model.name)
        wait_ms = self.model.transfer_ms(self._now_ms(), ref)
        result = self.model.read(ref)
        if isinstance(result, Miss):
            return _json(MissBody(result.reason), MISS_STATUS)
        self.model.record_read(self._now_ms(), ref)
        await self._clock.sleep_ms(wait_ms)
        return web.Response(body=result, content_type="application/octet-stream")

    async def _usage(self, request: web.Request) -> web.Response:
        return _json(self.model.usage())

    async def _coldest(self, request: web.Request) -> web.Response:
        limit = int(request.query["limit"])
        return _json(self.model.coldest(self._now_ms(), limit))

    async def _unfinished(self, request: web.Request) -> web.Response:
        min_age_ms = int(request.query["min_age_ms"])
        return _json(self.model.unfinished(self._now_ms(), min_age_ms))


def _json_handler(body_type: Any, handle_body: Callable[[Any], object]) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=body_type)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return web.Response(status=400)
        result = handle_body(body)
        if isinstance(result, Fenced):
            return _json(FenceBody(result.highest), FENCED_STATUS)
        return _json(result)

    return handle


def _ref_of(request: web.Request, store: str) -> BlockRef:
    info = request.match_info
    return BlockRef(info["key"], store, int(info["slot"]), int(info["generation"]))


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
