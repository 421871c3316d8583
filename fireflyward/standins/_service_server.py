"""A plain service that remembers every call, so that doubles can be counted."""

from collections import Counter

from aiohttp import web

from ._http_server import HttpServer


class ServiceServer(HttpServer):
    """Answers any call with its method, path and body, and counts run ids."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port=port)
        self.times_by_run: Counter[str] = Counter()
        self.bodies: list[bytes] = []

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.times_by_run[request.headers.get("X-Run-Id", "")] += 1
        self.bodies.append(body)
        head = f"{request.method} {request.path}\n".encode()
        return web.Response(body=head + body, content_type="text/plain")
