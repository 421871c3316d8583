"""An engine that sends 20 fixed pieces, to measure the processes in front of it."""

import asyncio
import sys

import msgspec
from aiohttp import web

from fireflyward.upstreams._engine_http import GenerateBody, LoadBody, StreamLine

TOKENS = 20
GAP_MS: web.AppKey[float] = web.AppKey("gap_ms", float)


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
        await asyncio.sleep(request.app[GAP_MS] / 1_000)
    await response.write_eof()
    return response


async def _load(request: web.Request) -> web.Response:
    body = LoadBody(0, 0, 0, 4096, {"clauses": "v1"}, False, "1", 0)
    return web.Response(body=msgspec.json.encode(body))


def build_app(gap_ms: float) -> web.Application:
    """Return the engine's application, which waits ``gap_ms`` after each token."""
    app = web.Application()
    app[GAP_MS] = gap_ms
    app.router.add_post("/v1/completions", _generate)
    app.router.add_get("/load", _load)
    return app


if __name__ == "__main__":
    web.run_app(
        build_app(float(sys.argv[2]) if len(sys.argv) > 2 else 0.0),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
    )
