"""Calls between nodes whose connection carries raw bytes after the reply."""

import asyncio
import select
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ._codec import MAX_FRAME_BYTES

LENGTH = struct.Struct("!I")


@dataclass(frozen=True, slots=True)
class StreamReply:
    """The reply to a call, and what takes over the connection after it.

    ``take_over`` gets the connection's writer once the reply is written; it replaces
    the protocol of the writer's transport and keeps the writer until the connection is
    closed. Without it the connection is closed. ``abandon`` is called instead if the
    caller is already gone.
    """

    message: Any
    take_over: Callable[[asyncio.StreamWriter], None] | None = None
    abandon: Callable[[], None] | None = None


@dataclass(frozen=True, slots=True)
class OpenedStream:
    """The reply to a call, and the connection, which now carries raw bytes.

    The owner sets the protocol of ``transport`` at once, or closes it.
    """

    reply: Any
    transport: asyncio.Transport


def has_hung_up(writer: asyncio.StreamWriter) -> bool:
    """Return whether the other end has closed a connection.

    A caller closes its connection when its time has passed. The event loop may not have
    read the end yet, since the request lies before it.
    """
    raw = writer.get_extra_info("socket")
    if raw is None:
        return True
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def request_stream(
    address: tuple[str, int], frame: bytes
) -> tuple[asyncio.Transport, bytes]:
    """Send one frame over a new connection; return the connection and the reply frame.

    Raises ``OSError`` if the connection fails or the reply is not a single frame.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(_ReplyProtocol, *address)
    try:
        transport.write(LENGTH.pack(len(frame)) + frame)
        return transport, await protocol.frame
    except BaseException:
        transport.abort()
        raise


class _ReplyProtocol(asyncio.Protocol):
    """Receives one frame on a connection that another protocol will take over."""

    def __init__(self) -> None:
        self.frame: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._data = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self.frame.done():
            # The next protocol would miss these bytes.
            self._transport.abort()
            return
        self._data += data
        if len(self._data) < LENGTH.size:
            return
        (length,) = LENGTH.unpack_from(self._data)
        end = LENGTH.size + length
        if length > MAX_FRAME_BYTES or len(self._data) > end:
            # Nothing may follow the reply before this node has sent something.
            self._fail(OSError(f"reply of {len(self._data)} bytes, expected {end}"))
        elif len(self._data) == end:
            self.frame.set_result(bytes(self._data[LENGTH.size :]))

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(error or ConnectionResetError("closed before the reply"))

    def _fail(self, error: Exception) -> None:
        if not self.frame.done():
            self.frame.set_exception(error)
            # Nobody may wait for it any more, which is no unhandled error.
            self.frame.exception()
