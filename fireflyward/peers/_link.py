"""The sockets between nodes: UDP for small messages, TCP for calls with a reply."""

import asyncio
import contextlib
import functools
import itertools
import logging
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from fireflyward.decoding import is_ipv4
from fireflyward.inbound import widen_receive_window
from fireflyward.observe import hop

from ._codec import PeerCodec, pack, unpack
from ._datagrams import Address, DatagramReader
from ._handler import Handle, Handler
from ._node_structs import Behind, Envelope
from ._replay import Freshness, ReplayGuard
from ._streams import LENGTH, OpenedStream, StreamReply, has_hung_up, request_stream

log = logging.getLogger("fireflyward.peers")

_CALL_TIMEOUT_S = 2.0
_MAX_DATAGRAM_BYTES = 1_400
_MAX_REQUEST_BYTES = 128 << 10
# Calls that this node serves at once. Each neighbour in the failure domain may have
# three calls waiting here, and the largest planned failure domain has a hundred nodes;
# the rest is for other requests.
_MAX_CONNECTIONS = 512
# Connections that may wait to be accepted. All neighbours of an aggregator may send
# requests at the same moment, each for several stores. The kernel drops a SYN that
# finds the backlog full, and the caller's kernel resends it only after 1 s, when the
# caller has timed out. The default of 100 caused 1,437 timeouts in 40 s at 35 nodes.
_BACKLOG = 1_024
# What the kernel may receive of a request before this process reads it.
_RECEIVE_BYTES = 32_768
# What is read at once, and held of a request before its length is known.
_READ_BYTES = 8_192
_STREAM_READ_BYTES = 65_536
# Memory for requests that are longer, which few are.
_LONG_REQUESTS_BYTES = 8 << 20
_MAX_DATAGRAM_TASKS = 256
_MAX_PORT = 65_535
_BEHIND = "peers.behind"
_REPLY = "reply"


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a peer got no valid reply; the peer may still have handled it.

    ``is_refused`` means that the connection was refused: nothing listens at the
    address, so the call was certainly not handled.
    """

    detail: str
    is_refused: bool = False


class PeerLink:
    """Sends and receives the typed messages of all packages.

    A package registers a kind of message with its Thrift struct and a coroutine
    ``handle(sender, message)``. The result of the coroutine is the reply to a call;
    for a datagram it is ignored. ``bytes_sent`` and ``bytes_received`` count the
    network traffic between nodes.

    The resources that peers can occupy in this node are bounded: the number of
    datagrams being handled, the number of connections, the size of a request and of
    all long ones together.
    Anything above a bound is dropped and counted in ``dropped``; every sender has
    to cope with lost messages anyway.

    ``has_backlog`` returns whether what is read now may have arrived while this process
    did not run; see ``register``.

    ``allows_names`` is for peers whose addresses may be host names. Each datagram to a
    name looks it up and holds up the event loop meanwhile.

    ``incarnation`` distinguishes the restarts of a node. When a peer has received a
    higher incarnation from this node, which happens when the wall clock was set back
    before a restart, this node raises its own incarnation above that one and calls
    ``on_incarnation_raised``.
    """

    def __init__(
        self,
        *,
        node_name: str,
        incarnation: int,
        codec: PeerCodec,
        host: str = "127.0.0.1",
        port: int = 0,
        has_backlog: Callable[[], bool] = lambda: False,
        allows_names: bool = True,
    ) -> None:
        self.node_name = node_name
        self._allows_names = allows_names
        self._has_backlog = has_backlog
        self.incarnation = incarnation
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped: Counter[str] = Counter()
        self.on_incarnation_raised: Callable[[int], None] = lambda incarnation: None
        self._replay_guard = ReplayGuard()
        self._connection_count = 0
        self._long_request_bytes = 0
        self._codec = codec
        self._host = host
        self._port = port
        self._sequence = itertools.count(1)
        self._handler_by_kind: dict[str, Handler] = {}
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._datagram_tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> Address:
        return self._host, self._port

    def register(
        self,
        kind: str,
        struct_type: type,
        handle: Handle,
        *,
        expires: bool = False,
        handle_delayed: Handle | None = None,
    ) -> None:
        """Call ``handle`` for each message of ``kind``.

        With ``expires``, a message says what holds when it is sent, or how old its
        content is then. A datagram of this kind that may have waited while this process
        did not run goes to ``handle_delayed``, and without one it is dropped.
        """
        delayed = handle_delayed if expires else handle
        self._handler_by_kind[kind] = Handler(struct_type, handle, delayed)

    async def start(self) -> None:
        """Open a TCP and a UDP socket on the same port.

        Raise ``OSError`` if either cannot be opened; then neither is open.
        """
        if self._codec.is_unauthenticated:
            log.warning("peers: no key is set, any process may speak as a peer")
        server = await asyncio.start_server(
            self._serve_connection,
            self._host,
            self._port,
            backlog=_BACKLOG,
            limit=_READ_BYTES,
        )
        for listener in server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        try:
            self._datagram_transport, _ = await loop.create_datagram_endpoint(
                lambda: DatagramReader(self._datagram_received, self._has_backlog),
                local_addr=(self._host, port),
            )
        except BaseException:
            server.close()
            raise
        self._server, self._port = server, port

    async def stop(self) -> None:
        """Close both sockets and cancel the handlers that still run."""
        if self._datagram_transport:
            self._datagram_transport.close()
            # A later send() checks this; sending on the closed socket would fail.
            self._datagram_transport = None
        if self._server:
            self._server.close()
        tasks = self._tasks | self._datagram_tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, address: Address, kind: str, message: Any) -> bool:
        """Send a datagram, which may be lost; return False if it could not be sent."""
        return self.send_all((address,), kind, message)

    def send_all(self, addresses: Iterable[Address], kind: str, message: Any) -> bool:
        """Send one datagram to several peers; it is encoded and signed only once."""
        frame = self._make_frame(kind, message)
        if len(frame) > _MAX_DATAGRAM_BYTES:
            self._count_dropped(f"oversized datagrams of kind {kind}")
            return False
        if self._datagram_transport is None:
            return False
        for address in addresses:
            if not _is_sendable(address, self._allows_names):
                self._count_dropped("datagrams to invalid addresses")
                continue
            self._datagram_transport.sendto(frame, address)
            self.bytes_sent += len(frame)
        return True

    async def call(
        self,
        address: Address,
        kind: str,
        message: Any,
        reply_type: type,
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Any | CallFailed:
        """Send a message over a new connection and return the decoded reply.

        Every call opens its own connection: a device on the path can lose the state
        of a connection that is kept open, and neither end notices.
        """
        opened = await self.open_stream(
            address, kind, message, reply_type, timeout_s=timeout_s
        )
        if isinstance(opened, CallFailed):
            return opened
        opened.transport.close()
        return opened.reply

    async def open_stream(
        self,
        address: Address,
        kind: str,
        message: Any,
        reply_type: type,
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> OpenedStream | CallFailed:
        """Send a message; return the reply and the connection, which stays open.

        The handler of ``kind`` returns a ``StreamReply``.
        """
        if not _is_sendable(address, self._allows_names):
            return CallFailed(f"invalid address {address}")
        try:
            async with asyncio.timeout(timeout_s):
                opened = await self._open_stream(address, kind, message)
                if opened is not None and opened.reply.kind == _BEHIND:
                    opened.transport.close()
                    self._raise_incarnation(unpack(Behind, opened.reply.body))
                    opened = await self._open_stream(address, kind, message)
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return CallFailed(f"{type(error).__name__}: {error}", is_refused)
        if opened is None:
            return CallFailed("the reply is invalid")
        is_reply = opened.reply.kind == _REPLY
        reply = unpack(reply_type, opened.reply.body) if is_reply else None
        if reply is None:
            opened.transport.close()
            return CallFailed("the reply is invalid")
        return OpenedStream(reply, opened.transport)

    async def _open_stream(
        self, address: Address, kind: str, message: Any
    ) -> OpenedStream | None:
        """Send a request; return its reply's envelope, or None if it is invalid."""
        sequence = next(self._sequence)
        frame = self._make_frame(kind, message, sequence=sequence)
        with hop("peer", kind=kind):
            transport, reply = await request_stream(address, frame)
        self.bytes_sent += len(frame) + LENGTH.size
        self.bytes_received += len(reply) + LENGTH.size
        envelope = self._codec.open(reply)
        if envelope is None or envelope.reply_to != sequence:
            transport.close()
            return None
        return OpenedStream(envelope, transport)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connection_count >= _MAX_CONNECTIONS:
            self._count_dropped("connections")
            writer.close()
            return
        writer.transport.max_size = _READ_BYTES
        self._track_current_task()
        self._connection_count += 1
        is_taken_over = False
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                frame = await self._read_frame(reader)
                is_taken_over = await self._serve_request(frame, reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("peers: incoming call aborted: %s", error)
        except asyncio.CancelledError:
            # The link is stopping. asyncio would log the cancelled task as an error.
            log.debug("peers: incoming call aborted: the link is stopping")
        finally:
            self._connection_count -= 1
            if not is_taken_over:
                writer.close()

    async def _serve_request(
        self, frame: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether its handler took over the connection."""
        envelope = self._open_frame(frame)
        if envelope is None:
            return False
        freshness = self._check_freshness(envelope)
        if freshness is Freshness.BEHIND:
            reply, kind = self._make_behind(envelope), _BEHIND
        elif freshness is Freshness.REPEATED or has_hung_up(writer):
            return False
        else:
            reply, kind = await self._call_handler(envelope), _REPLY
        if reply is None:
            return False
        stream = reply if isinstance(reply, StreamReply) else StreamReply(reply)
        if stream.take_over is not None and (reader.at_eof() or writer.is_closing()):
            stream.abandon()
            return False
        reply_frame = self._make_frame(kind, stream.message, reply_to=envelope.sequence)
        self._write_frame(writer, reply_frame)
        if stream.take_over is not None:
            writer.transport.max_size = _STREAM_READ_BYTES
            widen_receive_window(writer.transport)
            stream.take_over(writer)
            return True
        await writer.drain()
        return False

    def _datagram_received(
        self, frame: bytes, source: Address, has_waited: bool
    ) -> None:
        self.bytes_received += len(frame)
        envelope = self._open_frame(frame)
        if envelope is None:
            return
        freshness = self._check_freshness(envelope)
        if freshness is Freshness.BEHIND:
            self.send(source, _BEHIND, self._make_behind(envelope))
        elif freshness is Freshness.NEW and envelope.kind == _BEHIND:
            self._raise_incarnation(unpack(Behind, envelope.body))
        elif freshness is Freshness.NEW:
            self._start_handler(envelope, has_waited)

    def _start_handler(self, envelope: Any, has_waited: bool) -> None:
        """Handle a datagram in its own task, unless too many such tasks are running.

        Without this bound, handlers that wait, for example for the platform, would
        accumulate while datagrams keep arriving and exhaust the node's memory.
        """
        if len(self._datagram_tasks) >= _MAX_DATAGRAM_TASKS:
            self._count_dropped("datagrams")
            return
        work = self._call_handler(envelope, has_waited=has_waited)
        task = asyncio.create_task(work)
        self._datagram_tasks.add(task)
        task.add_done_callback(self._datagram_tasks.discard)

    def _open_frame(self, frame: bytes) -> Any | None:
        envelope = self._codec.open(frame)
        if envelope is None:
            self._count_dropped("frames")
        return envelope

    def _check_freshness(self, envelope: Any) -> Freshness:
        freshness = self._replay_guard.check(
            envelope.sender, envelope.incarnation, envelope.sequence
        )
        if freshness is not Freshness.NEW:
            self._count_dropped(freshness.value)
        return freshness

    async def _call_handler(
        self, envelope: Any, *, has_waited: bool = False
    ) -> Any | None:
        handler = self._handler_by_kind.get(envelope.kind)
        if handler is None:
            return None
        handle = handler.handle_delayed if has_waited else handler.handle
        if handle is None:
            self._count_dropped("delayed datagrams")
            return None
        message = unpack(handler.struct_type, envelope.body)
        if message is None:
            self._count_dropped("messages")
            return None
        try:
            return await handle(envelope.sender, message)
        except Exception:
            log.exception("peers: %s from %s failed", envelope.kind, envelope.sender)
            return None

    def _make_behind(self, envelope: Any) -> Any:
        highest = self._replay_guard.highest_incarnation(envelope.sender)
        return Behind(incarnation=highest)

    def _raise_incarnation(self, behind: Any | None) -> None:
        if behind is None or behind.incarnation <= self.incarnation:
            return
        self.incarnation = behind.incarnation + 1
        log.warning("peers: a later life of this node is known, rising above it")
        self.on_incarnation_raised(self.incarnation)

    def _count_dropped(self, category: str) -> None:
        """Count a drop; log only the 1st, 2nd, 4th, 8th … so the log is not flooded."""
        self.dropped[category] += 1
        count = self.dropped[category]
        if count & (count - 1) == 0:
            log.warning("peers: %d %s dropped so far", count, category)

    def _make_frame(
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

    def _write_frame(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(LENGTH.pack(len(frame)) + frame)
        self.bytes_sent += len(frame) + LENGTH.size

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > _MAX_REQUEST_BYTES:
            raise OSError(f"frame of {length} bytes is too long")
        with self._memory_for(length):
            frame = await reader.readexactly(length)
        self.bytes_received += length + LENGTH.size
        return frame

    @contextlib.contextmanager
    def _memory_for(self, length: int) -> Iterator[None]:
        """Count a request that arrives; raise ``OSError`` without memory for it."""
        counted = length if length > _READ_BYTES else 0
        if self._long_request_bytes + counted > _LONG_REQUESTS_BYTES:
            self._count_dropped("long requests")
            raise OSError(f"no memory for a frame of {length} bytes")
        self._long_request_bytes += counted
        try:
            yield
        finally:
            self._long_request_bytes -= counted

    def _track_current_task(self) -> None:
        task = asyncio.current_task()
        if task:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


@functools.lru_cache(maxsize=1_024)
def _is_sendable(address: Address, allows_names: bool = True) -> bool:
    """Return whether a socket takes an address.

    asyncio closes a datagram socket for good after any error but an ``OSError``.

    >>> _is_sendable(("10.0.0.1", 80)), _is_sendable(("10.0.0.1", 70_000))
    (True, False)
    """
    host, port = address
    if not allows_names and not is_ipv4(host):
        return False
    try:
        host.encode("idna")
    except UnicodeError:
        return False
    return bool(host) and "\0" not in host and 0 < port <= _MAX_PORT
