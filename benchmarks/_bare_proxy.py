"""A minimal aiohttp proxy, the baseline for the cost of a node."""

import sys

import aiohttp
from aiohttp import web

_SESSION: web.AppKey[aiohttp.ClientSession] = web.AppKey(
    "session", aiohttp.ClientSession
)


async def _open_session(app: web.Application):
    connector = aiohttp.TCPConnector(limit=2_000)
    app[_SESSION] = aiohttp.ClientSession(connector=connector)
    yield
    await app[_SESSION].close()


def build_app(target: str) -> web.Application:
    """Return an application that forwards every request to ``target``."""

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        async with request.app[_SESSION].post(target, data=body) as answer:
            response = web.StreamResponse()
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    app = web.Application()
    app.cleanup_ctx.append(_open_session)
    app.router.add_post("/v1/completions", handle)
    return app


if __name__ == "__main__":
    web.run_app(
        build_app(sys.argv[2]),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
    )
