"""Reads a response's body up to a limit."""

import logging

import aiohttp

log = logging.getLogger("fireflyward.connections")

# Reports, refusals and the answers to orders have a few hundred bytes.
MAX_REPORT_BYTES = 65_536
MAX_BODY_BYTES = 16 << 20


class ResponseTooLarge(aiohttp.ClientError):
    """A response has more bytes than its kind may have."""


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
    """
    check_size(response, response.content_length or 0, max_bytes)
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        check_size(response, len(body), max_bytes)
    return bytes(body)
