"""A caller that sends requests, and retries them as docs/API.md describes."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from fireflyward.checker import (
    AttemptEnded,
    AttemptStatus,
    BundleServed,
    Checker,
    RequestSent,
)
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS

from ._plan import LoadPlan, LoadRequest, RequestMode

_READ_TIMEOUT_S = 10.0
_CONNECT_TIMEOUT_S = 2.0
_MIN_RETRY_DELAY_MS = 50
_MAX_RETRY_DELAY_MS = 1_000
_MS_PER_SECOND = 1_000
_MAX_UNKNOWN_ANSWERS = 8
_END_MARKER = b"[DONE]"


class _Choice(msgspec.Struct):
    text: str | None = None


class _CompletionBody(msgspec.Struct):
    choices: list[_Choice] = []


class _ErrorDetail(msgspec.Struct):
    type: str
    code: str = ""


class _Error(msgspec.Struct):
    error: _ErrorDetail


@dataclass(slots=True)
class AttemptResult:
    """The outcome and text of one attempt, and the id of its last received event.

    If ``is_connected`` is false, the node was unreachable and got no request.
    """

    status: AttemptStatus = AttemptStatus.CUT
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
    """Sends requests to the nodes at ``urls`` in turn, and reports to ``checker``.

    After a connection was cut, the caller repeats the request at the next node after
    a short delay, with the same ``Idempotency-Key`` and, in a stream, with the id of
    the last event that it received. After a refusal it waits for the time in
    ``Retry-After``, within bounds. It gives up after ``time_limit_ms``. It also
    gives up a non-idempotent call after ``_MAX_UNKNOWN_ANSWERS`` answers that its
    outcome is unknown.
    """

    session: aiohttp.ClientSession
    urls: Sequence[str]
    plan: LoadPlan
    checker: Checker
    clock: Clock
    time_limit_ms: int
    retries: int = 0
    first_token_ms: list[int] = field(default_factory=list)

    async def send_until_final(
        self, request: LoadRequest, start_index: int = 0
    ) -> AttemptStatus | None:
        """Send a request, and retry it until its outcome is final.

        Returns None if the time limit passed without a final outcome. The first
        attempt goes to the node at ``start_index`` in ``urls``, modulo their number.
        """
        started_ms = self.clock.now_ms()
        is_call = request.mode is RequestMode.CALL
        answers = request.expected_answers(self.plan)
        self.checker.observe(
            RequestSent(started_ms, request.name, request.account, answers, is_call)
        )
        result, unknown = AttemptResult(), 0
        for attempt in itertools.count(start_index):
            attempt_started_ms = self.clock.now_ms()
            url = self.urls[attempt % len(self.urls)]
            result = await self._attempt(url, request, result)
            is_timed_out = self.clock.now_ms() - started_ms > self.time_limit_ms
            unknown += result.status is AttemptStatus.UNKNOWN
            is_given_up = is_call and (is_timed_out or unknown >= _MAX_UNKNOWN_ANSWERS)
            is_final = result.status is AttemptStatus.ANSWERED or is_given_up
            if result.is_connected or is_final:
                self._report_attempt(url, request, result, attempt_started_ms, is_final)
            if result.first_ms and attempt == start_index:
                self.first_token_ms.append(result.first_ms - started_ms)
            if is_final or is_timed_out:
                return result.status if is_final else None
            self.retries += 1
            await self.clock.sleep_ms(_retry_delay_ms(result))
        raise AssertionError("itertools.count() is infinite")

    def _report_attempt(
        self,
        url: str,
        request: LoadRequest,
        result: AttemptResult,
        started_ms: int,
        is_final: bool,
    ) -> None:
        now_ms = self.clock.now_ms()
        self.checker.observe(
            AttemptEnded(
                now_ms,
                request.name,
                result.status,
                result.text,
                result.run_id,
                url,
                is_final,
                started_ms,
            )
        )
        self.checker.observe(BundleServed(now_ms, url, result.bundle, started_ms))

    async def _attempt(
        self, url: str, request: LoadRequest, previous: AttemptResult
    ) -> AttemptResult:
        """Send one HTTP request, and read its response until it ends or is cut."""
        result = AttemptResult()
        if request.mode is RequestMode.STREAM and previous.status is AttemptStatus.CUT:
            result.text, result.event_id = previous.text, previous.event_id
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S, sock_read=_READ_TIMEOUT_S
        )
        path, body = self._body(request)
        try:
            async with self.session.post(
                url + path,
                data=body,
                headers=self._headers(request, result.event_id),
                timeout=timeout,
            ) as response:
                await self._read(request, response, result)
        except aiohttp.ClientConnectorError:
            result.is_connected = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            result.status = AttemptStatus.CUT
        return result

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
        result: AttemptResult,
    ) -> None:
        headers = response.headers
        result.run_id = headers.get("X-Request-Id", "")
        result.bundle = int(headers.get("X-Bundle", "0"))
        tag = headers.get("X-Outcome", "")
        if tag != AttemptStatus.ANSWERED:
            result.code = _error_code(await response.read())
            result.status = AttemptStatus(tag) if tag else AttemptStatus.CUT
            after_s = float(headers.get("Retry-After", "0"))
            result.retry_after_ms = int(after_s * _MS_PER_SECOND)
        elif request.mode is RequestMode.STREAM:
            await self._read_stream(response, result)
        else:
            data = await response.read()
            result.first_ms = self.clock.now_ms()
            result.text = (
                data.decode()
                if request.mode is RequestMode.CALL
                else _answer_text(data)
            )
            result.status = AttemptStatus.ANSWERED

    async def _read_stream(
        self, response: aiohttp.ClientResponse, result: AttemptResult
    ) -> None:
        is_error = False
        # An event counts once the empty line after it has arrived.
        event_id, text = result.event_id, ""
        async for line in response.content:
            name, _, value = line.strip().partition(b": ")
            if not name:
                result.event_id, result.text = event_id, result.text + text
                text = ""
            elif name == b"id":
                event_id = value.decode()
            elif name == b"event":
                is_error = value == b"error"
            elif name == b"data" and is_error:
                result.status = AttemptStatus(
                    msgspec.json.decode(value, type=_Error).error.type
                )
                return
            elif name == b"data" and value == _END_MARKER:
                result.status = AttemptStatus.ANSWERED
                return
            elif name == b"data":
                result.first_ms = result.first_ms or self.clock.now_ms()
                text += _answer_text(value)


def _answer_text(data: bytes) -> str:
    choices = msgspec.json.decode(data, type=_CompletionBody).choices
    return (choices[0].text or "") if choices else ""


def _error_code(data: bytes) -> str:
    try:
        return msgspec.json.decode(data, type=_Error).error.code
    except DECODE_ERRORS:
        return ""


def _retry_delay_ms(result: AttemptResult) -> int:
    if result.status is AttemptStatus.CUT:
        return _MIN_RETRY_DELAY_MS
    return min(max(result.retry_after_ms, _MIN_RETRY_DELAY_MS), _MAX_RETRY_DELAY_MS)
