"""Stand-in for a replica: a plain service, or an engine with streams and weights."""

import asyncio
import enum
import json

from ._http import RawServer, json_response, reset, response

SIGNATURE = ("X-Server-Seal", "3e1b.07.5a2")
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


class ReplicaStandIn(RawServer):
    """Executes the requests that it receives and records them.

    Each request consumes one entry of ``behaviors``; when the list is empty, the
    replica answers normally. A request with the body ``CRASHING_BODY`` crashes the
    replica as soon as it is executed. ``notices`` are headers that are added to each
    answer. Rejections that request a backoff have ``retry_after`` as Retry-After.
    ``load_report`` is the report of its load, if any, and ``pause_factor`` prolongs the
    pauses of its streams. A prompt with the part ``crashing_part`` crashes the replica
    when its answer would begin. The events of a stream name ``software``.
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
        self.started_ms = 1_764_700_000_000
        self._events = events
        self._pause_s = pause_s

    def restart(self, *, software=None):
        """Restart under the same name, without any recorded requests or orders."""
        self.started_ms += 1_000
        self.software = software or self.software
        self.executed_requests, self.orders, self.behaviors = [], [], []

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

    async def answer(self, request, writer):
        if request.path == "/-/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            body = {"models": models, "busy": False, "sequence": len(self.orders)}
            body["born"] = self.started_ms
            writer.write(json_response(body))
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
        if headers.get("x-expect-instance") not in (None, self.incarnation):
            writer.write(response(421, headers=[("X-Instance-Id", self.incarnation)]))
            return True
        if headers.get("x-expect-version", str(self.version)) != str(self.version):
            writer.write(response(421, headers=[("X-Instance-Id", self.incarnation)]))
            return True
        behavior = self.behaviors.pop(0) if self.behaviors else ReplicaBehavior.NORMAL
        if behavior is ReplicaBehavior.FULL:
            rejection_headers = [("X-Not-Executed", "1"), *self.notices]
            writer.write(response(503, headers=rejection_headers))
            return True
        if behavior is ReplicaBehavior.REQUESTS_BACKOFF:
            rejection_headers = [
                ("X-Not-Executed", "1"),
                ("Retry-After", self.retry_after),
            ]
            writer.write(response(503, headers=[*rejection_headers, *self.notices]))
            return True
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

    async def _plain(self, request, writer, behavior, own_headers):
        body = b"answer of " + self.incarnation.encode()
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
