"""HTTP client of a model engine; docs/PLATFORM.md describes the interface."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Annotated

import aiohttp
import msgspec

from fireflyward.attribution import proves_not_run
from fireflyward.connections import (
    MAX_REPORT_BYTES,
    GuardedBody,
    check_size,
    read_body,
)
from fireflyward.decoding import MAX_INT32, HeaderText, Int32Count, Name, decode_json
from fireflyward.outcomes import Reason, Usage

from ._messages import (
    Accepted,
    Broken,
    CancelState,
    EngineCall,
    EngineEvent,
    Finished,
    KeepAlive,
    LoadReport,
    Piece,
    Refused,
)

_CONNECT_TIMEOUT_S = 2.0
_BODY_END_TIMEOUT_S = 0.02
_SHORT_CALL_TIMEOUT_S = 2.0
# A line of a stream has a few tokens.
_MAX_LINE_BYTES = 1 << 20
_DATA_PREFIX = b"data: "
_COMMENT_PREFIX = b":"
_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
RequestContext = AbstractAsyncContextManager[aiohttp.ClientResponse]


class GenerateBody(msgspec.Struct):
    """The JSON body of a request that starts a run."""

    run_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ""
    priority: int = 5
    block_keys: list[str] = []


class StreamLine(msgspec.Struct):
    """One event of a run's stream as JSON; the fields that are set show its kind.

    Every line has the ``run_id``, so that the client detects the late or mixed-up
    response of another run before any of it reaches a caller.
    """

    offset: Annotated[int, msgspec.Meta(ge=-1, le=MAX_INT32)] = -1
    tokens: Int32Count = 0
    text: str = ""
    version: str = ""
    cached_tokens: Int32Count = 0
    done: bool = False
    prompt_tokens: Int32Count = 0
    completion_tokens: Int32Count = 0
    run_id: str = ""


class RefusalBody(msgspec.Struct):
    """The JSON body of a response to a call that the engine did not run."""

    reason: Reason
    detail: str = ""
    retry_after_ms: Int32Count = 0
    run_id: str | None = None


class LoadBody(msgspec.Struct):
    """A load report as JSON; nodes pass it on to each other."""

    queued: Int32Count
    running: Int32Count
    queued_prefill_tokens: Int32Count
    free_blocks: Int32Count
    version_by_model: dict[HeaderText, HeaderText]
    leaving: bool
    epoch: Name
    age_ms: Int32Count


class CancelBody(msgspec.Struct):
    """The response to a cancel request as JSON."""

    state: CancelState


_decode_line = msgspec.json.Decoder(StreamLine).decode


class HttpEngine:
    """One replica of a model engine behind a base URL.

    This class does not limit the duration of a stream. It turns the engine's
    comment lines into ``KeepAlive`` events; the reader of the events detects when
    the stream falls silent. Resumes, cancels and runs with ``may_send`` use new
    connections.
    """

    __slots__ = ("_base_url", "_session", "_unpooled_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        fresh: aiohttp.ClientSession | None = None,
    ) -> None:
        self._session = session
        self._unpooled_session = fresh or session
        self._base_url = base_url

    def __repr__(self) -> str:
        return f"HttpEngine({self._base_url!r})"

    async def generate(self, call: EngineCall) -> AsyncIterator[EngineEvent]:
        body = GenerateBody(
            call.run_id,
            call.model,
            call.version,
            call.prompt,
            call.max_tokens,
            call.adapter,
            call.priority,
            list(call.block_keys),
        )
        headers = {"Content-Type": "application/json"}
        if call.trace_parent:
            headers["traceparent"] = call.trace_parent
        data = msgspec.json.encode(body)
        url = f"{self._base_url}/v1/completions"
        if call.may_send is None:
            request = self._session.post(
                url, data=data, headers=headers, timeout=_STREAM_TIMEOUT
            )
            events = self._read_events(request, call.run_id)
        else:
            events = self._guarded_events(url, headers, data, call)
        async for event in events:
            yield event

    async def resume(self, run_id: str, offset: int) -> AsyncIterator[EngineEvent]:
        request = self._unpooled_session.get(
            f"{self._base_url}/v1/runs/{run_id}",
            params={"offset": str(offset)},
            timeout=_STREAM_TIMEOUT,
        )
        async for event in self._read_events(request, run_id):
            yield event

    async def _guarded_events(
        self, url: str, headers: dict[str, str], data: bytes, call: EngineCall
    ) -> AsyncIterator[EngineEvent]:
        """Start a run; send its body only if ``may_send`` still allows it."""
        guarded = GuardedBody(data, call.may_send)
        request = self._unpooled_session.post(
            url,
            data=guarded.chunks(),
            headers=headers | guarded.headers(),
            timeout=_STREAM_TIMEOUT,
        )
        async for event in self._read_events(request, call.run_id):
            if guarded.was_withheld and isinstance(event, Broken):
                event = Broken(False, "its permit expired before it was sent")
            yield event

    async def cancel(self, run_id: str) -> CancelState:
        try:
            async with self._unpooled_session.delete(
                f"{self._base_url}/v1/runs/{run_id}", timeout=_short_timeout()
            ) as response:
                reply = await read_body(response, max_bytes=MAX_REPORT_BYTES)
                body = decode_json(reply, CancelBody)
                return CancelState.NO_ANSWER if body is None else body.state
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return CancelState.NO_ANSWER

    async def load(self) -> LoadReport | Broken:
        try:
            async with self._session.get(
                f"{self._base_url}/load", timeout=_short_timeout()
            ) as response:
                reply = await read_body(response, max_bytes=MAX_REPORT_BYTES)
                body = decode_json(reply, LoadBody)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(False, _describe_error(error))
        if body is None:
            return Broken(False, "the load report cannot be decoded")
        return LoadReport(
            body.queued,
            body.running,
            body.queued_prefill_tokens,
            body.free_blocks,
            body.version_by_model,
            body.leaving,
            body.epoch,
            body.age_ms,
        )

    async def _read_events(
        self, request: RequestContext, run_id: str
    ) -> AsyncIterator[EngineEvent]:
        """Decode a streamed response; ``Broken`` is the last event if it is cut off."""
        try:
            async with request as response:
                if response.status != 200:
                    reply = await read_body(response, max_bytes=MAX_REPORT_BYTES)
                    yield _decode_refusal(response.status, reply, run_id)
                    return
                incomplete = b""
                async for chunk in response.content.iter_any():
                    lines = (incomplete + chunk).split(b"\n")
                    incomplete = lines.pop()
                    check_size(response, len(incomplete), _MAX_LINE_BYTES)
                    for event in _decode_events(lines, run_id):
                        if isinstance(event, Finished):
                            await _read_to_end(response)
                        yield event
                        if isinstance(event, Finished | Broken):
                            return
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            yield Broken(False, _describe_error(error))
            return
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            RecursionError,
        ) as error:
            yield Broken(True, _describe_error(error))
            return
        yield Broken(True, "stream ended without its end marker")


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Read the rest of the response's body, so that its connection can be reused.

    The end marker is the last line, but the body ends a few bytes after it. If the
    reader stopped in between, aiohttp would close the connection and open a new one
    for each run. If an engine does not end its body within the timeout, only its
    connection is closed.
    """
    if response.content.at_eof():
        return
    try:
        async with asyncio.timeout(_BODY_END_TIMEOUT_S):
            await read_body(response, max_bytes=MAX_REPORT_BYTES)
    except (aiohttp.ClientError, TimeoutError, OSError):
        response.close()


