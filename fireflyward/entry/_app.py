"""The aiohttp application of an entry VM."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from fireflyward.inbound import connection_of, has_queued_request
from fireflyward.outcomes import NotRun, Reason, Unknown

from . import _completions, _services
from ._body import MEMORY
from ._bundle_check import reject_if_behind
from ._context import (
    CONTEXT,
    JSON_CONTENT_TYPE,
    REQUEST_ID,
    EntryContext,
    new_request_id,
    reject,
)
from ._errors import headers_of
from ._identity import identify
from ._in_flight import close_connection, write_response
from ._requests import ModelEntry, ModelsBody

log = logging.getLogger("fireflyward.entry")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(context: EntryContext) -> web.Application:
    """Return the application that serves callers."""
    app = web.Application(
        client_max_size=min(
            context.request_limit_bytes, context.memory.largest_request_bytes
        ),
        middlewares=[_track_in_flight, _convert_errors, reject_if_behind],
    )
    app[CONTEXT] = context
    app.on_response_prepare.append(_close_when_stopping)
    for method, path, handler in (
        ("POST", "/v1/completions", _completions.handle_completion),
        ("POST", "/v1/chat/completions", _completions.handle_chat),
        ("GET", "/v1/models", _handle_models),
        ("*", "/services/{name}/{path:.*}", _services.handle_service),
        ("GET", "/healthz", _handle_health),
        ("GET", "/readyz", _handle_ready),
        ("GET", "/metrics", _handle_metrics),
        ("*", "/{path:.*}", _handle_unknown),
    ):
        app.router.add_route(method, path, handler, expect_handler=_handle_expect)
    return app


async def _handle_expect(request: web.Request) -> web.Response | None:
    """Answer ``Expect: 100-continue``, and reject any other expectation.

    aiohttp would repeat another expectation in its response. If that is not valid
    text, the response becomes a status 500, as if the node had failed.
    """
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
        return None
    outcome = NotRun(Reason.BAD_REQUEST, "Expect: only 100-continue is supported")
    return reject(request, outcome, new_request_id())


@web.middleware
async def _track_in_flight(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    in_flight = request.app[CONTEXT].in_flight
    request_id = request[REQUEST_ID] = new_request_id()
    in_flight.enter(request_id, f"{request.method} {request.path}")
    try:
        with request.app[CONTEXT].memory.request() as request[MEMORY]:
            response = await handler(request)
            await write_response(request, response)
            return response
    finally:
        in_flight.leave(request_id)


async def _close_when_stopping(
    request: web.Request, response: web.StreamResponse
) -> None:
    is_closing = request.app[CONTEXT].in_flight.is_closing
    is_last = is_closing and not has_queued_request(request)
    if is_last or connection_of(request).must_close:
        close_connection(response)


@web.middleware
async def _convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert aiohttp's own errors (404, 405, 413) and failures to error bodies."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        outcome = NotRun(
            Reason.TOO_LARGE, "the body exceeds the size limit of this node"
        )
    except web.HTTPNotFound:
        outcome = NotRun(Reason.UNKNOWN_ROUTE, f"no route {request.path}")
    except web.HTTPMethodNotAllowed:
        outcome = NotRun(Reason.BAD_REQUEST, f"{request.method} is not allowed here")
    except web.HTTPException:
        raise
    except (ConnectionError, asyncio.CancelledError):
        raise
    except Exception:
        log.exception("entry: %s %s failed", request.method, request.path)
        outcome = Unknown(
            Reason.INTERNAL, "internal error of this node; the request may have run"
        )
    return reject(request, outcome, new_request_id())


async def _handle_unknown(request: web.Request) -> web.Response:
    """Reject a request without a route: an unknown path or a wrong method."""
    for resource in request.app.router.resources():
        _, allowed_methods = await resource.resolve(request)
        if allowed_methods and "*" not in allowed_methods:
            raise web.HTTPMethodNotAllowed(request.method, allowed_methods)
    raise web.HTTPNotFound


async def _handle_models(request: web.Request) -> web.Response:
    identity = identify(request)
    if isinstance(identity, NotRun):
        return reject(request, identity, new_request_id())
    bundle = request.app[CONTEXT].holder.bundle
    entries = []
    for name in bundle.models_of(identity.account, identity.caller_name):
        entries.append(ModelEntry(name))
        adapters = bundle.adapters_of(identity.account, name)
        entries.extend(ModelEntry(f"{name}:{adapter}") for adapter in adapters)
    return web.Response(
        body=msgspec.json.encode(ModelsBody(entries)),
        headers=headers_of("answered", identity.request_id, identity.bundle_number),
        content_type=JSON_CONTENT_TYPE,
    )


async def _handle_health(request: web.Request) -> web.Response:
    return web.Response(text="alive\n")


async def _handle_ready(request: web.Request) -> web.Response:
    ready = request.app[CONTEXT].is_ready()
    return web.Response(
        status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
    )


async def _handle_metrics(request: web.Request) -> web.Response:
    return web.Response(text=request.app[CONTEXT].metrics.text())
