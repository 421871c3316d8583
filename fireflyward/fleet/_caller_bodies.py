"""Reads the bodies of callers' requests, within the memory that is left."""

import traceback

from aiohttp.web_request import BaseRequest

from fireflyward.http1 import SMALL_REQUEST_BYTES, RequestMemory
from fireflyward.outcomes import NotRun, Reason

# After a fault of the node that hit a request before it was sent to any replica.
RETRY_AFTER_MS = 300


async def read_in_task(
    request: BaseRequest, limit: int, memory: RequestMemory
) -> bytes | bytearray | NotRun:
    """Return the body; if reading fails, release what has been read."""
    try:
        return await read_up_to(request, limit, memory)
    except BaseException as error:
        # The library's reader keeps the error, whose frames refer to the body.
        traceback.clear_frames(error.__traceback__)
        raise


async def read_up_to(
    request: BaseRequest, limit: int, memory: RequestMemory
) -> bytes | bytearray | NotRun:
    """Return the body, or the beginning of one that exceeds ``limit``."""
    first = await request.content.readany()
    if request.content.at_eof() or not first:
        return first
    if request.content_length is not None:
        return await _read_declared(request, first)
    body = bytearray(first)
    while len(body) <= limit and (part := await request.content.readany()):
        body += part
        # Several bodies that grow together would otherwise all run out of memory.
        reserved = len(body) if len(body) <= SMALL_REQUEST_BYTES else limit
        if not memory.has_room_for(reserved):
            return no_memory()
    # What is reserved beyond the body is free for others while the request runs.
    memory.has_room_for(len(body))
    return body


async def _read_declared(request: BaseRequest, first: bytes) -> bytearray:
    """Return a body of a known size, whose parts are put into their places."""
    body = bytearray(request.content_length)
    size = len(first)
    body[:size] = first
    while part := await request.content.readany():
        memoryview(body)[size : size + len(part)] = part
        size += len(part)
    return body


def no_memory() -> NotRun:
    """Return the rejection of a request for which there is no memory."""
    return NotRun(
        Reason.OVERLOADED,
        "this node has no memory for the request",
        retry_after_ms=RETRY_AFTER_MS,
    )
