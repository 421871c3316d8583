"""Who asks, by which key and bundle, and for how long."""

import re
from dataclasses import dataclass, replace

from aiohttp import web

from fireflyward.bundles import Account
from fireflyward.outcomes import NotRun, Reason

from ._context import ACCOUNT, PARTS, REQUEST_ID

_BEARER = re.compile(r"^Bearer ([\x21-\x7e]{1,512})$")
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,200}$")
_DEADLINE = re.compile(r"^[0-9]{1,9}$", re.ASCII)
DEADLINE_HEADER = "X-Deadline-Ms"


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
