"""Stand-in for a replica: a plain service, or an engine with streams and weights."""

import asyncio
import enum
import json
import weakref

from ._http import RawServer, json_response, reset, response

SIGNATURE = ("X-Server-Seal", "3e1b.07.5a2")
_NOT_EXECUTED = ("X-Not-Executed", "1")
# How long a replica works on a prompt that crashes it.
_CRASH_DELAY_S = 0.03
CRASHING_BODY = b"what no replica survives"


class ReplicaBehavior(enum.Enum):
    """How a replica answers a request."""

    NORMAL = "normal"
    FULL = "full"
    FAILS = "fails"
    REQUESTS_BACKOFF = "rejects and requests a backoff"
    RESETS = "resets"
    TRUNCATES = "truncates"
    TRUNCATES_STREAM = "truncates stream"
    WRONG_REQUEST_ID = "answers with the id of another request"
    SENDS_EXTRA_RESPONSE = "sends an extra response"
    UNSIGNED = "unsigned"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed, reset"
    UNFRAMED_TRUNCATED = "unframed, ends inside an event"
    SILENT = "silent"
    EXECUTES_THEN_503 = "executes the request, then answers 503"


# Responses with neither a length nor chunks, which end with their connection.
_UNFRAMED = (
    ReplicaBehavior.UNFRAMED,
    ReplicaBehavior.UNFRAMED_RESET,
    ReplicaBehavior.UNFRAMED_TRUNCATED,
)
_BREAKING_OFF = (
    ReplicaBehavior.TRUNCATES_STREAM,
    ReplicaBehavior.UNFRAMED_RESET,
    ReplicaBehavior.UNFRAMED_TRUNCATED,
)


