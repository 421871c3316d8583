"""The aiohttp application of an entry VM."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from fireflyward.outcomes import NotRun, Reason, Unknown

from . import _completions, _services
from ._bundle_check import refuse_while_behind
from ._context import JSON, PARTS, REQUEST_ID, EntryParts, new_request_id, refuse
from ._errors import headers_of
from ._identity import identify
from ._in_flight import close_connection, write_whole
from ._requests import ModelEntry, ModelsBody

log = logging.getLogger("fireflyward.entry")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(parts: EntryParts) -> web.Application:
    """Return the application that serves callers by ``parts``."""
    app = web.Application(
        client_max_size=parts.request_limit_bytes,
        middlewares=[_count_in_flight, _refuse_in_form, refuse_while_behind],
    )
    app[PARTS] = parts
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
        app.router.add_route(method, path, handler, expect_handler=_on_expect)
    return app


async def _on_expect(request: web.Request) -> web.Response | None:
    """Tell a caller that waits for it to go on with its body.

    The library repeats any other expectation in its refusal; one that is not valid
    text then ends as a status 500, as if the node were at fault.
    """
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
        return None
    outcome = NotRun(Reason.BAD_REQUEST, "Expect: only 100-continue")
    return refuse(request, outcome, new_request_id())


@web.middleware
async def _count_in_flight(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    in_flight = request.app[PARTS].in_flight
    request_id = request[REQUEST_ID] = new_request_id()
    in_flight.enter(request_id, f"{request.method} {request.path}")
    try:
        response = await handler(request)
        await write_whole(request, response)
        return response
    finally:
        in_flight.leave(request_id)


async def _close_when_stopping(
    request: web.Request, response: web.StreamResponse
) -> None:
    if request.app[PARTS].in_flight.is_closing:
        close_connection(response)


@web.middleware
async def _refuse_in_form(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Give the library's own refusals (404, 405, 413) the form of the others."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        outcome = NotRun(Reason.TOO_LARGE, "the body is larger than this node reads")
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
        outcome = Unknown(Reason.INTERNAL, "this node failed; it may have run")
    return refuse(request, outcome, new_request_id())


async def _handle_unknown(request: web.Request) -> web.Response:
    """Refuse what no route takes, telling an unknown path from a wrong method."""
    for resource in request.app.router.resources():
        _, allowed_methods = await resource.resolve(request)
        if allowed_methods and "*" not in allowed_methods:
            raise web.HTTPMethodNotAllowed(request.method, allowed_methods)
    raise web.HTTPNotFound


async def _handle_models(request: web.Request) -> web.Response:
    identity = identify(request)
    if isinstance(identity, NotRun):
        return refuse(request, identity, new_request_id())
    bundle = request.app[PARTS].holder.bundle
    entries = []
    for name in bundle.models_of(identity.account, identity.caller_name):
        entries.append(ModelEntry(name))
        adapters = bundle.adapters_of(identity.account, name)
        entries.extend(ModelEntry(f"{name}:{adapter}") for adapter in adapters)
    return web.Response(
        body=msgspec.json.encode(ModelsBody(entries)),
        headers=headers_of("answered", identity.request_id, identity.bundle_number),
        content_type=JSON,
    )


async def _handle_health(request: web.Request) -> web.Response:
    return web.Response(text="alive\n")


async def _handle_ready(request: web.Request) -> web.Response:
    ready = request.app[PARTS].ready()
    return web.Response(
        status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
    )


async def _handle_metrics(request: web.Request) -> web.Response:
    return web.Response(text=request.app[PARTS].metrics.text())
