"""An engine that costs nothing: 20 pieces at once, for measuring what is before it."""

import asyncio
import sys

import msgspec
from aiohttp import web

from fireflyward.upstreams._engine_http import GenerateBody, LoadBody, StreamLine

TOKENS = 20


def _lines(run_id: str) -> list[bytes]:
    lines = [StreamLine(version="v1", run_id=run_id)]
    lines += [StreamLine(index, 1, "token ", run_id=run_id) for index in range(TOKENS)]
    end = StreamLine(
        done=True, prompt_tokens=4, completion_tokens=TOKENS, run_id=run_id
    )
    return [b"data: %s\n\n" % msgspec.json.encode(line) for line in [*lines, end]]


async def _generate(request: web.Request) -> web.StreamResponse:
    body = msgspec.json.decode(await request.read(), type=GenerateBody)
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    for line in _lines(body.run_id):
        await response.write(line)
        await asyncio.sleep(0)
    await response.write_eof()
    return response


async def _load(request: web.Request) -> web.Response:
    body = LoadBody(0, 0, 0, 4096, {"clauses": "v1"}, False, "1", 0)
    return web.Response(body=msgspec.json.encode(body))


def build_app() -> web.Application:
    """Return the engine's application."""
    app = web.Application()
    app.router.add_post("/v1/completions", _generate)
    app.router.add_get("/load", _load)
    return app


if __name__ == "__main__":
    web.run_app(
        build_app(),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
    )
