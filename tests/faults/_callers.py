"""Callers that ask as a good client does, until they have their answer."""

import asyncio
import json
from dataclasses import dataclass

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import HttpVersion11
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from fireflyward.checker import (
    AttemptEnded,
    AttemptStatus,
    BundleServed,
    CallerDisconnected,
    RequestSent,
)
from fireflyward.standins import answer_text

TOKENS = 6
MODEL = "clauses"
SERVICE_PATH = "/services/drafting/revisions"
CLAUSES = "shared seismic clauses of the building code. " * 96
_PATIENCE_MS = 60_000
_PAUSE_MS = 700
_DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class Ask:
    """What one caller wants: a prompt, a stream or a non-idempotent call."""

    name: str
    account: str
    is_stream: bool = False
    is_call: bool = False
    is_once: bool = False

    @property
    def text(self) -> str:
        return f"{CLAUSES}[{self.name}]"

    def answers(self, versions: tuple[str, ...]) -> tuple[str, ...]:
        if self.is_call:
            return (f"done {self.text}",)
        return tuple(
            answer_text(MODEL, version, "", self.text, TOKENS) for version in versions
        )

    def body(self) -> bytes:
        if self.is_call:
            return self.text.encode()
        fields = {"model": MODEL, "prompt": self.text, "max_tokens": TOKENS}
        return json.dumps({**fields, "stream": self.is_stream}).encode()

    def headers(self) -> dict[str, str]:
        headers = {"Authorization": f"Bearer key-{self.account}"}
        if self.is_once or self.is_call:
            headers["Idempotency-Key"] = self.name
        if self.is_once:
            headers["X-Non-Idempotent"] = "true"
        return headers


class _Transport:
    """The connection between a caller and a node."""

    def __init__(self) -> None:
        self.is_gone = False

    def is_closing(self) -> bool:
        return self.is_gone

    def get_extra_info(self, name, default=None):
        return default

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.is_gone = True

    close = abort


class _Protocol:
    """As much of aiohttp's protocol as a request reads."""

    peername = sockname = ssl_context = None
    max_field_size = max_line_length = 8_190
    max_headers = 128

    def __init__(self, transport: _Transport) -> None:
        self.transport = transport


