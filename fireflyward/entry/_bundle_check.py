"""Rejects a caller that was served by a newer bundle than this node has."""

import re
from collections.abc import Awaitable, Callable

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason

from ._context import CONTEXT, new_request_id, reject
from ._errors import BUNDLE_HEADER

_BUNDLE_NUMBER = re.compile(r"^[0-9]{1,15}$")
_RETRY_AFTER_MS = 1_000
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def reject_if_behind(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Catch up with the bundle number in the request's ``X-Bundle``, or reject it.

    Every response contains the number of the bundle by which it was served. A caller
    can send that number with its next request. A node that does not have the bundle yet
    then rejects the request, so that the request is not served by rules that were
    already replaced for this caller.
    """
    header = request.headers.get(BUNDLE_HEADER)
    if header is None:
        return await handler(request)
    if not _BUNDLE_NUMBER.match(header):
        outcome = NotRun(Reason.BAD_REQUEST, "X-Bundle: must be a whole number")
        return reject(request, outcome, new_request_id())
    context = request.app[CONTEXT]
    number = int(header)
    if context.holder.number < number and not await context.catch_up(number):
        detail = f"this node is at bundle {context.holder.number}, not yet at {number}"
        outcome = NotRun(Reason.BUNDLE_BEHIND, detail, _RETRY_AFTER_MS)
        return reject(request, outcome, new_request_id())
    return await handler(request)
