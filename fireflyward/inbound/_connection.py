"""One connection, whose bytes reach the HTTP library a complete head at a time."""

import asyncio
import socket
import struct
from typing import Protocol

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from fireflyward.deployment import Limits

from ._framing import BodyFraming, Head, HeadBuffer, Refusal
from ._listener import widen_receive_window
from ._memory import ConnectionMemory

# The most that is read at once before the body of a request is admitted, and after.
_READ_BYTES = 16_384
_BODY_READ_BYTES = 65_536
# A client may still be sending when it is refused. Closing at once would reset the
# connection, and the client would lose the response.
_LINGER_MS = 1_000
_LINGER_BYTES = 1 << 20
_RETRY_AFTER_S = "0.30"
# Handlers have shorter limits for the bodies that they read.
_BODY_TIMEOUT_MS = 60_000
# SO_LINGER with no time: closing discards what the client has not read.
_RESET = struct.pack("ii", 1, 0)


class _Server(Protocol):
    """What a connection uses of its server; see ``InboundServer``."""

    memory: ConnectionMemory

    def limits(self) -> Limits: ...

    def now_ms(self) -> int: ...

    def refusal_headers(self, data: bytes) -> tuple[tuple[str, str], ...]: ...

    def on_idle(self) -> None: ...

    def on_closed(self, reason: str, connection: "InboundConnection") -> None: ...

    def on_refused(self, refusal: Refusal, connection: "InboundConnection") -> None: ...


