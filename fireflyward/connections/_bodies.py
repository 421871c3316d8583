"""Reads a response's body to its declared end, up to a limit."""

import logging

import aiohttp

from fireflyward.http1 import Framing, Head, framing_of, has_second_status_line

log = logging.getLogger("fireflyward.connections")

# Reports, refusals and the answers to orders have a few hundred bytes.
MAX_REPORT_BYTES = 65_536
MAX_BODY_BYTES = 16 << 20
_FIRST_FINAL_STATUS = 200
_IDENTITY = "identity"
# aiohttp otherwise asks for compressed bodies, and takes one that is cut for whole.
UNENCODED = {"Accept-Encoding": _IDENTITY}


class ResponseTooLarge(aiohttp.ClientError):
    """A response has more bytes than its kind may have."""


class ResponseIncomplete(aiohttp.ClientError):
    """A response may lack bytes, or its body is not the one that was requested."""


def check_size(response: aiohttp.ClientResponse, size: int, max_bytes: int) -> None:
    """Close the connection and raise ``ResponseTooLarge`` if a size is too large."""
    if size <= max_bytes:
        return
    detail = f"response of {size} bytes or more, limit {max_bytes}"
    log.warning("connections: %s: %s", response.url.origin(), detail)
    response.close()
    raise ResponseTooLarge(detail)


async def read_body(response: aiohttp.ClientResponse, *, max_bytes: int) -> bytes:
    """Return the body; raise ``ResponseTooLarge`` as soon as it exceeds the limit.

    A server in trouble may send without end. aiohttp itself bounds headers only.

    A body that has neither a length nor chunks raises ``ResponseIncomplete``: aiohttp
    takes any end of the connection for its end, a reset too.
    """
    check_size(response, response.content_length or 0, max_bytes)
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        check_size(response, len(body), max_bytes)
    _check_complete(response)
    return bytes(body)


def _check_complete(response: aiohttp.ClientResponse) -> None:
    headers = [(name.lower(), value) for name, value in response.headers.items()]
    head = Head(response.status, response.reason or "", tuple(headers))
    if head.status < _FIRST_FINAL_STATUS:
        raise ResponseIncomplete(f"status {head.status} is that of no final response")
    if has_second_status_line(head):
        raise ResponseIncomplete("header continues with another response")
    if head.get("content-encoding") not in (None, _IDENTITY):
        raise ResponseIncomplete("response in an encoding that was not requested")
    if framing_of(response.method, head) is not Framing.DECLARED:
        raise ResponseIncomplete("the end of the response is not declared")
