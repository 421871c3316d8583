"""An HTTP server for the engine stand-in; docs/PLATFORM.md has the interface."""

import msgspec
from aiohttp import web

from fireflyward.clock import Clock
from fireflyward.upstreams import EngineCall, Refused
from fireflyward.upstreams._engine_http import (
    CancelBody,
    GenerateBody,
    LoadBody,
    RefusalBody,
    StreamLine,
)

from ._engine_kv_server import EngineKvRoutes
from ._engine_model import EngineModel, EngineRun
from ._engine_order_server import EngineOrderRoutes
from ._engine_orders import EngineOrders
from ._fault_injection import FaultInjector
from ._http_server import HttpServer

_KEEP_ALIVE_MS = 500
_STEP_MS = 2


class EngineServer(HttpServer):
    """Serves one ``EngineModel``; ``faults`` affect its connections."""

    def __init__(
        self,
        model: EngineModel,
        *,
        orders: EngineOrders | None = None,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        super().__init__(port=port)
        self.model = model
        self._clock = clock or Clock()
        self.kv = EngineKvRoutes(model, self._clock)
        self.fault_injector = FaultInjector(self._clock)
        self.faults = self.fault_injector.faults
        self.orders = orders or EngineOrders(model)

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/v1/completions", self._generate)
        app.router.add_get("/v1/runs/{run_id}", self._resume)
        app.router.add_delete("/v1/runs/{run_id}", self._cancel)
        app.router.add_get("/load", self._load)
        self.kv.add_to(app)
        EngineOrderRoutes(self.orders, self._clock).add_to(app)
        return app

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=GenerateBody)
        call = EngineCall(
            body.run_id,
            body.model,
            body.version,
            body.prompt,
            body.max_tokens,
            body.adapter,
            body.priority,
            tuple(body.block_keys),
        )
        await self.fault_injector.on_request()
        result = self.model.submit(self._clock.now_ms(), call)
        if isinstance(result, Refused):
            refusal = RefusalBody(
                result.reason, result.detail, result.retry_after_ms, call.run_id
            )
            return web.Response(status=409, body=msgspec.json.encode(refusal))
        await self.fault_injector.on_submitted()
        return await self._answer(request, self.model.run_by_id[call.run_id], 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        await self.fault_injector.on_read()
        run = self.model.run_by_id.get(request.match_info["run_id"])
        if run is None or run.cancelled:
            return web.Response(status=404, body=b"{}")
        return await self._answer(request, run, int(request.query.get("offset", "0")))

    async def _cancel(self, request: web.Request) -> web.Response:
        await self.fault_injector.on_read()
        state = self.model.cancel(self._clock.now_ms(), request.match_info["run_id"])
        return web.Response(body=msgspec.json.encode(CancelBody(state)))

    async def _load(self, request: web.Request) -> web.Response:
        await self.fault_injector.on_read()
        now_ms = self._clock.now_ms()
        self.orders.state(now_ms)
        report = self.model.report(now_ms)
        body = LoadBody(
            report.queued,
            report.running,
            report.queued_prefill_tokens,
            report.free_blocks,
            report.version_by_model,
            report.leaving,
            report.epoch,
            report.age_ms,
        )
        return web.Response(body=msgspec.json.encode(body))

    async def _answer(
        self, request: web.Request, run: EngineRun, sent: int
    ) -> web.StreamResponse:
        """Stream a run until the client disconnects; the run itself continues."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        try:
            return await self._stream(request, response, run, sent)
        except ConnectionResetError:
            return response

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: EngineRun,
        sent: int,
    ) -> web.StreamResponse:
        """Send a run's tokens as they are generated, then the end marker."""
        run_id = await self.fault_injector.on_stream(run.call.run_id)
        first = StreamLine(
            version=run.call.version, cached_tokens=run.cached_tokens, run_id=run_id
        )
        await _send(response, first)
        last_sent_ms = self._clock.now_ms()
        while sent < run.call.max_tokens and not run.cancelled:
            if await self.fault_injector.should_cut(sent):
                request.transport.close()
                return response
            now_ms = self._clock.now_ms()
            generated = self.model.tokens_ready(now_ms, run)
            ready = self.fault_injector.sendable(sent, generated)
            if ready > sent:
                text = run.answer.text(sent, ready)
                line = StreamLine(sent, ready - sent, text, run_id=run_id)
                await _send(response, line)
                sent, last_sent_ms = ready, now_ms
            elif now_ms - last_sent_ms >= _KEEP_ALIVE_MS:
                await response.write(b": waiting\n\n")
                last_sent_ms = now_ms
            await self._clock.sleep_ms(_STEP_MS)
        if not run.cancelled:
            await self._send_end(response, run)
        return response

    async def _send_end(self, response: web.StreamResponse, run: EngineRun) -> None:
        usage = self.model.usage(run)
        line = StreamLine(
            done=True,
            prompt_tokens=usage.prompt_tokens,
            completion_tokens=usage.completion_tokens,
            cached_tokens=usage.cached_tokens,
            run_id=run.call.run_id,
        )
        await _send(response, line)
        await response.write_eof()


async def _send(response: web.StreamResponse, line: StreamLine) -> None:
    await response.write(b"data: %s\n\n" % msgspec.json.encode(line))