def _short_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=_SHORT_CALL_TIMEOUT_S)


def _decode_events(lines: list[bytes], run_id: str) -> list[EngineEvent]:
    """Decode lines that arrived together and merge adjacent pieces.

    Under load one read of the socket returns many tokens. Passing them on as one
    piece takes one write to the caller instead of one write for each token.
    """
    events: list[EngineEvent] = []
    joined: list[StreamLine] = []
    for line in lines:
        if not line:
            continue
        if line.startswith(_DATA_PREFIX):
            decoded = _decode_line(line[len(_DATA_PREFIX) :])
            if joined and _continues(joined[-1], decoded):
                joined.append(decoded)
                continue
            _merge_joined(events, joined)
            event = _make_event(decoded, run_id)
            events.append(event)
            if isinstance(event, Piece):
                joined.append(decoded)
        elif line.startswith(_COMMENT_PREFIX):
            _merge_joined(events, joined)
            events.append(KeepAlive())
    _merge_joined(events, joined)
    return events


def _continues(last: StreamLine, line: StreamLine) -> bool:
    """Return whether a line is the next piece of the same run after ``last``."""
    return (
        line.offset == last.offset + last.tokens
        and line.run_id == last.run_id
        and not line.done
        and line.offset >= 0
    )


def _merge_joined(events: list[EngineEvent], joined: list[StreamLine]) -> None:
    """Merge the joined pieces into one, which replaces the first."""
    if len(joined) > 1:
        tokens = sum(line.tokens for line in joined)
        text = "".join([line.text for line in joined])
        events[-1] = Piece(joined[0].offset, tokens, text)
    joined.clear()


def _make_event(line: StreamLine, run_id: str) -> EngineEvent:
    if line.run_id != run_id:
        return Broken(True, f"received a line of run {line.run_id!r} instead")
    if line.done:
        usage = Usage(line.prompt_tokens, line.completion_tokens, line.cached_tokens)
        return Finished(usage)
    if line.offset < 0:
        return Accepted(line.version, line.cached_tokens)
    return Piece(line.offset, line.tokens, line.text)


def _decode_refusal(status: int, body: bytes, run_id: str) -> EngineEvent:
    """Decode a refusal; any other body leaves open whether the call has run.

    A refusal of another run may arrive late, on a connection that carried that run.
    """
    refusal = decode_json(body, RefusalBody)
    if refusal is None:
        return Broken(True, f"status {status}")
    if not proves_not_run(run_id, refusal.run_id):
        return Broken(True, f"received a refusal of run {refusal.run_id!r} instead")
    return Refused(refusal.reason, refusal.detail, refusal.retry_after_ms)


def _describe_error(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
