"""The HTTP server for callers."""

import asyncio
import logging
from collections.abc import Callable

from aiohttp.http import HttpVersion11
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from fireflyward.clock import Clock, TimedOut, within_ms
from fireflyward.deployment import Limits, RouteKind
from fireflyward.forwarding import Forwarder, Trace
from fireflyward.http1 import ReadMemory, RequestMemory
from fireflyward.inbound import (
    ConnectionMemory,
    InboundServer,
    RefusedConnection,
    connection_of,
    has_queued_request,
    open_listener,
)
from fireflyward.observe import PER_REQUEST, PROOF, Metrics
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.platform import (
    CallerRequest,
    decode_request,
    rejection_headers,
    request_id_headers,
    status_of,
)
from fireflyward.routes import Allowed, RouteTable
from fireflyward.supervision import listen_when_free

from ._accept_limit import AcceptLimit, NodeLoads
from ._caller_bodies import RETRY_AFTER_MS, no_memory, read_in_task, read_up_to
from ._caller_reply import CallerReply
from ._route_outages import OutageBegan, OutageEnded, RouteOutages
from ._start_gate import StartGate

log = logging.getLogger("fireflyward.callers")

# The least memory for what connections hold beside admitted requests.
MIN_HELD_BYTES = 8 << 20
_BODY_TIMEOUT_MS = 10_000
# The HTTP library buffers up to twice this before it stops reading a connection.
_READ_BUFFER_BYTES = 65_536
_DRAIN_POLL_MS = 20
# The share of the time for a drain in which requests are still taken whose headers had
# arrived in part when it began. Later ones could be cut by its end.
_HEADERS_SHARE = 0.1
# The share that is left to requests that a replica runs. A body that has not arrived by
# then is not waited for.
_RUN_SHARE = 0.4
# How long cancelled requests may take to end.
_CANCEL_TIMEOUT_S = 0.05
# This status is never sent; aiohttp requires a handler to return a response.
_CALLER_GONE_STATUS = 499


