"""Callers' connections, which know whether a request is arriving on them."""

import asyncio

from aiohttp import web_server
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest

from fireflyward.http1 import has_queued_request

# The most that is read from a socket at once. Until its headers have been read and its
# body admitted, this is what a request holds that no account counts.
_READ_BYTES = 65_536


class CallerConnection(RequestHandler):
    """One caller's connection.

    The HTTP library tells its user nothing of a request before the headers are
    complete. A planned stop must not close a connection on which a part of them has
    arrived, or on which a request waits for the response to the one before it.
    """

    __slots__ = ("_is_receiving", "_is_serving")

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self._is_receiving = False
        self._is_serving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = _READ_BYTES
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._is_receiving = True
        super().data_received(data)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is arriving, waiting or being served."""
        return not (self._is_receiving or self._is_serving)

    def begin_request(self) -> None:
        """Record that the headers of a request have been read."""
        self._is_receiving = False
        self._is_serving = True

    def end_request(self, request: BaseRequest) -> None:
        """Record that the response to a request has been written."""
        self._is_receiving = has_queued_request(request)
        self._is_serving = False


class CallerConnections(web_server.Server):
    """The open connections of callers, and the factory for new ones."""

    def __call__(self) -> CallerConnection:
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def close_idle(self) -> None:
        """Close the connections on which no request is arriving or being served."""
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()


def connection_of(request: BaseRequest) -> CallerConnection:
    """Return the connection on which a request arrived."""
    return request.protocol
