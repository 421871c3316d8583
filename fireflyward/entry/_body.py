"""Reading a request's body, with limits on its size and time."""

import asyncio

from aiohttp import web

from fireflyward.http1 import RequestMemory
from fireflyward.outcomes import NotRun, Reason

_BODY_TIMEOUT_S = 30.0
_RETRY_AFTER_MS = 1_000
# The memory that a request uses, until its response has been written.
MEMORY: web.RequestKey[RequestMemory] = web.RequestKey("memory", RequestMemory)


async def read_body(
    request: web.Request, *, timeout_s: float = _BODY_TIMEOUT_S
) -> bytes | NotRun:
    """Return the complete body, or a rejection if it does not arrive in time.

    Without the time limit, a caller that sends single bytes would occupy a connection
    and its buffers for an unlimited time. Many such callers exhaust the node while its
    CPU is idle. The size is limited by the application, which raises an error when the
    limit is exceeded.

    Without memory for the body, counted as the largest one if its size is unknown, the
    request is rejected before the body is read.
    """
    memory = request[MEMORY]
    declared = request.content_length
    if declared is None and request.body_exists:
        declared = request.client_max_size
    if not memory.has_room_for(min(declared or 0, request.client_max_size)):
        detail = "this node has no memory for the body"
        return NotRun(Reason.OVERLOADED, detail, _RETRY_AFTER_MS)
    try:
        async with asyncio.timeout(timeout_s):
            body = await request.read()
    except TimeoutError:
        detail = f"the body did not arrive within {timeout_s:g} s"
        return NotRun(Reason.BODY_TIMEOUT, detail, _RETRY_AFTER_MS)
    except web.RequestPayloadError:
        return NotRun(Reason.BAD_REQUEST, "the body is not in valid chunks")
    # What was reserved beyond the body is free for others while the request runs.
    memory.has_room_for(len(body))
    return body