class CallerServer:
    """Reads requests, authorizes and forwards them, and sends one response to each."""

    def __init__(
        self,
        *,
        clock: Clock,
        routes: RouteTable,
        forwarder: Forwarder,
        metrics: Metrics,
        gate: StartGate,
        accept_limit: AcceptLimit,
        loads: Callable[[], NodeLoads],
        connection_memory: ConnectionMemory | None = None,
        memory: ReadMemory | None = None,
    ) -> None:
        """``loads`` returns the requests in flight here and at other nodes.

        ``memory`` bounds the bodies of requests and of responses,
        ``connection_memory`` what connections hold beside admitted requests.
        """
        self.memory = memory or ReadMemory()
        self._accept_limit = accept_limit
        self._loads = loads
        self._clock = clock
        self._routes = routes
        self._forwarder = forwarder
        self._metrics = metrics
        self._gate = gate
        self._server = InboundServer(
            self._handle,
            clock=clock,
            limits=lambda: self._limits,
            memory=connection_memory or ConnectionMemory(MIN_HELD_BYTES),
            max_connections=accept_limit.max_connections,
            refusal_headers=request_id_headers,
            count=lambda reason: metrics.count(
                "caller_connections_closed_total", reason=reason
            ),
            handler_cancellation=True,
            logger=log,
            read_bufsize=_READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self._listener: asyncio.Server | None = None
        self._is_stopping = False
        self._takes_requests = True
        self._reading_ends = asyncio.Event()
        self.in_flight = 0
        self.outages = RouteOutages()

    async def listen(self, address: str) -> str:
        """Accept connections at ``IP:PORT``; return that with the real port.

        Raise ``CannotListen`` if the address stays in use.
        """
        host, _, port = address.rpartition(":")
        self._listener = await listen_when_free(
            "callers",
            address,
            lambda: open_listener(self._accept, host, int(port)),
            clock=self._clock,
        )
        return address_of(self._listener)

    async def run(self) -> None:
        """Close connections whose callers take too long, until cancelled."""
        await self._server.run()

    def _accept(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        now_ms, limit = self._clock.now_ms(), self._accept_limit
        loop.call_soon(self._measure_lag, now_ms)
        loads = self._loads() if limit.is_lagging(now_ms) else None
        self._server.make_room()
        if limit.may_accept(now_ms, len(self._server), loads):
            return self._server.accept()
        return RefusedConnection()

    def _measure_lag(self, since_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._accept_limit.on_lag(now_ms, now_ms - since_ms)

    @property
    def refused(self) -> int:
        """Return how many connections were closed unread."""
        return self._accept_limit.refused

    @property
    def connection_memory_bytes(self) -> int:
        """Return what connections hold beside admitted requests."""
        return self._server.memory.used_bytes

    def begin_stop(self) -> None:
        """Send ``Connection: close`` with all responses from now on."""
        self._is_stopping = True

    def close_listener(self) -> None:
        """Stop accepting new connections."""
        if self._listener is not None:
            self._listener.close()

    async def drain(self, limit_ms: float) -> None:
        """Close idle connections at once, and each other one after its response.

        An idle connection would otherwise stay open until the limit, and a request sent
        on it just before the process exits be lost. What arrives on any other one is
        still read, since its caller has begun to send a request. A stream that began
        before the stop has not told its caller that its connection closes.
        """
        began_ms = self._clock.now_ms()
        await self._close_connections(began_ms + limit_ms * _HEADERS_SHARE)
        self._takes_requests = False
        await self._close_connections(began_ms + limit_ms * (1 - _RUN_SHARE))
        self._reading_ends.set()
        await self._close_connections(began_ms + limit_ms)
        await self._server.shutdown(_CANCEL_TIMEOUT_S)

    async def _close_connections(self, end_ms: float) -> None:
        """Close connections as they become idle, until none is left or time is up."""
        while self._server.connections and self._clock.now_ms() < end_ms:
            self._server.close_idle()
            await self._clock.sleep_ms(_DRAIN_POLL_MS)

    def close_if_stopping(self, request: BaseRequest, response: StreamResponse) -> None:
        """Let a response close its connection if the process is stopping.

        A request that has been read behind this one is answered first. The connection
        also closes if it is unknown how much of the request follows.
        """
        is_last = self._is_stopping and not has_queued_request(request)
        if is_last or connection_of(request).must_close:
            response.force_close()

    async def send(self, request: BaseRequest, response: StreamResponse) -> None:
        """Send a complete response."""
        self.close_if_stopping(request, response)
        await response.prepare(request)
        await response.write_eof()

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        arrived_ms = self._clock.now_ms()
        self.in_flight += 1
        reply = CallerReply(self, request)
        caller: CallerRequest | NotRun | None = None
        outcome: Outcome = Unknown(Reason.CALLER_GONE)
        trace = Trace()
        response: StreamResponse | None = None
        try:
            caller = decode_request(
                request.method, request.raw_path, request.headers.items()
            )
            outcome = await self._serve_safely(
                request, caller, reply, arrived_ms, trace
            )
            response = await self._finish(request, caller, reply, outcome)
            return response
        except ConnectionError:
            # The caller closed the connection while its response was written, so the
            # response that is returned here is not sent either.
            return reply.response or Response(status=_CALLER_GONE_STATUS)
        finally:
            self.in_flight -= 1
            fields = {
                "status": response.status if response is not None else None,
                "made_by": "replica" if reply.response is not None else "node",
            }
            self._record(caller, outcome, arrived_ms, trace, fields)

    async def _serve_safely(
        self,
        request: BaseRequest,
        caller: CallerRequest | NotRun,
        reply: CallerReply,
        arrived_ms: int,
        trace: Trace,
    ) -> Outcome:
        """Serve a request; log an unexpected exception and fail only this request."""
        try:
            return await self._serve(request, caller, reply, arrived_ms, trace)
        except ConnectionError:
            return Unknown(Reason.CALLER_GONE)
        except Exception:
            log.exception("callers: a request failed with an unexpected exception")
            if trace.sends == 0:
                return NotRun(Reason.INTERNAL, retry_after_ms=RETRY_AFTER_MS)
            return Unknown(Reason.INTERNAL)

    async def _serve(
        self,
        request: BaseRequest,
        caller: CallerRequest | NotRun,
        reply: CallerReply,
        arrived_ms: int,
        trace: Trace,
    ) -> Outcome:
        if isinstance(caller, NotRun):
            return caller
        if not self._takes_requests:
            return _stopping()
        with self.memory.request() as memory:
            return await self._serve_body(
                request, caller, reply, arrived_ms, trace, memory
            )

    async def _serve_body(
        self,
        request: BaseRequest,
        caller: CallerRequest,
        reply: CallerReply,
        arrived_ms: int,
        trace: Trace,
        memory: RequestMemory,
    ) -> Outcome:
        """Read the body and forward the request, within ``memory``."""
        body = await self._read_body(request, memory)
        if isinstance(body, NotRun):
            return body
        if self._reading_ends.is_set():
            return _stopping()
        await self._gate.wait_until_open()
        # The key is checked after the body has arrived, so that a key withdrawn during
        # that time is rejected.
        allowed = self._routes.decide(
            self._clock.now_ms(),
            host=caller.host,
            path=caller.path,
            key=caller.key,
            request_id=caller.request_id,
        )
        if not isinstance(allowed, Allowed):
            return allowed
        if allowed.route.kind is RouteKind.STREAM and request.version < HttpVersion11:
            # Without chunks the caller could not tell the end from a broken stream.
            return NotRun(Reason.BAD_REQUEST, "a stream needs HTTP/1.1")
        return await self._forwarder.serve(
            caller, body, allowed, arrived_ms=arrived_ms, reply=reply, trace=trace
        )

    async def _finish(
        self,
        request: BaseRequest,
        caller: CallerRequest | NotRun,
        reply: CallerReply,
        outcome: Outcome,
    ) -> StreamResponse:
        if isinstance(outcome, Answered):
            return reply.response
        if reply.response is not None:
            # Closing the connection keeps aiohttp from writing the last chunk, so that
            # the caller detects that its stream is incomplete.
            if request.transport is not None:
                request.transport.close()
            return reply.response
        request_id = caller.request_id if isinstance(caller, CallerRequest) else None
        response = Response(
            status=status_of(outcome),
            headers=CIMultiDict(rejection_headers(request_id, outcome)),
            text=outcome.reason.value,
        )
        await self.send(request, response)
        return response

    @property
    def _limits(self) -> Limits:
        configuration = self._routes.configuration
        return configuration.limits if configuration else Limits()

    async def _read_body(
        self, request: BaseRequest, memory: RequestMemory
    ) -> bytes | bytearray | NotRun:
        limit = min(self._limits.max_body_bytes, self.memory.largest_request_bytes)
        declared = request.content_length or 0
        if declared > limit:
            return NotRun(Reason.TOO_LARGE, "body exceeds the limit")
        if not memory.has_room_for(declared):
            return no_memory()
        if not request.body_exists:
            return b""
        connection_of(request).admit_body()
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            if request.content.is_eof():
                read = await read_up_to(request, limit, memory)
            else:
                read = await within_ms(
                    self._clock,
                    _BODY_TIMEOUT_MS,
                    self._read_until_stop(request, limit, memory),
                )
        except RequestPayloadError:
            return NotRun(Reason.BAD_REQUEST, "the body is not in valid chunks")
        if isinstance(read, TimedOut):
            return NotRun(Reason.BODY_TIMEOUT, "body did not arrive in time")
        if isinstance(read, NotRun):
            return read
        if len(read) > limit:
            return NotRun(Reason.TOO_LARGE, "body exceeds the limit")
        return read

    async def _read_until_stop(
        self, request: BaseRequest, limit: int, memory: RequestMemory
    ) -> bytes | bytearray | NotRun:
        """Return a body that is still arriving, unless this process must stop first."""
        reading = asyncio.ensure_future(read_in_task(request, limit, memory))
        stopping = asyncio.ensure_future(self._reading_ends.wait())
        try:
            await asyncio.wait({reading, stopping}, return_when=asyncio.FIRST_COMPLETED)
            return reading.result() if reading.done() else _stopping()
        finally:
            reading.cancel()
            stopping.cancel()

    def _record(
        self,
        caller: CallerRequest | NotRun | None,
        outcome: Outcome,
        arrived_ms: int,
        trace: Trace,
        answer: dict[str, object],
    ) -> None:
        """Count a request in the metrics and log it in one line.

        ``answer`` holds the status of the response and whether a replica or the node
        created it; a replica's error response counts as an answer too.
        """
        now_ms = self._clock.now_ms()
        took_ms = now_ms - arrived_ms
        reason = "" if isinstance(outcome, Answered) else outcome.reason.value
        labels = {"outcome": outcome.tag, "reason": reason, "route": trace.route}
        self._metrics.count("requests_total", **labels)
        self._log_outage(self.outages.on_end(now_ms, trace.route, outcome))
        self._metrics.observe_ms("request_ms", took_ms)
        if trace.fair_reason:
            self._metrics.count(
                "fair_admission_total",
                service=trace.service,
                reason=trace.fair_reason,
                outcome=outcome.tag,
            )
        if trace.first_token_ms:
            self._metrics.observe_ms("first_token_ms", trace.first_token_ms)
        if trace.sends > 1:
            self._metrics.count("repeated_sends_total", trace.sends - 1)
        if trace.unattributed:
            self._metrics.count("unattributed_responses_total", trace.unattributed)
        if trace.skipped:
            self._metrics.count("skipped_responses_total", trace.skipped)
        request_id = caller.request_id if isinstance(caller, CallerRequest) else "none"
        fields = {
            **trace.fields(),
            **answer,
            "request": request_id,
            "outcome": outcome.tag,
            "reason": reason,
            "detail": getattr(outcome, "detail", ""),
            "took_ms": took_ms,
            "configuration_age_ms": self._routes.age_ms(now_ms),
        }
        rests_on_proof = trace.sends > 0 and isinstance(outcome, NotRun)
        marks = PROOF if rests_on_proof or trace.unattributed else PER_REQUEST
        log.info("callers: %s", outcome.tag, extra={"fields": fields, **marks})

    def _log_outage(self, change: OutageBegan | OutageEnded | None) -> None:
        if isinstance(change, OutageBegan):
            log.warning(
                "callers: no request of route %s answered for %d ms, %d failed, "
                "most of them: %s",
                change.route,
                change.duration_ms,
                change.requests,
                change.cause,
            )
        elif change is not None:
            log.warning(
                "callers: route %s answers again after %d ms, %d failed, "
                "most of them: %s",
                change.route,
                change.duration_ms,
                change.requests,
                change.cause,
            )


def _stopping() -> NotRun:
    return NotRun(
        Reason.STOPPING,
        "this node stops before the request could be served",
        retry_after_ms=RETRY_AFTER_MS,
    )


def address_of(listener: asyncio.Server) -> str:
    """Return the ``IP:PORT`` of a listener."""
    host, port = listener.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
