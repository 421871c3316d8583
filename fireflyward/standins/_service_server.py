"""A plain service that records every call, so that repeated calls can be counted."""

from collections import Counter

from aiohttp import web

from fireflyward.clock import Clock

from ._fault_injection import ServiceFaults, hang
from ._http_server import HttpServer


class ServiceServer(HttpServer):
    """Answers any call with its method, path and body, and counts calls by run id."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port=port)
        self.times_by_run: Counter[str] = Counter()
        self.bodies: list[bytes] = []
        self.faults = ServiceFaults()

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.consume("lost_requests"):
            await hang()
        run_id = request.headers.get("X-Run-Id", "")
        if self.faults.consume("refusals"):
            headers = {"X-Not-Run": "1", "X-Run-Id": run_id}
            return web.Response(status=503, headers=headers)
        self.times_by_run[run_id] += 1
        self.bodies.append(body)
        if self.faults.consume("lost_answers"):
            await hang()
        if self.faults.consume("redirects"):
            return web.Response(status=307, headers={"Location": request.path})
        if self.faults.delay_ms:
            await Clock().sleep_ms(self.faults.delay_ms)
        if self.faults.consume("crossed_replies"):
            run_id = "another"
        head = f"{request.method} {request.path}\n".encode()
        return web.Response(
            body=head + body,
            content_type="text/plain",
            headers={"X-Run-Id": run_id},
        )
