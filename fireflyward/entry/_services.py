"""Plain services: one call each, repeated only where that is allowed."""

import hashlib
from functools import partial

from aiohttp import web

from fireflyward.bundles import Bundle
from fireflyward.outcomes import NotRun, Reason
from fireflyward.runs import RequestRecord, ServiceTask
from fireflyward.upstreams import ServiceCall, ServiceReply

from ._body import read_body
from ._errors import headers_of
from ._identity import Identity, identify, identify_again
from ._parts import PARTS, EntryParts, new_request_id, refuse

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


async def handle_service(request: web.Request) -> web.StreamResponse:
    """Serve ``ANY /services/{name}/…``."""
    identity = identify(request)
    if isinstance(identity, NotRun):
        return refuse(request, identity, new_request_id())
    parts = request.app[PARTS]
    name = request.match_info["name"]
    refusal = _allowed(parts, identity, name)
    if refusal:
        return refuse(request, refusal, identity.request_id)
    body = await read_body(request)
    if isinstance(body, NotRun):
        return refuse(request, body, identity.request_id)
    renewed = identify_again(request, identity)
    refusal = renewed if isinstance(renewed, NotRun) else _allowed(parts, renewed, name)
    if refusal:
        return refuse(request, refusal, identity.request_id)
    identity = renewed
    bundle = parts.holder.bundle
    path = "/" + request.match_info["path"]
    only_once = identity.is_non_idempotent or is_non_idempotent(
        bundle, name, request.method, path
    )
    if only_once and not identity.idempotency_key:
        detail = "a call that may not be repeated needs an Idempotency-Key"
        refusal = NotRun(Reason.BAD_REQUEST, detail)
        return refuse(request, refusal, identity.request_id)
    call = ServiceCall(
        request.method,
        path,
        body,
        request.headers.get("Content-Type", ""),
        identity.request_id,
        identity.trace_parent,
    )
    record = _record(parts, identity, call, name) if only_once else None
    task = _make_task(parts, identity, call, name, record)
    if parts.tracing.is_sampled(identity.trace_parent):
        with parts.tracing.span("entry", identity.trace_parent, service=name):
            outcome = await task.outcome()
    else:
        outcome = await task.outcome()
    if not isinstance(outcome, ServiceReply):
        return refuse(request, outcome, identity.request_id)
    parts.metrics.count("requests_total", outcome="answered", reason="")
    headers = headers_of("answered", identity.request_id, identity.bundle_number)
    if outcome.content_type:
        headers["Content-Type"] = outcome.content_type
    return web.Response(status=outcome.status, body=outcome.body, headers=headers)


def _allowed(parts: EntryParts, identity: Identity, name: str) -> NotRun | None:
    caller = identity.account.callers[identity.caller_name]
    if name in parts.holder.bundle.services and name in caller.services:
        return None
    return NotRun(Reason.UNKNOWN_ROUTE, f"no service {name!r} for this caller")


def is_non_idempotent(bundle: Bundle, name: str, method: str, path: str) -> bool:
    """Tell whether the bundle marks this route as one that may not be repeated.

    >>> from fireflyward.bundles import Bundle, Service
    >>> bundle = Bundle("d", 1, {}, {}, {}, {"s": Service(("POST /revisions*",))})
    >>> is_non_idempotent(bundle, "s", "POST", "/revisions/7")
    True
    """
    if method in _SAFE_METHODS:
        return False
    wanted = f"{method} {path}"
    for route in bundle.services[name].non_idempotent:
        if route == wanted or (route.endswith("*") and wanted.startswith(route[:-1])):
            return True
    return False


def _record(
    parts: EntryParts, identity: Identity, call: ServiceCall, name: str
) -> RequestRecord:
    described = f"{name} {call.method} {call.path}\n".encode() + call.body
    return RequestRecord(
        parts.records,
        account=identity.account_name,
        request_key=identity.idempotency_key,
        owner=identity.request_id,
        fingerprint=hashlib.sha256(described).hexdigest(),
    )


def _note_refused(parts: EntryParts, upstream: str) -> None:
    parts.leaving.on_refused(parts.clock.now_ms(), upstream)


def _make_task(
    parts: EntryParts,
    identity: Identity,
    call: ServiceCall,
    name: str,
    record: RequestRecord | None,
) -> ServiceTask:
    replicas = [
        upstream_name
        for upstream_name, upstream in sorted(parts.holder.bundle.upstreams.items())
        if upstream.service == name
    ]
    now_ms = parts.clock.now_ms()
    return ServiceTask(
        clock=parts.clock,
        service_by_name=parts.service_by_name,
        replicas=parts.leaving.in_order(now_ms, replicas),
        on_refused=partial(_note_refused, parts),
        call=call,
        deadline_ms=identity.deadline_ms,
        record=record,
        budget=parts.budget,
        observe=parts.observe,
    )
