"""The end of a tunnel at the node that sends requests through it."""

import asyncio
import logging
from collections.abc import Callable

from fireflyward.http1 import HttpConnection

from ._frames import Control, FrameDecoder

log = logging.getLogger("fireflyward.relays")


class TunnelProtocol(asyncio.Protocol):
    """Passes a replica's bytes from a relay's frames to an HTTP connection.

    ``on_end`` is called once, with whether the relay itself was lost.
    """

    def __init__(
        self, connection: HttpConnection, on_end: Callable[[bool], None]
    ) -> None:
        self._connection = connection
        self._on_end = on_end
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._connection.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        try:
            for item in self._decoder.feed(data):
                if isinstance(item, Control):
                    self._on_control(item)
                else:
                    self._connection.data_received(item)
        except ValueError as error:
            log.warning("relays: %s sent no frame: %s", self._connection.relay, error)
            self._transport.abort()

    def pause_writing(self) -> None:
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        self._connection.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        is_relay_lost = not self._has_ended and not self._connection.must_close
        self._connection.connection_lost(error)
        self._on_end(is_relay_lost)

    def _on_control(self, control: Control) -> None:
        if control is Control.CLOSING:
            self._connection.close_after_response()
            return
        self._has_ended = True
        if control is Control.END:
            self._connection.eof_received()
        self._transport.close()
