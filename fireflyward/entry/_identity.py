"""Identification of the caller, and the headers that every request may have."""

import re
from dataclasses import dataclass, replace

from aiohttp import web

from fireflyward.bundles import Account
from fireflyward.outcomes import NotRun, Reason

from ._context import ACCOUNT, CONTEXT, REQUEST_ID

_BEARER = re.compile(r"^Bearer ([\x21-\x7e]{1,512})$")
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,200}$")
_DEADLINE = re.compile(r"^[0-9]{1,9}$", re.ASCII)
DEADLINE_HEADER = "X-Deadline-Ms"


@dataclass(frozen=True, slots=True)
class Identity:
    """The caller of a request, with its account as in the bundle ``bundle_number``."""

    request_id: str
    account_name: str
    caller_name: str
    account: Account
    idempotency_key: str
    is_non_idempotent: bool
    bundle_number: int
    trace_parent: str
    deadline_ms: int


def identify(request: web.Request) -> Identity | NotRun:
    """Identify the caller by its key, in a time that reveals nothing about keys."""
    context = request.app[CONTEXT]
    if context.holder.bundle is None:
        return NotRun(Reason.NO_BUNDLE, "this node has no bundle yet", 1_000)
    match = _BEARER.match(request.headers.get("Authorization", ""))
    found = context.holder.account_of_key(match[1]) if match else None
    if found is None:
        return NotRun(Reason.WRONG_KEY, "the key is missing or unknown")
    key = request.headers.get("Idempotency-Key", "")
    if key and not _IDEMPOTENCY_KEY.match(key):
        return NotRun(
            Reason.BAD_REQUEST, "Idempotency-Key: 1 to 200 visible characters"
        )
    deadline_ms = read_deadline(request, context.deadline_ms)
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
        context.holder.number,
        request.headers.get("traceparent", ""),
        context.clock.now_ms() + deadline_ms,
    )


def identify_by_current_bundle(
    request: web.Request, identity: Identity
) -> Identity | NotRun:
    """Identify the caller again if another bundle has come into force.

    A body may take 30 s to arrive, and admission may take until the request's deadline.
    Without a second check, a request would then be served by rules that operators have
    replaced meanwhile, and by a model that may no longer exist. The request keeps its
    id and its deadline.
    """
    if request.app[CONTEXT].holder.number == identity.bundle_number:
        return identity
    renewed = identify(request)
    if isinstance(renewed, NotRun):
        return renewed
    return replace(
        renewed, request_id=identity.request_id, deadline_ms=identity.deadline_ms
    )


def read_deadline(request: web.Request, max_ms: int) -> int | NotRun:
    """Return the time limit that the caller sets, at most ``max_ms``."""
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text:
        return max_ms
    if not _DEADLINE.match(text):
        detail = f"{DEADLINE_HEADER}: milliseconds from now, 1 to 9 digits"
        return NotRun(Reason.BAD_REQUEST, detail)
    return min(max_ms, int(text))
