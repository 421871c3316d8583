"""Reading a request's body, with limits on its size and time."""

import asyncio

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason

_BODY_TIMEOUT_S = 30.0
_RETRY_AFTER_MS = 1_000


async def read_body(
    request: web.Request, *, timeout_s: float = _BODY_TIMEOUT_S
) -> bytes | NotRun:
    """Return the complete body, or a rejection if it does not arrive in time.

    Without the time limit, a caller that sends single bytes would occupy a connection
    and its buffers for an unlimited time. Many such callers exhaust the node while its
    CPU is idle. The size is limited by the application, which raises an error when the
    limit is exceeded.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError:
        detail = f"the body did not arrive within {timeout_s:g} s"
        return NotRun(Reason.BODY_TIMEOUT, detail, _RETRY_AFTER_MS)