class InboundConnection(RequestHandler):
    """One connection of a client.

    The HTTP library tells its user nothing of a request before its head is complete,
    and parses requests ahead of their turn. This class holds the bytes back until a
    head is whole, the request before it has ended and the client has read enough of its
    answers. It counts what it holds in the account of its server.
    """

    __slots__ = (
        "_body",
        "_buffer",
        "_has_begun",
        "_has_completed_request",
        "_is_busy",
        "_is_discarding",
        "_linger_bytes",
        "_payload",
        "_reserved_bytes",
        "_server",
        "_since_ms",
        "_unread_bytes",
        "_unread_since_ms",
    )

    def __init__(
        self, server: _Server, *, loop: asyncio.AbstractEventLoop, **options
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._server = server
        self._buffer = HeadBuffer()
        self._body: BodyFraming | None = None
        self._payload: StreamReader | None = None
        # A head was passed on, and its request has not ended.
        self._is_busy = False
        self._has_begun = False
        self._has_completed_request = False
        self._is_discarding = False
        self._linger_bytes = 0
        self._reserved_bytes = 0
        # Since when the connection waits for what it now waits for.
        self._since_ms = server.now_ms()
        self._unread_bytes = 0
        self._unread_since_ms = 0

    # What the server asks

    @property
    def is_idle(self) -> bool:
        """Return whether no request is arriving, waiting or being served."""
        return not (self._is_busy or self._body or self._buffer.data)

    @property
    def may_give_way(self) -> bool:
        """Return whether no request has been read that is not yet answered."""
        return not (self._is_busy or self._body) or self._is_discarding

    @property
    def has_completed_request(self) -> bool:
        """Return whether a request was served and nothing of another has arrived."""
        return self._has_completed_request and not self._buffer.data

    @property
    def since_ms(self) -> int:
        """Return since when the connection waits for its client."""
        return self._since_ms

    @property
    def has_queued_request(self) -> bool:
        """Return whether a part of another request waits behind the one served."""
        return bool(self._buffer.data)

    def check(self, now_ms: int, limits: Limits) -> None:
        """Close the connection if its client has taken too long."""
        waited_ms = now_ms - self._since_ms
        if self._is_discarding:
            if waited_ms > _LINGER_MS:
                self._close_now()
        elif self._paused:
            self._check_unread(now_ms, limits)
        elif self._body is not None:
            if waited_ms > _BODY_TIMEOUT_MS:
                self._server.on_closed("body_timeout", self)
                self._close_now()
        elif self._is_busy:
            return
        elif self._buffer.data:
            if waited_ms > limits.header_timeout_ms:
                self._refuse(Refusal.TIMEOUT)
        elif waited_ms > limits.idle_timeout_ms:
            self._server.on_idle()
            self.force_close()

    def _check_unread(self, now_ms: int, limits: Limits) -> None:
        unread = self._unread()
        if unread < self._unread_bytes:
            self._unread_since_ms = now_ms
        elif now_ms - self._unread_since_ms > limits.idle_timeout_ms:
            self._server.on_closed("answers_unread", self)
            self.reset()
            return
        self._unread_bytes = unread
        self._count_held()

    def _unread(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport else 0

    def give_way(self) -> None:
        """Close the connection, which holds more than the others."""
        self._server.on_closed("gave_way", self)
        self.reset()

    def reset(self) -> None:
        """Close the connection and discard what its client has not read."""
        transport = self.transport
        self._buffer.data.clear()
        if transport is not None:
            raw = transport.get_extra_info("socket")
            if raw is not None and raw.family in (socket.AF_INET, socket.AF_INET6):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            transport.abort()
        self.force_close()

    # What handlers report

    def begin_request(self) -> None:
        """Record that a handler has begun, and pass on what has arrived for it."""
        self._has_begun = True
        if self._body is not None:
            self._advance()

    def admit_body(self) -> None:
        """Read what is left of the body in larger pieces; there is memory for it."""
        if self._body is not None and self.transport is not None:
            self.transport.max_size = _BODY_READ_BYTES
            widen_receive_window(self.transport)

    @property
    def must_close(self) -> bool:
        """Return whether the response to the request must close the connection.

        It must if chunks of the body have yet to arrive, since nobody knows how many
        follow, or if they were invalid.
        """
        has_unread_chunks = self._body is not None and self._body.is_chunked
        return has_unread_chunks or self._is_discarding

    def end_request(self) -> None:
        """Record that a handler has ended."""
        if self.transport is not None:
            self.transport.max_size = _READ_BYTES
        self._has_completed_request = True
        if self.must_close:
            # The library waits for the rest of the body, until this class closes.
            self._payload.set_exception(None)
            self._begin_discarding()
        self._payload = None
        # What the library still does for this request comes first.
        self._loop.call_soon(self._finish_request)

    def _finish_request(self) -> None:
        self._is_busy = False
        self._release_head()
        self._since_ms = self._server.now_ms()
        self._advance()

    # What the transport and the library report

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = _READ_BYTES
        # The next request waits as soon as the kernel takes no more of the answers.
        # With a mark of 0, TLS would count an empty buffer as full.
        transport.set_write_buffer_limits(high=1)
        super().connection_made(transport)

    def connection_lost(self, error: BaseException | None) -> None:
        self._buffer.data.clear()
        self._release_head()
        self._server.memory.hold(self, 0)
        super().connection_lost(error)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._unread_since_ms = self._server.now_ms()
        self._unread_bytes = self._unread()
        self._count_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._unread_bytes = 0
        self._advance()

    def data_received(self, data: bytes) -> None:
        if not data:
            # The library asks its parser to go on.
            super().data_received(data)
        elif self._is_discarding:
            self._discard(len(data))
        else:
            was_idle = self.is_idle
            self._buffer.data += data
            self._advance()
            if was_idle and not self.is_idle:
                self._since_ms = self._server.now_ms()

    def _resume_reading_if_drained(self) -> None:
        """Leave it to ``_advance`` when to read on, since the library holds nothing."""

    def _advance(self) -> None:
        """Pass on what may be parsed now; wait with the rest."""
        if self.transport is None or self._parser is None or self._close:
            return
        limits = self._server.limits()
        while self._buffer.data and not self._is_discarding:
            if self._body is not None:
                if not self._has_begun or not self._pass_body(limits):
                    break
            elif self._is_busy or self._paused or not self._pass_head(limits):
                break
        if self.transport is not None and not self._is_discarding:
            self._pace_reading(limits)
            self._count_held()

    def _pass_body(self, limits: Limits) -> bool:
        """Pass on a part of the body; return whether there may be more to do."""
        part = self._body.take(self._buffer.data, limits.max_header_bytes)
        if isinstance(part, Refusal):
            self._break_body(part)
            return False
        if part:
            super().data_received(part)
        if self._body.has_ended:
            self._body = None
            self._since_ms = self._server.now_ms()
            return True
        return False

    def _break_body(self, refusal: Refusal) -> None:
        """Let reading the body fail, and close once the handler has answered."""
        self._server.on_refused(refusal, self)
        self._payload.set_exception(RequestPayloadError(refusal.label))
        self._begin_discarding()

    def _pass_head(self, limits: Limits) -> bool:
        head = self._buffer.take_head(limits.max_header_bytes)
        if head is None:
            return False
        if isinstance(head, Refusal):
            self._refuse(head)
            return False
        if not self._server.memory.reserve(head.parsed_bytes):
            self._refuse(Refusal.NO_MEMORY, head)
            return False
        self._reserved_bytes = head.parsed_bytes
        return self._parse(head)

    def _parse(self, head: Head) -> bool:
        """Pass a head to the library; return False if it is refused."""
        try:
            messages, self._upgraded, _ = self._parser.feed_data(head.data)
        except HttpProcessingError:
            messages = ()
        if not messages:
            self._release_head()
            self._refuse(Refusal.BAD_REQUEST)
            return False
        self._is_busy, self._has_begun = True, False
        for message, payload in messages:
            self._request_count += 1
            self._messages.append((message, payload))
            self._payload = payload
            if message.chunked:
                self._body = BodyFraming(None)
            elif not payload.is_eof() and "Content-Length" in message.headers:
                self._body = BodyFraming(int(message.headers["Content-Length"]))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        return True

    def _pace_reading(self, limits: Limits) -> None:
        """Stop reading while enough has been read that cannot be passed on."""
        waits = self._is_busy and (self._body is None or not self._has_begun)
        is_full = len(self._buffer.data) >= min(limits.max_header_bytes, _READ_BYTES)
        must_pause = is_full and (waits or self._paused)
        if must_pause and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif self._buffer_paused and not must_pause:
            self._resume_reading_for_buffer()

    def _count_held(self) -> None:
        unread = self._unread_bytes if self._paused else 0
        self._server.memory.hold(self, len(self._buffer.data) + unread)

    def _release_head(self) -> None:
        size, self._reserved_bytes = self._reserved_bytes, 0
        if size:
            self._server.memory.release(size)

    # Refusals

    def _refuse(self, refusal: Refusal, head: Head | None = None) -> None:
        """Answer without a request having been passed on, and close."""
        data = head.data if head is not None else bytes(self._buffer.data)
        self._server.on_refused(refusal, self)
        text = refusal.label.encode()
        extra = self._server.refusal_headers(data)
        if refusal.status in (408, 503):
            extra += (("Retry-After", _RETRY_AFTER_S),)
        lines = "".join(f"{name}: {value}\r\n" for name, value in extra)
        self.transport.write(
            f"HTTP/1.1 {refusal.status} {refusal.phrase}\r\n{lines}"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode()
            + text
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._begin_discarding()

    def _begin_discarding(self) -> None:
        self._is_discarding = True
        self._body = None
        self._since_ms = self._server.now_ms()
        self._buffer.data.clear()
        self._server.memory.hold(self, 0)
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def _discard(self, size: int) -> None:
        self._linger_bytes += size
        if self._linger_bytes > _LINGER_BYTES:
            self._close_now()

    def _close_now(self) -> None:
        """Close without waiting for a client that does not read."""
        if self._paused:
            self.reset()
        else:
            self.force_close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answer an error without the client's bytes, which may be many."""
        if exc is not None and status >= 500:
            return super().handle_error(request, status, exc, message)
        self._server.on_refused(Refusal.BAD_REQUEST, self)
        if request.writer.output_size > 0:
            raise ConnectionError("a response has been sent already")
        response = Response(status=status, text=Refusal.BAD_REQUEST.label)
        response.force_close()
        return response


def connection_of(request: BaseRequest) -> InboundConnection:
    """Return the connection on which a request arrived."""
    return request.protocol


def has_queued_request(request: BaseRequest) -> bool:
    """Return whether another request has been read on the connection of ``request``.

    Its caller has sent it without waiting for a response. A response that closes the
    connection would leave it without an answer.
    """
    return connection_of(request).has_queued_request
