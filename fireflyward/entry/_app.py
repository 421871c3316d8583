"""The aiohttp application of an entry VM."""

import asyncio
import logging
import re
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec
from aiohttp import web

from fireflyward.bundles import Account, BundleHolder
from fireflyward.clock import Clock
from fireflyward.connections import SilenceLimits
from fireflyward.kept import BlockNames, PrefixTexts
from fireflyward.leaving import LeavingSigns
from fireflyward.limits import AdmissionGate
from fireflyward.observe import Metrics, Tracing
from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.rollout import ServingVersions
from fireflyward.routing import Router
from fireflyward.runs import Prepare, RetryBudget, RunIds, RunRecords
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import Engine, PlainService

from ._behind import refuse_while_behind
from ._errors import error_bytes, headers_of, status_of
from ._in_flight import InFlight, close_connection, write_whole
from ._requests import ModelEntry, ModelsBody

log = logging.getLogger("fireflyward.entry")

_BEARER = re.compile(r"^Bearer ([\x21-\x7e]{1,512})$")
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,200}$")
_DEADLINE = re.compile(r"^[0-9]{1,9}$", re.ASCII)
DEADLINE_HEADER = "X-Deadline-Ms"
JSON = "application/json"


async def _confirm_nothing(model: str, version: str) -> None:
    """Ask no replica: what a node without replicas does."""


@dataclass(slots=True)
class EntryParts:
    """What the HTTP interface needs of the node around it."""

    clock: Clock
    holder: BundleHolder
    router: Router
    engine_by_name: dict[str, Engine]
    service_by_name: dict[str, PlainService]
    admission: AdmissionGate
    records: RunRecords
    block_names: BlockNames
    metrics: Metrics
    tracing: Tracing
    request_limit_bytes: int
    deadline_ms: int
    ready: Callable[[], bool]
    catch_up: Callable[[int], Awaitable[bool]]
    run_ids: RunIds
    observe: StepObserver = ignore_step
    prepare: Prepare | None = None
    prefixes: PrefixTexts | None = None
    on_hint: Callable[[str, int, bool], None] = lambda run_id, blocks, session: None
    limits: SilenceLimits = SilenceLimits()
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: InFlight = field(default_factory=InFlight)
    versions: ServingVersions | None = None
    confirm_versions: Callable[[str, str], Awaitable[None]] = _confirm_nothing
    leaving: LeavingSigns = field(default_factory=LeavingSigns)


@dataclass(frozen=True, slots=True)
class Identity:
    """Who asks, under which request id, by which bundle."""

    request_id: str
    account_name: str
    caller_name: str
    account: Account
    idempotency_key: str
    is_non_idempotent: bool
    bundle_number: int
    trace_parent: str
    deadline_ms: int


PARTS: web.AppKey[EntryParts] = web.AppKey("parts", EntryParts)
ACCOUNT: web.RequestKey[str] = web.RequestKey("account", str)
REQUEST_ID: web.RequestKey[str] = web.RequestKey("request_id", str)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(parts: EntryParts) -> web.Application:
    """Return the application that serves callers by ``parts``."""
    from . import _completions, _services

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


def identify(request: web.Request) -> Identity | NotRun:
    """Tell who the caller is from its key, in time that tells nothing of keys."""
    parts = request.app[PARTS]
    if parts.holder.bundle is None:
        return NotRun(Reason.NO_BUNDLE, "this node has no bundle yet", 1_000)
    match = _BEARER.match(request.headers.get("Authorization", ""))
    found = parts.holder.account_of_key(match[1]) if match else None
    if found is None:
        return NotRun(Reason.WRONG_KEY, "the key is missing or not known")
    key = request.headers.get("Idempotency-Key", "")
    if key and not _IDEMPOTENCY_KEY.match(key):
        return NotRun(
            Reason.BAD_REQUEST, "Idempotency-Key: 1 to 200 visible characters"
        )
    deadline_ms = read_deadline(request, parts.deadline_ms)
    if isinstance(deadline_ms, NotRun):
        return deadline_ms
    account_name, caller_name, account = found
    request[ACCOUNT] = account_name
    return Identity(
        request[REQUEST_ID],
        account_name,
        caller_name,
        account,
        key,
        request.headers.get("X-Non-Idempotent", "").lower() == "true",
        parts.holder.number,
        request.headers.get("traceparent", ""),
        parts.clock.now_ms() + deadline_ms,
    )


def identify_again(request: web.Request, identity: Identity) -> Identity | NotRun:
    """Tell who the caller is by the bundle that is in force now.

    A body may take 30 s to arrive and admission as long as the caller allows. A
    request that was judged before such a wait and dispatched after it would be
    served by rules that operators replaced meanwhile, and by a model that may be
    gone. The request keeps its id and its deadline.
    """
    if request.app[PARTS].holder.number == identity.bundle_number:
        return identity
    renewed = identify(request)
    if isinstance(renewed, NotRun):
        return renewed
    return replace(
        renewed, request_id=identity.request_id, deadline_ms=identity.deadline_ms
    )


def read_deadline(request: web.Request, longest_ms: int) -> int | NotRun:
    """Return the time that the caller gives, at most ``longest_ms``."""
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text:
        return longest_ms
    if not _DEADLINE.match(text):
        detail = f"{DEADLINE_HEADER}: milliseconds from now, 1 to 9 digits"
        return NotRun(Reason.BAD_REQUEST, detail)
    return min(longest_ms, int(text))


def new_request_id() -> str:
    """Return a name for one request that no other has."""
    return uuid.uuid4().hex


def refuse(
    request: web.Request, outcome: NotRun | Unknown, request_id: str
) -> web.Response:
    """Return the response of a request that was not answered."""
    parts = request.app[PARTS]
    parts.metrics.count(
        "requests_total", outcome=outcome.tag, reason=outcome.reason.value
    )
    log.info(
        "entry: %s, %s",
        outcome.tag,
        outcome.reason.value,
        extra={
            "request": request_id,
            "account": request.get(ACCOUNT),
            "bundle": parts.holder.number,
        },
    )
    headers = headers_of(
        outcome.tag,
        request_id,
        parts.holder.number,
        retry_after_ms=outcome.retry_after_ms,
    )
    return web.Response(
        status=status_of(outcome),
        body=error_bytes(outcome, request_id),
        headers=headers,
        content_type=JSON,
    )


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
