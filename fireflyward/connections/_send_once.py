"""Keeps the HTTP library from sending a call again by itself."""

import aiohttp


class AlreadySent(aiohttp.ClientConnectionError):
    """The call was sent before, and its connection broke."""


class SendOnce:
    """Middleware for one call, which aiohttp then sends at most once.

    If a connection breaks after a call with an idempotent method was sent, aiohttp
    sends it again. Only the code that makes the call knows whether it may be repeated,
    and counts repeats against the retry budget.

    await session.request("PUT", url, data=body, middlewares=(SendOnce(),))
    """

    __slots__ = ("_was_sent",)

    def __init__(self) -> None:
        self._was_sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._was_sent:
            raise AlreadySent("connection lost after the call was sent")
        self._was_sent = True
        return await handler(request)
