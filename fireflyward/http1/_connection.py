"""An HTTP/1.1 client connection that handles one request at a time."""

import asyncio
import enum
import logging
import select
import socket
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

from fireflyward.decoding import whole_number

from ._framing import Framing, framing_of, has_second_status_line
from ._head import Head
from ._late_responses import LateResponses, NamedBy

log = logging.getLogger("fireflyward.http1")

# The largest header of a response, with the interim responses before it. It also bounds
# what stands between the bytes of a body, such as chunk sizes, their extensions and
# trailers, beside a multiple of the body's size.
MAX_HEAD_BYTES = 65_536
_FRAMING_PER_BODY_BYTE = 2
# The connection stops reading from the peer when a response has more unread bytes.
# Responses in these deployments have a few kilobytes, so only a caller that stopped
# reading causes this.
_MAX_UNREAD_BYTES = 262_144
# Unread parts of a body that are smaller than this are joined. A response may arrive in
# many parts of a few bytes, each of which needs some 100 bytes of memory.
_MIN_PART_BYTES = 4_096
# A larger body is written in pieces of this size, each once the peer has taken most of
# the one before. The transport would otherwise hold a second copy.
_PIECE_BYTES = 65_536
# How long a peer may be silent, with sent bytes unacknowledged or keepalive probes
# unanswered. A sound peer may fall silent for a second or so. While TCP_USER_TIMEOUT
# is set, it alone decides for both; the number of probes has no effect.
_MAX_SILENCE_MS = 2_500
_PROBE_INTERVAL_S = 1


class BrokenAt(enum.Enum):
    """How far a request got before its connection broke.

    ``UNSENT`` means that the peer cannot have received any byte of the request,
    ``SENT`` that no response header arrived, ``HEAD`` that it had arrived.
    """

    UNSENT = "unsent"
    SENT = "sent"
    HEAD = "head"


@dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of the response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The response is complete."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The response is missing or incomplete; no more events follow."""

    at: BrokenAt
    detail: str


Event = Head | BodyPart | End | Broken


