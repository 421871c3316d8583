"""Prompts: from the request's body to the last byte of its answer."""

import msgspec
from aiohttp import web

from fireflyward.limits import AdmissionRequest, Ticket
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.runs import Deliver, Mark, Placed
from fireflyward.upstreams import count_tokens

from ._asked import (
    Asked,
    ask_by_version_now,
    make_task,
    may_ask_again,
    read_asked,
)
from ._body import read_body
from ._errors import error_bytes, headers_of
from ._identity import Identity, identify, identify_again
from ._parts import JSON, PARTS, EntryParts, new_request_id, refuse
from ._prefixes import add_prefix, prefix_blocks, prefix_headers
from ._requests import (
    ChatDelta,
    CompletionBody,
    CompletionChoice,
    Prompt,
    read_prompt,
    usage_body,
)

_MS_PER_SECOND = 1_000
# Making a token takes about as long as prefilling this many.
_TOKENS_PER_DECODED = 4
_TICKET = web.RequestKey("admission_ticket", Ticket)
_LAST_LINE = b"data: [DONE]\n\n"


async def handle_completion(request: web.Request) -> web.StreamResponse:
    """Serve ``POST /v1/completions``."""
    return await _handle(request, is_chat=False)


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Serve ``POST /v1/chat/completions``."""
    return await _handle(request, is_chat=True)


async def _handle(request: web.Request, *, is_chat: bool) -> web.StreamResponse:
    parts = request.app[PARTS]
    identity = identify(request)
    if isinstance(identity, NotRun):
        return refuse(request, identity, new_request_id())
    body = await read_body(request)
    if isinstance(body, NotRun):
        return refuse(request, body, identity.request_id)
    prompt = read_prompt(body, is_chat=is_chat)
    if isinstance(prompt, NotRun):
        return refuse(request, prompt, identity.request_id)
    asked = _judge(request, identity, prompt, body)
    if isinstance(asked, NotRun):
        return refuse(request, asked, identity.request_id)
    refusal = await add_prefix(parts, request, identity, prompt)
    if refusal:
        return refuse(request, refusal, identity.request_id)
    ticket = await parts.admission.enter(_ask(asked))
    if isinstance(ticket, NotRun):
        return refuse(request, ticket, identity.request_id)
    request[_TICKET] = ticket
    try:
        if parts.holder.number != asked.identity.bundle_number:
            renewed = _judge(request, identity, prompt, body)
            if isinstance(renewed, NotRun):
                return refuse(request, renewed, identity.request_id)
            asked = renewed
        return await _serve(request, asked)
    finally:
        _on_first_token(request, asked)
        parts.admission.leave(ticket)


def _judge(
    request: web.Request, identity: Identity, prompt: Prompt, body: bytes
) -> Asked | NotRun:
    """Return what is asked by the bundle in force now, or why it is refused."""
    parts = request.app[PARTS]
    renewed = identify_again(request, identity)
    if isinstance(renewed, NotRun):
        return renewed
    refusal = _allowed(parts, renewed, prompt)
    return refusal or read_asked(parts, request, renewed, prompt, body)


def _ask(asked: Asked) -> AdmissionRequest:
    identity, prompt = asked.identity, asked.prompt
    cost = count_tokens(prompt.text) + _TOKENS_PER_DECODED * prompt.max_tokens
    return AdmissionRequest(
        identity.account_name,
        prompt.model,
        cost,
        identity.account.max_in_flight,
        identity.deadline_ms,
        identity.account.weight,
    )


def _on_first_token(request: web.Request, asked: Asked) -> None:
    """Tell admission once that this run no longer waits for its first token."""
    parts = request.app[PARTS]
    ticket = request[_TICKET]
    if ticket.is_pending:
        late_ms = parts.router.pop_queueing_delay_ms(asked.run_id)
        parts.admission.on_first_token(ticket, late_ms)


def _allowed(parts: EntryParts, identity: Identity, prompt: Prompt) -> NotRun | None:
    bundle = parts.holder.bundle
    models = bundle.models_of(identity.account, identity.caller_name)
    if prompt.model not in bundle.models or prompt.model not in models:
        detail = f"model {prompt.model!r} is not served to this caller"
        return NotRun(Reason.UNKNOWN_MODEL, detail)
    adapters = bundle.adapters_of(identity.account, prompt.model)
    if prompt.adapter and prompt.adapter not in adapters:
        detail = f"adapter {prompt.adapter!r} is not served to this account"
        return NotRun(Reason.UNKNOWN_MODEL, detail)
    return None


async def _serve(request: web.Request, asked: Asked) -> web.StreamResponse:
    parts = request.app[PARTS]
    identity = asked.identity
    trace_parent = identity.trace_parent
    if not parts.tracing.is_sampled(trace_parent):
        return await _run(request, asked, trace_parent)
    with parts.tracing.span(
        "entry", trace_parent, account=identity.account_name
    ) as inner:
        return await _run(request, asked, inner)


async def _run(
    request: web.Request, asked: Asked, trace_parent: str, *, is_again: bool = False
) -> web.StreamResponse:
    parts = request.app[PARTS]
    prompt = asked.prompt
    parts.on_hint(asked.run_id, prefix_blocks(prompt), bool(prompt.session))
    is_behind = request[_TICKET].is_beyond_share
    task = make_task(parts, asked, trace_parent, is_behind=is_behind)
    answer = _Answer(request, asked)
    results = task.results()
    try:
        async for result in results:
            if isinstance(result, Deliver):
                _on_first_token(request, asked)
                await answer.piece(result, has_more=task.has_pending)
            elif isinstance(result, Placed):
                await answer.placed(result, has_more=task.has_pending)
            else:
                moved = None
                if not is_again and not answer.has_begun:
                    moved = await _moved(parts, asked, result.outcome)
                if moved is None:
                    return await answer.end(result.outcome)
                return await _run(request, moved, trace_parent, is_again=True)
    finally:
        await results.aclose()
    raise AssertionError("a run ended without an outcome")


async def _moved(
    parts: EntryParts, asked: Asked, outcome: Answered | NotRun | Unknown
) -> Asked | None:
    """Return what to ask once more when no replica was known to have the version."""
    if not isinstance(outcome, NotRun) or outcome.reason is not Reason.NO_UPSTREAM:
        return None
    if not may_ask_again(asked) or parts.clock.now_ms() >= asked.identity.deadline_ms:
        return None
    await parts.confirm_versions(asked.prompt.model, asked.version)
    renewed = ask_by_version_now(parts, asked)
    has_it = parts.router.has_version(renewed.prompt.model, renewed.version)
    return renewed if has_it else None


class _Answer:
    """Writes one answer, streamed or whole, to its caller.

    Events of a stream are held while ``has_more`` says that the next is there
    already, and go out in one write with it: a write costs about as much as the
    rest of a piece. What can be held is what the run's task lets wait.
    """

    def __init__(self, request: web.Request, asked: Asked) -> None:
        self._request = request
        self._parts = request.app[PARTS]
        self._asked = asked
        self._identity = asked.identity
        self._prompt = asked.prompt
        self._began_ms = self._parts.clock.now_ms()
        self._last_ms = 0
        self._created = self._parts.clock.wall_ms() // _MS_PER_SECOND
        self._texts: list[str] = []
        self._held: list[bytes] = []
        self._response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller already has the head of a stream."""
        return self._response is not None

    async def placed(self, placed: Placed, *, has_more: bool) -> None:
        """Tell a caller that may come back where its run is, before any text."""
        if self._prompt.stream and self._asked.is_resumable:
            event = b"id: %s\n\n" % self._event_id(placed.mark)
            await self._send(event, has_more=has_more)

    async def piece(self, piece: Deliver, *, has_more: bool) -> None:
        """Pass a piece on at once, or keep it for the whole answer.

        An answer that is not streamed starts anew when its run moves to another
        replica; its first piece then comes a second time.
        """
        self._time_piece()
        if not self._prompt.stream:
            if not piece.offset:
                self._texts.clear()
            self._texts.append(piece.text)
            return
        body = msgspec.json.encode(self._body(piece.text, None))
        event = b"id: %s\ndata: %s\n\n" % (self._event_id(piece.mark), body)
        await self._send(event, has_more=has_more)

    async def end(self, outcome: Answered | NotRun | Unknown) -> web.StreamResponse:
        """Write the end; a stream that failed ends with an error event."""
        if isinstance(outcome, Answered):
            self._count_answer(outcome)
            if self._prompt.stream:
                return await self._end_stream(outcome)
            return self._whole(outcome)
        if self._response is None:
            return refuse(self._request, outcome, self._identity.request_id)
        self._parts.metrics.count(
            "requests_total", outcome=outcome.tag, reason=outcome.reason.value
        )
        body = error_bytes(outcome, self._identity.request_id)
        await self._send(b"event: error\ndata: %s\n\n" % body, has_more=False)
        return self._response

    async def _send(self, event: bytes, *, has_more: bool) -> None:
        response = await self._open_stream()
        self._held.append(event)
        if not has_more:
            await response.write(self._take_held())

    def _take_held(self) -> bytes:
        held, self._held = self._held, []
        return b"".join(held)

    def _event_id(self, mark: Mark) -> bytes:
        if not self._asked.is_resumable:
            return b"%d" % mark.tokens
        asked = self._asked
        return self._parts.run_ids.seal(asked.run_id, mark, asked.version).encode()

    async def _open_stream(self) -> web.StreamResponse:
        if self._response is None:
            headers = self._headers()
            headers["Content-Type"] = "text/event-stream"
            self._response = web.StreamResponse(headers=headers)
            await self._response.prepare(self._request)
        return self._response

    async def _end_stream(self, outcome: Answered) -> web.StreamResponse:
        response = await self._open_stream()
        body = self._body("", "stop")
        body.usage = usage_body(outcome.usage)
        self._held.append(b"data: %s\n\n" % msgspec.json.encode(body))
        self._held.append(_LAST_LINE)
        await response.write_eof(self._take_held())
        return response

    def _whole(self, outcome: Answered) -> web.Response:
        body = self._body("".join(self._texts), "stop", whole=True)
        body.usage = usage_body(outcome.usage)
        return web.Response(
            body=msgspec.json.encode(body), headers=self._headers(), content_type=JSON
        )

    def _headers(self) -> dict[str, str]:
        identity = self._identity
        headers = headers_of("answered", identity.request_id, identity.bundle_number)
        return {**headers, **prefix_headers(self._request)}

    def _body(
        self, text: str, finish_reason: str | None, *, whole: bool = False
    ) -> CompletionBody:
        if not self._prompt.is_chat:
            kind = "text_completion"
            choice = CompletionChoice(text=text, finish_reason=finish_reason)
        elif whole:
            kind = "chat.completion"
            choice = CompletionChoice(
                message=ChatDelta(text), finish_reason=finish_reason
            )
        else:
            kind = "chat.completion.chunk"
            choice = CompletionChoice(
                delta=ChatDelta(text), finish_reason=finish_reason
            )
        name = f"{'chatcmpl' if self._prompt.is_chat else 'cmpl'}-"
        return CompletionBody(
            name + self._identity.request_id,
            kind,
            self._created,
            self._prompt.model,
            [choice],
        )

    def _time_piece(self) -> None:
        now_ms = self._parts.clock.now_ms()
        if self._last_ms:
            self._parts.metrics.observe_ms("token_gap_ms", now_ms - self._last_ms)
        else:
            self._parts.metrics.observe_ms("first_token_ms", now_ms - self._began_ms)
        self._last_ms = now_ms

    def _count_answer(self, outcome: Answered) -> None:
        usage = outcome.usage
        metrics = self._parts.metrics
        metrics.count("requests_total", outcome=outcome.tag, reason="")
        metrics.count("prompt_tokens_total", usage.prompt_tokens)
        metrics.count("cached_tokens_total", usage.cached_tokens)
        metrics.count("completion_tokens_total", usage.completion_tokens)
