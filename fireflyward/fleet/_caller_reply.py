"""Writes the response to one caller, whole or event by event."""

from typing import Protocol

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from fireflyward.http1 import Head, ReadMemory
from fireflyward.platform import response_headers

# A larger response is written in pieces of this size, each once the caller has taken
# most of the one before. The transport would otherwise hold a second copy.
_PIECE_BYTES = 65_536


class _Server(Protocol):
    """What a reply uses of the server for callers."""

    memory: ReadMemory

    async def send(self, request: BaseRequest, response: StreamResponse) -> None: ...

    def close_if_stopping(
        self, request: BaseRequest, response: StreamResponse
    ) -> None: ...


class CallerReply:
    """Sends the response to one caller; a stream's headers precede its first event."""

    __slots__ = ("_request", "_server", "response")

    def __init__(self, server: "_Server", request: BaseRequest) -> None:
        self._server = server
        self._request = request
        self.response: StreamResponse | None = None

    @property
    def address(self) -> str:
        """Return the caller's address, for the log."""
        return str(self._request.remote)

    def close(self) -> None:
        """Break the caller's connection."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def send_response(self, head: Head, body: bytes | bytearray) -> None:
        if len(body) > _PIECE_BYTES:
            await self._send_large(head, body)
            return
        response = Response(
            status=head.status,
            reason=head.reason,
            headers=CIMultiDict(response_headers(head)),
            body=body,
        )
        self.response = response
        await self._server.send(self._request, response)

    async def _send_large(self, head: Head, body: bytes | bytearray) -> None:
        self.response = response = StreamResponse(
            status=head.status,
            reason=head.reason,
            headers=CIMultiDict(response_headers(head)),
        )
        response.content_length = len(body)
        with self._server.memory.writing(self, body):
            self._server.close_if_stopping(self._request, response)
            await response.prepare(self._request)
            whole = memoryview(body)
            for first in range(0, len(whole), _PIECE_BYTES):
                await response.write(whole[first : first + _PIECE_BYTES])
            await response.write_eof()

    async def begin_stream(self, head: Head) -> None:
        self.response = StreamResponse(
            status=head.status,
            reason=head.reason,
            headers=CIMultiDict(response_headers(head)),
        )
        self.response.enable_chunked_encoding()
        self._server.close_if_stopping(self._request, self.response)
        await self.response.prepare(self._request)

    async def send_event(self, data: bytes) -> None:
        await self.response.write(data)

    async def end_stream(self) -> None:
        await self.response.write_eof()