class _Body:
    """A request's body, all there."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def readany(self) -> bytes:
        data, self._data = self._data, b""
        return data

    def set_read_chunk_size(self, size: int) -> None:
        """All of it is one chunk."""


class _Writer(AbstractStreamWriter):
    """Takes a response for a caller, who may be slow or gone."""

    def __init__(self, clock, transport: _Transport) -> None:
        self.status_line = ""
        self.headers = {}
        self.data = b""
        self.is_ended = False
        self.slow_ms = 0
        self._clock = clock
        self._transport = transport

    @property
    def transport(self):
        return self._transport

    async def write(self, chunk) -> None:
        if self.slow_ms:
            await self._clock.sleep_ms(self.slow_ms)
        if self._transport.is_gone:
            raise ConnectionResetError("Cannot write to closing transport")
        self.data += chunk

    async def write_eof(self, chunk=b"") -> None:
        await self.write(chunk)
        self.is_ended = True

    async def drain(self) -> None:
        await self.write(b"")

    async def write_headers(self, status_line, headers) -> None:
        self.status_line = status_line
        self.headers = CIMultiDict(headers)

    def enable_compression(self, encoding="deflate", strategy=None) -> None:
        raise TypeError("no caller asked for compression")

    def enable_chunking(self) -> None:
        """Chunks are not told apart here."""


class Caller:
    """Drives one ask through whatever nodes are ready."""

    def __init__(self, world, ask: Ask) -> None:
        self.ask = ask
        self.ending: AttemptStatus | None = None
        self._world = world
        self._clock = world.clock
        self._writer: _Writer | None = None
        self._transport = _Transport()
        self._slow_ms = 0
        self._has_left = False

    def leave(self) -> None:
        """Go away for good."""
        if self.ending is None and not self._has_left:
            self._has_left = True
            self._transport.is_gone = True
            self._world.observe(CallerDisconnected(self._clock.now_ms(), self.ask.name))

    def slow_down(self, slow_ms: int) -> None:
        """Read each piece late."""
        self._slow_ms = slow_ms
        if self._writer:
            self._writer.slow_ms = slow_ms

    async def run(self) -> None:
        """Ask until there is an answer, or an outcome that forbids asking again."""
        ask, started_ms = self.ask, self._clock.now_ms()
        only_once = ask.is_call or ask.is_once
        versions = self._world.versions
        answers = ask.answers(versions)
        self._world.observe(
            RequestSent(started_ms, ask.name, ask.account, answers, only_once)
        )
        while not self._has_left and self.ending is None:
            is_late = self._clock.now_ms() - started_ms > _PATIENCE_MS
            node = self._world.ready_node()
            if node is not None:
                await self._attempt(node, only_once, is_late)
            elif is_late:
                return
            if self.ending is None:
                await self._clock.sleep_ms(_PAUSE_MS)

    async def ask_again(self) -> None:
        """Send the same request once more beside the first, as a hasty caller."""
        node = self._world.ready_node()
        if node is not None and not self._has_left:
            await self._attempt(node, True, False, is_beside=True)

    async def _attempt(
        self, node, only_once: bool, is_late: bool, *, is_beside: bool = False
    ) -> None:
        started_ms = self._clock.now_ms()
        writer = await self._send(node)
        if self._has_left:
            return
        ending, text = _read(self.ask, writer)
        if b'"code":"internal"' in writer.data:
            self._world.errors.append(f"{self.ask.name}: internal error")
        is_final = not is_beside and (
            ending is AttemptStatus.ANSWERED
            or (only_once and (ending is AttemptStatus.UNKNOWN or is_late))
        )
        run_id = writer.headers.get("X-Request-Id", "")
        now_ms, name = self._clock.now_ms(), node.settings["node_name"]
        self._world.observe(
            AttemptEnded(
                now_ms, self.ask.name, ending, text, run_id, name, is_final, started_ms
            )
        )
        self.ending = ending if is_final else self.ending
        if ending is not AttemptStatus.CUT:
            number = int(writer.headers.get("X-Bundle", 0))
            self._world.observe(BundleServed(now_ms, name, number, started_ms))

    async def _send(self, node) -> _Writer:
        writer = _Writer(self._clock, self._transport)
        writer.slow_ms = self._slow_ms
        self._writer = writer
        method, path = "POST", SERVICE_PATH if self.ask.is_call else "/v1/completions"
        request = _make_request(method, path, self.ask, writer, self._transport)
        task = self._world.handle(node, _respond(node.io.app, request))
        await asyncio.wait({task})
        error = None if task.cancelled() else task.exception()
        if error and not isinstance(error, ConnectionResetError):
            self._world.errors.append(f"{self.ask.name}: {error!r}")
        return writer


def _make_request(method, path, ask, writer, transport) -> web.Request:
    headers = CIMultiDictProxy(CIMultiDict(ask.headers()))
    raw = tuple((key.encode(), value.encode()) for key, value in headers.items())
    message = RawRequestMessage(
        method, path, HttpVersion11, headers, raw, False, None, False, False, URL(path)
    )
    loop = asyncio.get_running_loop()
    protocol, body = _Protocol(transport), _Body(ask.body())
    return web.Request(
        message, body, protocol, writer, None, loop, client_max_size=1 << 24
    )


async def _respond(app: web.Application, request: web.Request) -> None:
    response = await app._handle(request)
    await response.prepare(request)
    await response.write_eof()


def _read(ask: Ask, writer: _Writer) -> tuple[AttemptStatus, str]:
    """Read a response as far as it came."""
    tag = writer.headers.get("X-Outcome", "")
    if not tag or (tag != AttemptStatus.ANSWERED and not writer.is_ended):
        return AttemptStatus.CUT, ""
    if tag != AttemptStatus.ANSWERED:
        return AttemptStatus(tag), ""
    if ask.is_stream:
        return _read_stream(writer.data)
    if not writer.is_ended:
        return AttemptStatus.CUT, ""
    if ask.is_call:
        return AttemptStatus.ANSWERED, writer.data.decode()
    return AttemptStatus.ANSWERED, json.loads(writer.data)["choices"][0]["text"]


def _read_stream(data: bytes) -> tuple[AttemptStatus, str]:
    text = ""
    for event in data.split(b"\n\n"):
        line = event.rpartition(b"data: ")[2]
        if event.startswith(b"event: error"):
            return AttemptStatus(json.loads(line)["error"]["type"]), text
        if line and line != b"[DONE]" and b"data: " in event:
            text += json.loads(line)["choices"][0].get("text") or ""
    return (AttemptStatus.ANSWERED if data.endswith(_DONE) else AttemptStatus.CUT), text
