"""Plain services: one call each, repeated only where that is allowed."""

import hashlib

from aiohttp import web

from fireflyward.bundles import Bundle
from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.runs import RecordKept
from fireflyward.upstreams import Broken, Refused, ServiceCall, ServiceReply

from ._app import PARTS, Identity, identify, new_request_id, refuse
from ._body import read_body
from ._errors import headers_of

_MAX_ATTEMPTS = 3
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


async def handle_service(request: web.Request) -> web.StreamResponse:
    """Serve ``ANY /services/{name}/…``."""
    identity = identify(request)
    if isinstance(identity, NotRun):
        return refuse(request, identity, new_request_id())
    parts = request.app[PARTS]
    bundle = parts.holder.bundle
    name = request.match_info["name"]
    caller = identity.account.callers[identity.caller_name]
    if name not in bundle.services or name not in caller.services:
        outcome = NotRun(Reason.UNKNOWN_ROUTE, f"no service {name!r} for this caller")
        return refuse(request, outcome, identity.request_id)
    body = await read_body(request)
    if isinstance(body, NotRun):
        return refuse(request, body, identity.request_id)
    path = "/" + request.match_info["path"]
    only_once = identity.is_non_idempotent or is_non_idempotent(
        bundle, name, request.method, path
    )
    call = ServiceCall(
        request.method,
        path,
        body,
        request.headers.get("Content-Type", ""),
        identity.request_id,
        identity.trace_parent,
    )
    if only_once:
        refusal = await _claim(request, identity, call, name)
        if refusal:
            return refuse(request, refusal, identity.request_id)
    outcome = await _attempt(request, bundle, name, call, only_once=only_once)
    if not isinstance(outcome, ServiceReply):
        return refuse(request, outcome, identity.request_id)
    parts.metrics.count("requests_total", outcome="answered", reason="")
    headers = headers_of("answered", identity.request_id, identity.bundle_number)
    if outcome.content_type:
        headers["Content-Type"] = outcome.content_type
    return web.Response(status=outcome.status, body=outcome.body, headers=headers)


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


async def _claim(
    request: web.Request, identity: Identity, call: ServiceCall, name: str
) -> NotRun | Unknown | None:
    if not identity.idempotency_key:
        detail = "this route may not be repeated and needs an Idempotency-Key"
        return NotRun(Reason.BAD_REQUEST, detail)
    described = f"{name} {call.method} {call.path}\n".encode() + call.body
    result = await request.app[PARTS].records.keep(
        identity.account_name,
        identity.idempotency_key,
        identity.request_id,
        hashlib.sha256(described).hexdigest(),
    )
    return None if isinstance(result, RecordKept) else result


async def _attempt(
    request: web.Request,
    bundle: Bundle,
    name: str,
    call: ServiceCall,
    *,
    only_once: bool,
) -> ServiceReply | NotRun | Unknown:
    """Call replicas in turn while the call certainly did not run or may repeat."""
    parts = request.app[PARTS]
    replicas = [
        upstream_name
        for upstream_name, upstream in sorted(bundle.upstreams.items())
        if upstream.service == name
    ]
    may_have_run = False
    detail = "no replica of the service"
    for upstream_name in replicas[:_MAX_ATTEMPTS]:
        result = await parts.service_by_name[upstream_name].call(call)
        if isinstance(result, ServiceReply):
            return result
        detail = result.detail
        if isinstance(result, Refused):
            continue
        assert isinstance(result, Broken)
        may_have_run = may_have_run or result.may_have_run
        if result.may_have_run and only_once:
            break
    if may_have_run:
        return Unknown(Reason.UPSTREAM_FAILED, detail)
    return NotRun(Reason.NO_UPSTREAM, detail, 1_000)