class HttpConnection(asyncio.Protocol):
    """Sends a request and returns the response as a sequence of events.

    Any byte that arrives while no request is in flight makes the connection unusable:
    it belongs to no request, and the next request would get it as its response.

    A whole response to an earlier request of the connection is skipped, if it arrives
    where the next one is expected; see ``attribution.CarriedRequests``. It must have a
    length or chunks, and be neither large nor slow.

    A response whose header does not end within ``MAX_HEAD_BYTES``, or that consists
    mostly of framing, breaks the connection. The size of the body is up to its reader.

        connection.send(b"GET", b"/path", headers, b"")
        while not isinstance(event := await connection.next_event(), (End, Broken)):
            ...
    """

    __slots__ = (
        "_body_bytes",
        "_events",
        "_framing_bytes",
        "_has_framing",
        "_head_done",
        "_headers",
        "_is_busy",
        "_is_paused",
        "_is_write_paused",
        "_keep_alive_s",
        "_late",
        "_method",
        "_parser",
        "_reason",
        "_transport",
        "_unread_bytes",
        "_unwritten",
        "_waiter",
        "address",
        "confirmed_peer",
        "idle_since_ms",
        "must_close",
        "received_bytes",
        "relay",
        "served",
    )

    def __init__(self, address: str, *, relay: str = "") -> None:
        """``relay`` names the node through which the peer is reached, if any.

        ``confirmed_peer`` is the id of the replica's incarnation that is known to be
        the peer, None before that was asked.
        """
        self.address = address
        self.relay = relay
        self.confirmed_peer: int | None = None
        self.received_bytes = 0
        self.idle_since_ms = 0
        self.must_close = False
        self.served = 0
        self._late = LateResponses()
        self._transport: asyncio.Transport | None = None
        self._events: deque[Event] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._is_busy = False
        self._is_paused = False
        self._is_write_paused = False
        self._unwritten: memoryview | None = None
        self._unread_bytes = 0
        self._method = "GET"
        self._keep_alive_s: float | None = None
        self._reset_parser()

    def __repr__(self) -> str:
        return f"HttpConnection({self.address!r}, served={self.served})"

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self.must_close
            and not self._is_busy
        )

    def has_input(self) -> bool:
        """Return whether the peer closed an idle connection or sent bytes on it.

        The event loop may not have read the end of the connection yet. A request that
        is sent now would be lost, and it would be unknown whether it ran.
        """
        raw = self._transport.get_extra_info("socket") if self._transport else None
        if raw is None:
            return False
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    @property
    def ends_response(self) -> bool:
        """Return whether the end of the connection is that of its last response.

        Such a response may have been cut short even though it looks complete.
        """
        return self._head_done and not self._has_framing

    @property
    def skipped(self) -> int:
        """Return how many late responses preceded that to the last request."""
        return self._late.skipped

    @property
    def label(self) -> str:
        """Return what tells this connection from others in the logs of both ends."""
        transport = self._transport
        name = transport.get_extra_info("sockname") if transport is not None else None
        port = name[1] if name else "closed"
        return f"port {port}, {self.served} responses"

    @property
    def keep_alive_ms(self) -> float | None:
        """Return for how long the peer keeps an idle connection, None if unknown."""
        return None if self._keep_alive_s is None else self._keep_alive_s * 1_000

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes = b"",
        *,
        request_id: str | None = None,
        named_by: NamedBy | None = None,
    ) -> None:
        """Write one request; a body is sent with a ``Content-Length`` header.

        ``named_by`` returns the id of the request that a response names. Without it no
        response is skipped.

        If the connection is already lost, or its first write fails, then the only event
        is ``Broken`` at ``UNSENT``.
        """
        self._reset_parser()
        self._is_busy = True
        self._method = method
        self._late.on_request(request_id, named_by)
        self._events.clear()
        if self._transport is None or self._transport.is_closing():
            self._fail_unsent("connection closed before the request")
            return
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")
        if len(body) > _PIECE_BYTES:
            whole = memoryview(body)
            body, self._unwritten = whole[:_PIECE_BYTES], whole[_PIECE_BYTES:]
        self._transport.write(data + body)
        if self._transport.is_closing():
            # The transport writes to the socket at once and closes if that fails, in
            # which case the kernel has accepted no byte of the request.
            self._fail_unsent("connection lost before the request")
        elif self._unwritten is not None:
            self._write_pieces()

    def _write_pieces(self) -> None:
        """Write a body until the transport has enough or nothing is left."""
        while self._unwritten is not None and not self._is_write_paused:
            piece, rest = self._unwritten[:_PIECE_BYTES], self._unwritten[_PIECE_BYTES:]
            self._unwritten = rest if len(rest) else None
            self._transport.write(piece)
            if self._transport is None or self._transport.is_closing():
                self._unwritten = None

    async def next_event(self) -> Event:
        """Return the next event of the response; ``End`` or ``Broken`` is the last."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, BodyPart):
            self._unread_bytes -= len(event.data)
            if self._is_paused and self._unread_bytes < _MAX_UNREAD_BYTES:
                self._is_paused = False
                self._transport.resume_reading()
        return event

    async def next_event_within(self, limit_ms: float) -> Event | None:
        """Return the next event, or None if there is none within ``limit_ms``."""
        if self._events:
            return await self.next_event()
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1_000):
                return await self.next_event()
        except TimeoutError:
            return None

    def close(self) -> None:
        """Close the connection at once; a response still to come is discarded."""
        self._late.cancel_skip()
        self._unwritten = None
        self.must_close = True
        if self._transport is not None:
            self._transport.abort()

    def close_after_response(self) -> None:
        """Use the connection for no further request; close it now if it is idle."""
        self.must_close = True
        if not self._is_busy:
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None and raw.family == socket.AF_INET:
            enable_dead_peer_detection(raw)

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False
        self._write_pieces()

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if not self._is_busy:
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")
        except httptools.HttpParserUpgrade:
            self._fail("response switches to another protocol")
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._check_framing()

    def _check_framing(self) -> None:
        """Break the connection if it does not carry a response any more."""
        limit = MAX_HEAD_BYTES + _FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._is_busy and self._framing_bytes > limit:
            part = "framing" if self._head_done else "header"
            detail = f"{part} of {self._framing_bytes} bytes or more, limit {limit}"
            log.warning("http1: response of %s: %s", self.address, detail)
            self._fail(detail)

    def eof_received(self) -> bool:
        if self._is_busy and self._head_done and not self._has_framing:
            self._complete(reusable=False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.must_close = True
        self._unwritten = None
        if self._is_busy:
            self._fail(f"connection lost: {error}" if error else "connection closed")
        self._transport = None

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if not self._is_busy:
            self.must_close = True

    def on_status(self, status: bytes) -> None:
        self._reason += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:
            # A trailer is not used.
            return
        self._headers.append((name.decode("latin-1").lower(), _text(value)))

    def on_headers_complete(self) -> None:
        if not self._is_busy or self._head_done:
            self.must_close = True
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers, self._reason = [], ""
            return
        if status < 100:
            self._fail(f"status {status}")
            return
        head = Head(status, self._reason, tuple(self._headers))
        if has_second_status_line(head) and has_second_status_line(
            head, except_text=self._late.carried_id(head)
        ):
            self._fail("header continues with another response")
            return
        framing = framing_of(self._method, head)
        if framing is Framing.UNKNOWN:
            self._fail("unknown transfer coding")
            return
        self._head_done = True
        self._has_framing = framing is Framing.DECLARED
        if self._has_framing and self._late.may_skip(head):
            detail = "a response to an earlier request did not end"
            self._late.begin_skip(lambda: self._fail(detail))
            return
        self._keep_alive_s = _keep_alive_s(head.get("keep-alive"))
        self._add_event(head)
        if self._method == "HEAD":
            # The parser does not know the method, and may wait for a body.
            self._complete(reusable=self._parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        if not self._is_busy:
            self.must_close = True
            return
        size = len(data)
        if self._late.is_skipping:
            if not self._late.on_body(size):
                self._fail("a response to an earlier request is too large")
            return
        self._body_bytes += size
        self._framing_bytes -= size
        self._unread_bytes += size
        last = self._events[-1] if self._events else None
        if isinstance(last, BodyPart) and len(last.data) < _MIN_PART_BYTES:
            self._events[-1] = BodyPart(last.data + data)
        else:
            self._add_event(BodyPart(data))
        if self._unread_bytes > _MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        if not self._is_busy or not self._head_done:
            return
        if self._late.is_skipping:
            self._end_skip()
            return
        self._complete(reusable=self._has_framing and self._parser.should_keep_alive())

    def _end_skip(self) -> None:
        """Expect the response to the request in flight next."""
        if not self._parser.should_keep_alive():
            self._fail("a response to an earlier request closes the connection")
            return
        self._late.end_skip()
        self._headers, self._reason = [], ""
        self._head_done = self._has_framing = False

    def _complete(self, *, reusable: bool) -> None:
        self._is_busy = False
        self.served += 1
        if not reusable or self._unwritten is not None:
            self.must_close = True
        self._add_event(End())

    def _fail(self, detail: str) -> None:
        has_own_head = self._head_done and not self._late.is_skipping
        self._late.cancel_skip()
        at = BrokenAt.HEAD if has_own_head else BrokenAt.SENT
        self._is_busy = False
        self._add_event(Broken(at, detail))
        self.close()

    def _fail_unsent(self, detail: str) -> None:
        self._is_busy = False
        self._add_event(Broken(BrokenAt.UNSENT, detail))
        self.close()

    def _add_event(self, event: Event) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._reason = ""
        self._head_done = False
        self._has_framing = False
        self._framing_bytes = 0
        self._body_bytes = 0


def enable_dead_peer_detection(raw: socket.socket) -> None:
    """Let the kernel close a connection whose peer has become unreachable.

    A VM without power or behind a network partition sends nothing, and a request to
    it would hang until the caller's deadline. The kernel closes the connection at the
    first retransmission or probe that is due ``_MAX_SILENCE_MS`` after the last sign of
    the peer, which is after about 3 s.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _MAX_SILENCE_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)


def _keep_alive_s(value: str | None) -> int | None:
    """Return the timeout in a ``Keep-Alive`` header, in seconds.

    >>> _keep_alive_s("timeout=5, max=100")
    5
    """
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout":
            return whole_number(number)
    return None


def _text(value: bytes) -> str:
    """Return a header's value, which is UTF-8 or else Latin-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
