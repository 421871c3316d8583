"""Requests that were read behind the one that is being served."""

from aiohttp.web_request import BaseRequest


def has_queued_request(request: BaseRequest) -> bool:
    """Return whether another request has been read on the connection of ``request``.

    Its caller has sent it without waiting for a response. A response that closes the
    connection would leave it without an answer.
    """
    return bool(request.protocol._messages)
