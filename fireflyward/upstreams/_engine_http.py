"""A model engine over HTTP, as docs/PLATFORM.md writes its interface."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import aiohttp
import msgspec

from fireflyward.connections import GuardedBody
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

_CONNECT_LIMIT_S = 2.0
_END_LIMIT_S = 0.02
_SHORT_CALL_LIMIT_S = 2.0
_DATA_PREFIX = b"data: "
_COMMENT_PREFIX = b":"
_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_LIMIT_S)
RequestContext = AbstractAsyncContextManager[aiohttp.ClientResponse]


class GenerateBody(msgspec.Struct):
    """The request of a run as JSON."""

    run_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ""
    priority: int = 5
    block_keys: list[str] = []


class StreamLine(msgspec.Struct):
    """One event of a run's stream as JSON; the fields that are set tell which.

    ``run_id`` is on every line, so that an answer that comes late or crossed with
    another is recognised before any of it reaches a caller.
    """

    offset: int = -1
    tokens: int = 0
    text: str = ""
    version: str = ""
    cached_tokens: int = 0
    done: bool = False
    prompt_tokens: int = 0
    completion_tokens: int = 0
    run_id: str = ""


class RefusalBody(msgspec.Struct):
    """Why an engine did not run a call."""

    reason: str
    detail: str = ""
    retry_after_ms: int = 0


class LoadBody(msgspec.Struct):
    """A load report as JSON."""

    queued: int
    running: int
    queued_prefill_tokens: int
    free_blocks: int
    version_by_model: dict[str, str]
    leaving: bool
    epoch: str
    age_ms: int


class CancelBody(msgspec.Struct):
    """The answer to a cancel as JSON."""

    state: str


_decode_line = msgspec.json.Decoder(StreamLine).decode


class HttpEngine:
    """One replica behind a base URL.

    A stream has no limit of its own here: the engine's comment lines come out as
    ``KeepAlive`` events, and whoever reads the events watches their silence.
    Resumes and cancels go over new connections, and so does a run that comes with
    ``may_send``.
    """

    __slots__ = ("_base", "_fresh", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        fresh: aiohttp.ClientSession | None = None,
    ) -> None:
        self._session = session
        self._fresh = fresh or session
        self._base = base_url

    def __repr__(self) -> str:
        return f"HttpEngine({self._base!r})"

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
        url = f"{self._base}/v1/completions"
        if call.may_send is None:
            request = self._session.post(
                url, data=data, headers=headers, timeout=_STREAM_TIMEOUT
            )
            events = self._events(request, call.run_id)
        else:
            events = self._guarded(url, headers, data, call)
        async for event in events:
            yield event

    async def resume(self, run_id: str, offset: int) -> AsyncIterator[EngineEvent]:
        request = self._fresh.get(
            f"{self._base}/v1/runs/{run_id}",
            params={"offset": str(offset)},
            timeout=_STREAM_TIMEOUT,
        )
        async for event in self._events(request, run_id):
            yield event

    async def _guarded(
        self, url: str, headers: dict[str, str], data: bytes, call: EngineCall
    ) -> AsyncIterator[EngineEvent]:
        """Start a run whose body leaves only while it may."""
        guarded = GuardedBody(data, call.may_send)
        request = self._fresh.post(
            url,
            data=guarded.chunks(),
            headers=headers | guarded.headers(),
            timeout=_STREAM_TIMEOUT,
        )
        async for event in self._events(request, call.run_id):
            if guarded.was_withheld and isinstance(event, Broken):
                event = Broken(False, "its permit ran out before it left")
            yield event

    async def cancel(self, run_id: str) -> CancelState:
        try:
            async with self._fresh.delete(
                f"{self._base}/v1/runs/{run_id}", timeout=_short_timeout()
            ) as response:
                body = msgspec.json.decode(await response.read(), type=CancelBody)
                return CancelState(body.state)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return CancelState.NO_ANSWER

    async def load(self) -> LoadReport | Broken:
        try:
            async with self._session.get(
                f"{self._base}/load", timeout=_short_timeout()
            ) as response:
                body = msgspec.json.decode(await response.read(), type=LoadBody)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(False, _describe(error))
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

    async def _events(
        self, request: RequestContext, run_id: str
    ) -> AsyncIterator[EngineEvent]:
        """Turn a streamed response into events; a loss ends as ``Broken``."""
        try:
            async with request as response:
                if response.status != 200:
                    yield _refusal(response.status, await response.read())
                    return
                rest = b""
                async for chunk in response.content.iter_any():
                    lines = (rest + chunk).split(b"\n")
                    rest = lines.pop()
                    for event in _events_of(lines, run_id):
                        if isinstance(event, Finished):
                            await _read_to_end(response)
                        yield event
                        if isinstance(event, Finished | Broken):
                            return
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            yield Broken(False, _describe(error))
            return
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            yield Broken(True, _describe(error))
            return
        yield Broken(True, "stream ended without its end marker")


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Take the end of the response's body, so that its connection is used again.

    The end marker is the last line, yet the body ends a few bytes later. A reader
    that leaves between the two has its connection closed, which nobody notices but
    by the connections that are opened anew for each run. An engine that does not
    end its body soon costs its connection and nothing else.
    """
    if response.content.at_eof():
        return
    try:
        async with asyncio.timeout(_END_LIMIT_S):
            await response.content.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        response.close()


