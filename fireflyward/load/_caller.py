"""One caller: asks, reads, and asks again as docs/API.md tells it to."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from fireflyward.checker import (
    Asked,
    BundleServed,
    Checker,
    Ended,
    Ending,
)
from fireflyward.clock import Clock

from ._plan import LoadPlan, LoadRequest, RequestMode

_SILENCE_LIMIT_S = 10.0
_CONNECT_LIMIT_S = 2.0
_SHORTEST_PAUSE_MS = 50
_LONGEST_PAUSE_MS = 1_000
_MS_PER_SECOND = 1_000
_MOST_UNKNOWN = 8
_DONE = b"[DONE]"


class _Choice(msgspec.Struct):
    text: str | None = None


class _Body(msgspec.Struct):
    choices: list[_Choice] = []


class _ErrorDetail(msgspec.Struct):
    type: str
    code: str = ""


class _Error(msgspec.Struct):
    error: _ErrorDetail


@dataclass(slots=True)
class Received:
    """What one attempt brought: text, outcome and the place to go on from.

    An attempt that found nobody at the address took no request and cut none.
    """

    ending: Ending = Ending.CUT
    text: str = ""
    run_id: str = ""
    bundle: int = 0
    retry_after_ms: int = 0
    event_id: str = ""
    first_ms: int = 0
    code: str = ""
    is_connected: bool = True


@dataclass(slots=True)
class LoadCaller:
    """Asks the nodes behind ``urls`` in turn; reports to ``checker``.

    After a cut it goes to the next node at once, with its ``Idempotency-Key`` and,
    in a stream, with the id of the last event that it has. After a refusal it
    waits as long as it was told. It gives up after ``patience_ms``, and a
    non-idempotent call after ``_MOST_UNKNOWN`` answers that its outcome is unknown.
    """

    session: aiohttp.ClientSession
    urls: Sequence[str]
    plan: LoadPlan
    checker: Checker
    clock: Clock
    patience_ms: int
    retries: int = 0
    first_token_ms: list[int] = field(default_factory=list)

    async def ask(self, request: LoadRequest, turn: int = 0) -> Ending | None:
        """Ask until an outcome forbids asking again; None when patience ended."""
        begun_ms = self.clock.now_ms()
        is_call = request.mode is RequestMode.CALL
        answers = request.answers(self.plan)
        self.checker.see(
            Asked(begun_ms, request.name, request.account, answers, is_call)
        )
        received, unknown = Received(), 0
        for attempt in itertools.count(turn):
            attempt_ms = self.clock.now_ms()
            url = self.urls[attempt % len(self.urls)]
            received = await self._attempt(url, request, received)
            is_late = self.clock.now_ms() - begun_ms > self.patience_ms
            unknown += received.ending is Ending.UNKNOWN
            gives_up = is_call and (is_late or unknown >= _MOST_UNKNOWN)
            is_over = received.ending is Ending.ANSWERED or gives_up
            if received.is_connected or is_over:
                self._see(url, request, received, attempt_ms, is_over)
            if received.first_ms and attempt == turn:
                self.first_token_ms.append(received.first_ms - begun_ms)
            if is_over or is_late:
                return received.ending if is_over else None
            self.retries += 1
            await self.clock.sleep_ms(_pause_ms(received))
        raise AssertionError("a count that never ends has ended")

    def _see(
        self,
        url: str,
        request: LoadRequest,
        received: Received,
        begun_ms: int,
        is_final: bool,
    ) -> None:
        now_ms = self.clock.now_ms()
        self.checker.see(
            Ended(
                now_ms,
                request.name,
                received.ending,
                received.text,
                received.run_id,
                url,
                is_final,
                begun_ms,
            )
        )
        self.checker.see(BundleServed(now_ms, url, received.bundle, begun_ms))

    async def _attempt(
        self, url: str, request: LoadRequest, before: Received
    ) -> Received:
        """Send one HTTP request and read its response as far as it comes."""
        received = Received()
        if request.mode is RequestMode.STREAM and before.ending is Ending.CUT:
            received.text, received.event_id = before.text, before.event_id
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_LIMIT_S, sock_read=_SILENCE_LIMIT_S
        )
        path, body = self._body(request)
        try:
            async with self.session.post(
                url + path,
                data=body,
                headers=self._headers(request, received.event_id),
                timeout=timeout,
            ) as response:
                await self._read(request, response, received)
        except aiohttp.ClientConnectorError:
            received.is_connected = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            received.ending = Ending.CUT
        return received

    def _body(self, request: LoadRequest) -> tuple[str, bytes]:
        if request.mode is RequestMode.CALL:
            return self.plan.service_path, request.text.encode()
        fields = {
            "model": self.plan.model,
            "prompt": request.text,
            "max_tokens": request.max_tokens,
            "stream": request.mode is RequestMode.STREAM,
        }
        return "/v1/completions", msgspec.json.encode(fields)

    def _headers(self, request: LoadRequest, event_id: str) -> dict[str, str]:
        key = self.plan.key_by_account[request.account]
        headers = {"Authorization": f"Bearer {key}"}
        if request.mode is not RequestMode.PROMPT:
            headers["Idempotency-Key"] = request.name
        if event_id:
            headers["Last-Event-ID"] = event_id
        return headers

    async def _read(
        self,
        request: LoadRequest,
        response: aiohttp.ClientResponse,
        received: Received,
    ) -> None:
        headers = response.headers
        received.run_id = headers.get("X-Request-Id", "")
        received.bundle = int(headers.get("X-Bundle", "0"))
        tag = headers.get("X-Outcome", "")
        if tag != Ending.ANSWERED:
            received.code = _code(await response.read())
            received.ending = Ending(tag) if tag else Ending.CUT
            after_s = float(headers.get("Retry-After", "0"))
            received.retry_after_ms = int(after_s * _MS_PER_SECOND)
        elif request.mode is RequestMode.STREAM:
            await self._read_stream(response, received)
        else:
            data = await response.read()
            received.first_ms = self.clock.now_ms()
            received.text = (
                data.decode() if request.mode is RequestMode.CALL else _text(data)
            )
            received.ending = Ending.ANSWERED

    async def _read_stream(
        self, response: aiohttp.ClientResponse, received: Received
    ) -> None:
        is_error = False
        async for line in response.content:
            name, _, value = line.strip().partition(b": ")
            if name == b"id":
                received.event_id = value.decode()
            elif name == b"event":
                is_error = value == b"error"
            elif name == b"data" and is_error:
                received.ending = Ending(
                    msgspec.json.decode(value, type=_Error).error.type
                )
                return
            elif name == b"data" and value == _DONE:
                received.ending = Ending.ANSWERED
                return
            elif name == b"data":
                received.first_ms = received.first_ms or self.clock.now_ms()
                received.text += _text(value)


def _text(data: bytes) -> str:
    choices = msgspec.json.decode(data, type=_Body).choices
    return (choices[0].text or "") if choices else ""


def _code(data: bytes) -> str:
    try:
        return msgspec.json.decode(data, type=_Error).error.code
    except msgspec.DecodeError:
        return ""


def _pause_ms(received: Received) -> int:
    if received.ending is Ending.CUT:
        return _SHORTEST_PAUSE_MS
    return min(max(received.retry_after_ms, _SHORTEST_PAUSE_MS), _LONGEST_PAUSE_MS)
