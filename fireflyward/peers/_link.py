"""The sockets between nodes: datagrams for small news, connections for calls."""

import asyncio
import itertools
import logging
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ._codec import MAX_FRAME_BYTES, Envelope, PeerCodec, pack, unpack

log = logging.getLogger("fireflyward.peers")

Address = tuple[str, int]
_LENGTH = struct.Struct("!I")
_CALL_LIMIT_S = 2.0
_MAX_DATAGRAM_BYTES = 1_400


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a peer had no answer; the peer may still have acted on it."""

    detail: str


@dataclass(frozen=True, slots=True)
class _Handler:
    struct_type: type
    handle: Callable[[str, Any], Awaitable[Any]]


class PeerLink:
    """Sends and receives typed messages of all slices.

    A slice registers a kind with its Thrift struct and a coroutine
    ``handle(sender, message)``; what the coroutine returns is the reply to a
    call, and is ignored for a datagram. ``bytes_sent`` and ``bytes_received``
    count what control costs on the network.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: int,
        codec: PeerCodec,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.node_name = node_name
        self.incarnation = incarnation
        self.bytes_sent = 0
        self.bytes_received = 0
        self._codec = codec
        self._host = host
        self._port = port
        self._sequence = itertools.count(1)
        self._handler_by_kind: dict[str, _Handler] = {}
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> Address:
        return self._host, self._port

    def register(
        self,
        kind: str,
        struct_type: type,
        handle: Callable[[str, Any], Awaitable[Any]],
    ) -> None:
        """Have ``handle`` called for each message of ``kind``."""
        self._handler_by_kind[kind] = _Handler(struct_type, handle)

    async def start(self) -> None:
        """Open the TCP and the UDP socket on the same port."""
        self._server = await asyncio.start_server(
            self._serve_connection, self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=(self._host, self._port)
        )

    async def stop(self) -> None:
        """Close both sockets and end the handlers that still run."""
        if self._datagrams:
            self._datagrams.close()
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, address: Address, kind: str, message: Any) -> bool:
        """Send a datagram; it may be lost. Return whether it was small enough."""
        frame = self._frame(kind, message)
        if len(frame) > _MAX_DATAGRAM_BYTES or self._datagrams is None:
            return False
        self._datagrams.sendto(frame, address)
        self.bytes_sent += len(frame)
        return True

    async def call(
        self,
        address: Address,
        kind: str,
        message: Any,
        reply_type: type,
        *,
        limit_s: float = _CALL_LIMIT_S,
    ) -> Any | CallFailed:
        """Send a message over a new connection and return the decoded reply.

        Every call has its own connection, since one that was kept could have
        been forgotten by something between the ends without either noticing.
        """
        try:
            async with asyncio.timeout(limit_s):
                return await self._call(address, kind, message, reply_type)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return CallFailed(f"{type(error).__name__}: {error}")

    async def _call(
        self, address: Address, kind: str, message: Any, reply_type: type
    ) -> Any | CallFailed:
        reader, writer = await asyncio.open_connection(*address)
        try:
            self._write(writer, self._frame(kind, message))
            await writer.drain()
            frame = await self._read(reader)
        finally:
            writer.close()
        envelope = self._codec.open(frame)
        reply = unpack(reply_type, envelope.body) if envelope else None
        return CallFailed("reply could not be read") if reply is None else reply

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._own_current_task()
        try:
            async with asyncio.timeout(_CALL_LIMIT_S):
                reply = await self._dispatch(await self._read(reader))
                if reply is not None:
                    self._write(writer, self._frame("reply", reply))
                    await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("peers: call dropped, %s", error)
        finally:
            writer.close()

    def _datagram_received(self, frame: bytes) -> None:
        self.bytes_received += len(frame)
        task = asyncio.get_running_loop().create_task(self._dispatch(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dispatch(self, frame: bytes) -> Any | None:
        envelope = self._codec.open(frame)
        if envelope is None:
            log.warning("peers: frame refused, its tag fits no key")
            return None
        handler = self._handler_by_kind.get(envelope.kind)
        if handler is None:
            return None
        message = unpack(handler.struct_type, envelope.body)
        if message is None:
            log.warning("peers: %s from %s unreadable", envelope.kind, envelope.sender)
            return None
        return await handler.handle(envelope.sender, message)

    def _frame(self, kind: str, message: Any) -> bytes:
        envelope = Envelope(
            sender=self.node_name,
            incarnation=self.incarnation,
            sequence=next(self._sequence),
            kind=kind,
            body=pack(message),
        )
        return self._codec.seal(envelope)

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(_LENGTH.pack(len(frame)) + frame)
        self.bytes_sent += len(frame) + _LENGTH.size

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise OSError(f"frame of {length} bytes is too long")
        frame = await reader.readexactly(length)
        self.bytes_received += length + _LENGTH.size
        return frame

    def _own_current_task(self) -> None:
        task = asyncio.current_task()
        if task:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._link._datagram_received(data)