class Listed:
    """Anything that is listed as a replica, by the row that replicas write."""

    def entry(self, service, state="ready", zone="a"):
        """Return the row that a replica writes about itself."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        value = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": self.software,
            "slots": 4,
            "state": state,
            "cold-remaining-ms": 0,
            "models": models if self.model else [],
            "sequence": 1,
            "born": self.started_ms,
        }
        return json.dumps(value).encode()


class ReplicaStandIn(Listed, RawServer):
    """Executes the requests that it receives and records them.

    Each request consumes one entry of ``behaviors``; when the list is empty, the
    replica answers normally. A request with the body ``CRASHING_BODY`` crashes the
    replica as soon as it is executed. ``notices`` are headers that are added to each
    answer. Rejections that request a backoff have ``retry_after`` as Retry-After.
    ``load_report`` is the report of its load, if any, and ``pause_factor`` prolongs the
    pauses of its streams. A prompt with the part ``crashing_part`` crashes the replica
    when its answer would begin. The events of a stream name ``software``. A plain
    answer has ``plain_body``, if that is not empty.

    With ``repeats_rejections`` a second copy of each rejection precedes the next
    response on its connection. ``unnamed_rejections`` is the number of requests before
    whose response a rejection without a request id is sent.
    """

    def __init__(
        self,
        incarnation,
        *,
        model=None,
        version=1,
        events=4,
        pause_s=0.0,
        software="v1",
    ):
        super().__init__()
        self.incarnation = incarnation
        self.model = model
        self.version = version
        self.software = software
        self.executed_requests = []
        self.orders = []
        self.behaviors = []
        self.notices = []
        self.load_report = None
        self.pause_factor = 1.0
        self.retry_after = "5"
        self.disconnected_callers = 0
        self.has_crashed = False
        self.crashing_part = None
        self.crashed_by_part = False
        self.loading_s = 0.0
        self.plain_body = b""
        # Requests without an id, which none of the nodes sends.
        self.unnamed_requests = []
        self.rejection_status = 503
        self.repeats_rejections = False
        self.unnamed_rejections = 0
        self.rejections_sent = self.copies_sent = 0
        self._copy_by_writer = weakref.WeakKeyDictionary()
        self.started_ms = 1_764_700_000_000
        self._events = events
        self._pause_s = pause_s

    def restart(self, *, software=None):
        """Restart under the same name, without any recorded requests or orders."""
        self.started_ms += 1_000
        self.software = software or self.software
        self.executed_requests, self.orders, self.behaviors = [], [], []

    async def answer(self, request, writer):
        copy = self._copy_by_writer.pop(writer, None)
        if copy is not None:
            self.copies_sent += 1
            writer.write(copy)
        if request.path == "/-/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            body = {"models": models, "busy": False, "sequence": len(self.orders)}
            body["born"] = self.started_ms
            report = json_response(body)
            writer.write(report)
            self._after_report(writer, report)
            return True
        if request.path == "/-/order":
            self.orders.append(request.json())
            asyncio.get_running_loop().call_later(
                self.loading_s, self._set_version, request.json()["version"]
            )
            writer.write(response(202))
            return True
        return await self._execute(request, writer)

    def _set_version(self, version):
        self.version = version

    async def _execute(self, request, writer):
        headers = request.headers
        if "x-request-id" not in headers:
            self.unnamed_requests.append(f"{request.method} {request.target}")
            writer.write(response(400))
            return True
        if not self._is_expected(headers):
            return self._reject_other(request, writer)
        behavior = self.behaviors.pop(0) if self.behaviors else ReplicaBehavior.NORMAL
        if behavior is ReplicaBehavior.FULL:
            return self._reject(request, writer, self.rejection_status, self.notices)
        if behavior is ReplicaBehavior.REQUESTS_BACKOFF:
            backoff = ("Retry-After", self.retry_after)
            return self._reject(request, writer, 503, [backoff, *self.notices])
        if self.unnamed_rejections:
            self.unnamed_rejections -= 1
            writer.write(response(503, headers=[_NOT_EXECUTED]))
        self.executed_requests.append(request)
        parts = headers.get("x-prompt-prefix", "").split(",")[:-1]
        has_crashing_part = self.crashing_part in [
            part.partition(":")[0] for part in parts
        ]
        if has_crashing_part:
            await asyncio.sleep(_CRASH_DELAY_S)
        if request.body == CRASHING_BODY or has_crashing_part:
            self.has_crashed = True
            self.crashed_by_part = has_crashing_part
            self.crash()
            return False
        own_headers = [
            ("X-Request-Id", headers["x-request-id"]),
            SIGNATURE,
            *self.notices,
        ]
        if self.load_report is not None:
            own_headers.append(("X-Server-Load", self.load_report))
        if self.model:
            return await self._stream(request, writer, behavior, own_headers)
        return await self._plain(request, writer, behavior, own_headers)

    def _is_expected(self, headers):
        """Return whether a request is for this incarnation and its weights."""
        version = headers.get("x-expect-version", str(self.version))
        is_same = headers.get("x-expect-instance") in (None, self.incarnation)
        return is_same and version == str(self.version)

    def _reject_other(self, request, writer):
        own_headers = [("X-Instance-Id", self.incarnation)]
        if self.model:
            own_headers.append(("X-Weight-Versions", str(self.version)))
        return self._reject(request, writer, 421, own_headers)

    def _reject(self, request, writer, status, headers=()):
        own_headers = [("X-Request-Id", request.headers["x-request-id"]), _NOT_EXECUTED]
        rejection = response(status, headers=[*own_headers, *headers])
        writer.write(rejection)
        self.rejections_sent += 1
        self._after_rejection(writer, rejection)
        return True

    def _after_report(self, writer, report):
        """Handle a report that was written; a subclass may send it again."""

    def _after_rejection(self, writer, rejection):
        if self.repeats_rejections:
            self._copy_by_writer[writer] = rejection

    async def _plain(self, request, writer, behavior, own_headers):
        body = self.plain_body or b"answer of " + self.incarnation.encode()
        if behavior is ReplicaBehavior.SILENT:
            await request.wait_for_disconnect()
            self.disconnected_callers += 1
            return False
        if behavior is ReplicaBehavior.RESETS:
            reset(writer)
            return False
        if behavior is ReplicaBehavior.FAILS:
            writer.write(response(500, headers=own_headers))
        elif behavior is ReplicaBehavior.EXECUTES_THEN_503:
            writer.write(response(503, headers=own_headers))
        elif behavior is ReplicaBehavior.TRUNCATES:
            writer.write(response(200, body, own_headers)[:-3])
            return False
        elif behavior is ReplicaBehavior.WRONG_REQUEST_ID:
            other = [("X-Request-Id", "another"), SIGNATURE]
            writer.write(response(200, b"of another", other))
        elif behavior is ReplicaBehavior.UNSIGNED:
            writer.write(response(200, body, own_headers[:1] + self.notices))
        elif behavior in (ReplicaBehavior.UNFRAMED, ReplicaBehavior.UNFRAMED_RESET):
            lines = [f"{name}: {value}" for name, value in own_headers]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
            writer.write(head.encode() + body)
            await writer.drain()
            if behavior is ReplicaBehavior.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                reset(writer)
            return False
        else:
            writer.write(response(200, body, own_headers))
            if behavior is ReplicaBehavior.SENDS_EXTRA_RESPONSE:
                await asyncio.sleep(0.02)
                writer.write(response(200, b"nobody's", own_headers))
        return True

    async def _stream(self, request, writer, behavior, own_headers):
        is_framed = behavior not in _UNFRAMED
        chunk = _chunk if is_framed else bytes
        lines = [f"{name}: {value}" for name, value in own_headers]
        lines.append("Content-Type: text/event-stream")
        lines.append("Transfer-Encoding: chunked" if is_framed else "Connection: close")
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        if behavior is ReplicaBehavior.RESETS:
            reset(writer)
            return False
        if behavior is ReplicaBehavior.SILENT:
            await request.wait_for_disconnect()
            self.disconnected_callers += 1
            return False
        writer.write(head)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._pause_s * self.pause_factor)
            if writer.transport.is_closing():
                self.disconnected_callers += 1
                return False
            data = f"{self.incarnation} {self.software}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if behavior in _BREAKING_OFF and number == first + 1:
                writer.write(chunk(event[:-5]))
                await writer.drain()
                if behavior is ReplicaBehavior.UNFRAMED_RESET:
                    await asyncio.sleep(0.05)
                    reset(writer)
                return False
            writer.write(chunk(event))
            try:
                await writer.drain()
            except ConnectionError:
                self.disconnected_callers += 1
                return False
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
