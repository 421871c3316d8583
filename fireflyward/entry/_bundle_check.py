"""A caller that has seen a bundle's number is not served by an older one."""

import re
from collections.abc import Awaitable, Callable

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason

from ._context import PARTS, new_request_id, refuse
from ._errors import BUNDLE_HEADER

_NUMBER = re.compile(r"^[0-9]{1,15}$")
_RETRY_AFTER_MS = 1_000
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def refuse_while_behind(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Catch up with the number in the request's ``X-Bundle``, or refuse.

    Every response names the number that it was served by. A caller that sends it
    along is refused by a node which does not have it, instead of being served by
    rules that it has already seen replaced.
    """
    header = request.headers.get(BUNDLE_HEADER)
    if header is None:
        return await handler(request)
    if not _NUMBER.match(header):
        outcome = NotRun(Reason.BAD_REQUEST, "X-Bundle: a whole number")
        return refuse(request, outcome, new_request_id())
    parts = request.app[PARTS]
    seen = int(header)
    if parts.holder.number < seen and not await parts.catch_up(seen):
        detail = f"this node is at bundle {parts.holder.number}, not yet at {seen}"
        outcome = NotRun(Reason.BUNDLE_BEHIND, detail, _RETRY_AFTER_MS)
        return refuse(request, outcome, new_request_id())
    return await handler(request)
