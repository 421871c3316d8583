"""Calls of plain services; non-idempotent calls are not repeated."""

import hashlib
from functools import partial

from aiohttp import web

from fireflyward.bundles import Bundle
from fireflyward.outcomes import NotRun, Reason
from fireflyward.runs import RequestRecord, ServiceTask
from fireflyward.upstreams import ServiceCall, ServiceReply

from ._body import read_body
from ._context import CONTEXT, EntryContext, new_request_id, reject
from ._errors import headers_of
from ._identity import Identity, identify, identify_by_current_bundle

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


async def handle_service(request: web.Request) -> web.StreamResponse:
    """Serve ``ANY /services/{name}/…``."""
    identity = identify(request)
    if isinstance(identity, NotRun):
        return reject(request, identity, new_request_id())
    context = request.app[CONTEXT]
    name = request.match_info["name"]
    rejection = _check_access(context, identity, name)
    if rejection:
        return reject(request, rejection, identity.request_id)
    body = await read_body(request)
    if isinstance(body, NotRun):
        return reject(request, body, identity.request_id)
    renewed = identify_by_current_bundle(request, identity)
    rejection = (
        renewed
        if isinstance(renewed, NotRun)
        else _check_access(context, renewed, name)
    )
    if rejection:
        return reject(request, rejection, identity.request_id)
    identity = renewed
    bundle = context.holder.bundle
    path = "/" + request.match_info["path"]
    needs_record = identity.is_non_idempotent or is_non_idempotent(
        bundle, name, request.method, path
    )
    if needs_record and not identity.idempotency_key:
        detail = "a non-idempotent call needs an Idempotency-Key"
        rejection = NotRun(Reason.BAD_REQUEST, detail)
        return reject(request, rejection, identity.request_id)
    call = ServiceCall(
        request.method,
        path,
        body,
        request.headers.get("Content-Type", ""),
        identity.request_id,
        identity.trace_parent,
    )
    record = _record(context, identity, call, name) if needs_record else None
    task = _make_task(context, identity, call, name, record)
    if context.tracing.is_sampled(identity.trace_parent):
        with context.tracing.span("entry", identity.trace_parent, service=name):
            outcome = await task.outcome()
    else:
        outcome = await task.outcome()
    if not isinstance(outcome, ServiceReply):
        return reject(request, outcome, identity.request_id)
    context.metrics.count("requests_total", outcome="answered", reason="")
    headers = headers_of("answered", identity.request_id, identity.bundle_number)
    if outcome.content_type:
        headers["Content-Type"] = outcome.content_type
    return web.Response(status=outcome.status, body=outcome.body, headers=headers)


def _check_access(
    context: EntryContext, identity: Identity, name: str
) -> NotRun | None:
    caller = identity.account.callers[identity.caller_name]
    if name in context.holder.bundle.services and name in caller.services:
        return None
    return NotRun(Reason.UNKNOWN_ROUTE, f"no service {name!r} for this caller")


def is_non_idempotent(bundle: Bundle, name: str, method: str, path: str) -> bool:
    """Return whether the bundle marks this route as non-idempotent.

    >>> from fireflyward.bundles import Bundle, Service
    >>> bundle = Bundle("d", 1, {}, {}, {}, {"s": Service(("POST /revisions*",))})
    >>> is_non_idempotent(bundle, "s", "POST", "/revisions/7")
    True
    """
    if method in _SAFE_METHODS:
        return False
    requested_route = f"{method} {path}"
    for route in bundle.services[name].non_idempotent:
        if route == requested_route or (
            route.endswith("*") and requested_route.startswith(route[:-1])
        ):
            return True
    return False


def _record(
    context: EntryContext, identity: Identity, call: ServiceCall, name: str
) -> RequestRecord:
    fingerprint_input = f"{name} {call.method} {call.path}\n".encode() + call.body
    return RequestRecord(
        context.records,
        account=identity.account_name,
        request_key=identity.idempotency_key,
        owner=identity.request_id,
        fingerprint=hashlib.sha256(fingerprint_input).hexdigest(),
    )


def _record_refused(context: EntryContext, upstream: str) -> None:
    context.leaving_upstreams.on_refused(context.clock.now_ms(), upstream)


def _make_task(
    context: EntryContext,
    identity: Identity,
    call: ServiceCall,
    name: str,
    record: RequestRecord | None,
) -> ServiceTask:
    replicas = [
        upstream_name
        for upstream_name, upstream in sorted(context.holder.bundle.upstreams.items())
        if upstream.service == name
    ]
    now_ms = context.clock.now_ms()
    return ServiceTask(
        clock=context.clock,
        service_by_name=context.service_by_name,
        replicas=context.leaving_upstreams.in_order(now_ms, replicas),
        on_refused=partial(_record_refused, context),
        call=call,
        deadline_ms=identity.deadline_ms,
        record=record,
        budget=context.retry_budget,
        observe=context.observe,
    )
