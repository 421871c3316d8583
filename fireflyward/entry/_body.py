"""Reading what a caller sends, within a size and a time."""

import asyncio

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason

_BODY_LIMIT_S = 30.0
_RETRY_AFTER_MS = 1_000


async def read_body(
    request: web.Request, *, limit_s: float = _BODY_LIMIT_S
) -> bytes | NotRun:
    """Return the whole body, or the refusal of one that does not arrive.

    A caller that sends a byte now and then would otherwise hold a connection and
    its buffers for ever; many of them fill the node while its CPU is idle. The
    size is bounded by the application, which raises before it reads further.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await request.read()
    except TimeoutError:
        detail = f"the body did not arrive within {limit_s:g} s"
        return NotRun(Reason.BODY_TIMEOUT, detail, _RETRY_AFTER_MS)