def _short_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=_SHORT_CALL_LIMIT_S)


def _events_of(lines: list[bytes], run_id: str) -> list[EngineEvent]:
    """Decode lines that came together, joining pieces that follow each other.

    Under load many tokens come with one read of the socket. Passing them on as
    one piece costs one write to the caller instead of one for each token.
    """
    events: list[EngineEvent] = []
    joined: list[StreamLine] = []
    for line in lines:
        if not line:
            continue
        if line.startswith(_DATA_PREFIX):
            decoded = _decode_line(line[len(_DATA_PREFIX) :])
            if joined and _follows(joined[-1], decoded):
                joined.append(decoded)
                continue
            _end_joined(events, joined)
            event = _event_of(decoded, run_id)
            events.append(event)
            if isinstance(event, Piece):
                joined.append(decoded)
        elif line.startswith(_COMMENT_PREFIX):
            _end_joined(events, joined)
            events.append(KeepAlive())
    _end_joined(events, joined)
    return events


def _follows(last: StreamLine, line: StreamLine) -> bool:
    """Tell whether a line is the piece after ``last`` of the same run."""
    return (
        line.offset == last.offset + last.tokens
        and line.run_id == last.run_id
        and not line.done
        and line.offset >= 0
    )


def _end_joined(events: list[EngineEvent], joined: list[StreamLine]) -> None:
    """Make one piece of those that were joined, in place of the first."""
    if len(joined) > 1:
        tokens = sum(line.tokens for line in joined)
        text = "".join([line.text for line in joined])
        events[-1] = Piece(joined[0].offset, tokens, text)
    joined.clear()


def _event_of(line: StreamLine, run_id: str) -> EngineEvent:
    if line.run_id != run_id:
        return Broken(True, f"a line of run {line.run_id!r} came instead")
    if line.done:
        usage = Usage(line.prompt_tokens, line.completion_tokens, line.cached_tokens)
        return Finished(usage)
    if line.offset < 0:
        return Accepted(line.version, line.cached_tokens)
    return Piece(line.offset, line.tokens, line.text)


def _refusal(status: int, body: bytes) -> EngineEvent:
    """Read a refusal; an answer that is not one leaves open whether it ran."""
    try:
        refusal = msgspec.json.decode(body, type=RefusalBody)
        reason = Reason(refusal.reason)
    except ValueError:
        return Broken(True, f"status {status}")
    return Refused(reason, refusal.detail, refusal.retry_after_ms)


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
