"""The sockets between nodes: datagrams for small news, connections for calls."""

import asyncio
import itertools
import logging
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from fireflyward.observe import hop

from ._codec import MAX_FRAME_BYTES, PeerCodec, pack, unpack
from ._node_structs import Behind, Envelope
from ._replay import Freshness, ReplayGuard

log = logging.getLogger("fireflyward.peers")

Address = tuple[str, int]
_LENGTH = struct.Struct("!I")
_CALL_LIMIT_S = 2.0
_MAX_DATAGRAM_BYTES = 1_400
_MAX_REQUEST_BYTES = 128 << 10
# Calls that wait here at once: three from each neighbour of a failure domain, of which
# the largest that is planned for has a hundred, and questions beside them.
_MAX_CONNECTIONS = 512
# Connections that may wait to be taken. All neighbours of an aggregator may ask in the
# same moment, each for several stores; an opening packet that finds no room is sent
# again only after a second, when the caller has given up: 1,437 timeouts in 40 s at 35
# nodes with the usual hundred.
_BACKLOG = 1_024
_MAX_DATAGRAM_TASKS = 256
_BEHIND = "peers.behind"
_REPLY = "reply"


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a peer had no answer; the peer may still have acted on it.

    ``is_refused`` says that nothing listens there, so that it surely has not.
    """

    detail: str
    is_refused: bool = False


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

    What others may make this node hold is bounded: datagrams that are being
    handled, connections, and the size of a request. What is over is dropped and
    counted in ``dropped``, since every sender has to bear loss anyway.

    ``incarnation`` tells this life of the node from earlier ones. When a peer
    knows a higher one, which happens when the wall clock was set back before a
    restart, this node rises above it and ``on_incarnation_raised`` is called.
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
        self.dropped: Counter[str] = Counter()
        self.on_incarnation_raised: Callable[[int], None] = lambda incarnation: None
        self._guard = ReplayGuard()
        self._connections = 0
        self._codec = codec
        self._host = host
        self._port = port
        self._sequence = itertools.count(1)
        self._handler_by_kind: dict[str, _Handler] = {}
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._datagram_tasks: set[asyncio.Task[Any]] = set()

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
        if self._codec.is_open:
            log.warning("peers: no key is set, any process may speak as a peer")
        self._server = await asyncio.start_server(
            self._serve_connection, self._host, self._port, backlog=_BACKLOG
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
            # Whoever still has something to tell later must find no closed socket.
            self._datagrams = None
        if self._server:
            self._server.close()
        tasks = self._tasks | self._datagram_tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, address: Address, kind: str, message: Any) -> bool:
        """Send a datagram; it may be lost. Return whether it was small enough."""
        return self.send_all((address,), kind, message)

    def send_all(self, addresses: Iterable[Address], kind: str, message: Any) -> bool:
        """Send one datagram to several peers, packed and sealed once."""
        frame = self._frame(kind, message)
        if len(frame) > _MAX_DATAGRAM_BYTES or self._datagrams is None:
            return False
        for address in addresses:
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
        timeout_s: float = _CALL_LIMIT_S,
    ) -> Any | CallFailed:
        """Send a message over a new connection and return the decoded reply.

        Every call has its own connection, since one that was kept could have
        been forgotten by something between the ends without either noticing.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(address, kind, message, reply_type)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return CallFailed(f"{type(error).__name__}: {error}", is_refused)

    async def _call(
        self, address: Address, kind: str, message: Any, reply_type: type
    ) -> Any | CallFailed:
        with hop("peer", kind=kind):
            envelope = await self._exchange(address, kind, message)
        if envelope is not None and envelope.kind == _BEHIND:
            self._rise_above(unpack(Behind, envelope.body))
            envelope = await self._exchange(address, kind, message)
        if envelope is None or envelope.kind != _REPLY:
            return CallFailed("reply could not be read")
        reply = unpack(reply_type, envelope.body)
        return CallFailed("reply could not be read") if reply is None else reply

    async def _exchange(self, address: Address, kind: str, message: Any) -> Any | None:
        """Send a request and return the envelope that answers just this one."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            sequence = next(self._sequence)
            self._write(writer, self._frame(kind, message, sequence=sequence))
            await writer.drain()
            frame = await self._read(reader, MAX_FRAME_BYTES)
        finally:
            writer.close()
        envelope = self._codec.open(frame)
        if envelope is None or envelope.reply_to != sequence:
            return None
        return envelope

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connections >= _MAX_CONNECTIONS:
            self._drop("connections")
            writer.close()
            return
        self._own_current_task()
        self._connections += 1
        try:
            async with asyncio.timeout(_CALL_LIMIT_S):
                await self._answer(await self._read(reader, _MAX_REQUEST_BYTES), writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("peers: call dropped, %s", error)
        except asyncio.CancelledError:
            # The link stops. asyncio would report the end of this task as an error.
            log.debug("peers: call dropped, the link stops")
        finally:
            self._connections -= 1
            writer.close()

    async def _answer(self, frame: bytes, writer: asyncio.StreamWriter) -> None:
        envelope = self._open(frame)
        if envelope is None:
            return
        freshness = self._judge(envelope)
        if freshness is Freshness.BEHIND:
            reply, kind = self._behind(envelope), _BEHIND
        elif freshness is Freshness.REPEATED:
            return
        else:
            reply, kind = await self._handle(envelope), _REPLY
        if reply is None:
            return
        sequence = envelope.sequence
        self._write(writer, self._frame(kind, reply, reply_to=sequence))
        await writer.drain()

    def _datagram_received(self, frame: bytes, source: Address) -> None:
        self.bytes_received += len(frame)
        envelope = self._open(frame)
        if envelope is None:
            return
        freshness = self._judge(envelope)
        if freshness is Freshness.BEHIND:
            self.send(source, _BEHIND, self._behind(envelope))
        elif freshness is Freshness.NEW and envelope.kind == _BEHIND:
            self._rise_above(unpack(Behind, envelope.body))
        elif freshness is Freshness.NEW:
            self._spawn(envelope)

    def _spawn(self, envelope: Any) -> None:
        """Handle a datagram in a task of its own, unless too many run.

        Handlers that wait (for the platform, say) would pile up without a bound
        while datagrams keep coming, and take the node's memory with them.
        """
        if len(self._datagram_tasks) >= _MAX_DATAGRAM_TASKS:
            self._drop("datagrams")
            return
        task = asyncio.get_running_loop().create_task(self._handle(envelope))
        self._datagram_tasks.add(task)
        task.add_done_callback(self._datagram_tasks.discard)

    def _open(self, frame: bytes) -> Any | None:
        envelope = self._codec.open(frame)
        if envelope is None:
            self._drop("frames")
        return envelope

    def _judge(self, envelope: Any) -> Freshness:
        freshness = self._guard.check(
            envelope.sender, envelope.incarnation, envelope.sequence
        )
        if freshness is not Freshness.NEW:
            self._drop(freshness.value)
        return freshness

    async def _handle(self, envelope: Any) -> Any | None:
        handler = self._handler_by_kind.get(envelope.kind)
        if handler is None:
            return None
        message = unpack(handler.struct_type, envelope.body)
        if message is None:
            self._drop("messages")
            return None
        try:
            return await handler.handle(envelope.sender, message)
        except Exception:
            log.exception("peers: %s from %s failed", envelope.kind, envelope.sender)
            return None

    def _behind(self, envelope: Any) -> Any:
        known = self._guard.known_incarnation(envelope.sender)
        return Behind(incarnation=known)

    def _rise_above(self, behind: Any | None) -> None:
        if behind is None or behind.incarnation <= self.incarnation:
            return
        self.incarnation = behind.incarnation + 1
        log.warning("peers: a later life of this node is known, rising above it")
        self.on_incarnation_raised(self.incarnation)

    def _drop(self, what: str) -> None:
        """Count what is dropped; log the 1st, 2nd, 4th, 8th … so none can flood."""
        self.dropped[what] += 1
        count = self.dropped[what]
        if count & (count - 1) == 0:
            log.warning("peers: %d %s dropped so far", count, what)

    def _frame(
        self, kind: str, message: Any, *, sequence: int = 0, reply_to: int = 0
    ) -> bytes:
        envelope = Envelope(
            sender=self.node_name,
            incarnation=self.incarnation,
            sequence=sequence or next(self._sequence),
            kind=kind,
            body=pack(message),
            reply_to=reply_to,
        )
        return self._codec.seal(envelope)

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(_LENGTH.pack(len(frame)) + frame)
        self.bytes_sent += len(frame) + _LENGTH.size

    async def _read(self, reader: asyncio.StreamReader, limit_bytes: int) -> bytes:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > limit_bytes:
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
        self._link._datagram_received(data, addr)
