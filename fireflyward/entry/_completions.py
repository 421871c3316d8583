"""Prompts: from the request's body to the last byte of its answer."""

import hashlib

import msgspec
from aiohttp import web

from fireflyward.limits import Ask
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.routing import RunShape
from fireflyward.runs import Deliver, End, RecordKept, RunTask
from fireflyward.upstreams import EngineCall, count_tokens

from ._app import JSON, PARTS, EntryParts, Identity, identify, new_request_id, refuse
from ._body import read_body
from ._errors import error_bytes, headers_of
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
_TICKET = "admission_ticket"
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
    refusal = (
        prompt if isinstance(prompt, NotRun) else _allowed(parts, identity, prompt)
    )
    if refusal:
        return refuse(request, refusal, identity.request_id)
    ticket = await parts.admission.enter(_ask(parts, identity, prompt))
    if isinstance(ticket, NotRun):
        return refuse(request, ticket, identity.request_id)
    request[_TICKET] = ticket
    try:
        refusal = await _claim(parts, identity, body)
        if refusal:
            return refuse(request, refusal, identity.request_id)
        return await _serve(request, identity, prompt)
    finally:
        _on_first_token(request, identity)
        parts.admission.leave(ticket)


def _ask(parts: EntryParts, identity: Identity, prompt: Prompt) -> Ask:
    cost = count_tokens(prompt.text) + _TOKENS_PER_DECODED * prompt.max_tokens
    return Ask(
        identity.account_name,
        prompt.model,
        cost,
        identity.account.max_in_flight,
        parts.clock.now_ms() + parts.deadline_ms,
        identity.account.weight,
    )


def _on_first_token(request: web.Request, identity: Identity) -> None:
    """Tell admission once that this run no longer waits for its first token."""
    parts = request.app[PARTS]
    ticket = request[_TICKET]
    if ticket.is_pending:
        late_ms = parts.router.take_late_ms(identity.request_id)
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


async def _claim(
    parts: EntryParts, identity: Identity, body: bytes
) -> NotRun | Unknown | None:
    """Record a non-idempotent request before anything of it is dispatched."""
    if not identity.is_non_idempotent:
        return None
    if not identity.idempotency_key:
        detail = "a non-idempotent request needs an Idempotency-Key"
        return NotRun(Reason.BAD_REQUEST, detail)
    result = await parts.records.keep(
        identity.account_name,
        identity.idempotency_key,
        identity.request_id,
        hashlib.sha256(body).hexdigest(),
    )
    return None if isinstance(result, RecordKept) else result


async def _serve(
    request: web.Request, identity: Identity, prompt: Prompt
) -> web.StreamResponse:
    parts = request.app[PARTS]
    trace_parent = identity.trace_parent
    if not parts.tracing.is_sampled(trace_parent):
        return await _run(request, identity, prompt, trace_parent)
    with parts.tracing.span(
        "entry", trace_parent, account=identity.account_name
    ) as inner:
        return await _run(request, identity, prompt, inner)


async def _run(
    request: web.Request, identity: Identity, prompt: Prompt, trace_parent: str
) -> web.StreamResponse:
    parts = request.app[PARTS]
    task = _make_task(parts, identity, prompt, trace_parent)
    answer = _Answer(request, identity, prompt)
    results = task.results()
    try:
        async for result in results:
            if isinstance(result, Deliver):
                _on_first_token(request, identity)
                await answer.piece(result)
            elif isinstance(result, End):
                return await answer.end(result.outcome)
    finally:
        await results.aclose()
    raise AssertionError("a run ended without an outcome")


def _make_task(
    parts: EntryParts, identity: Identity, prompt: Prompt, trace_parent: str
) -> RunTask:
    version = parts.holder.bundle.version_for(
        identity.account, identity.caller_name, prompt.model
    )
    block_keys = parts.block_names.of_prompt(
        identity.account_name,
        prompt.model,
        version,
        prompt.adapter,
        prompt.text,
        caller="" if identity.account.share_prefixes else identity.caller_name,
    )
    call = EngineCall(
        identity.request_id,
        prompt.model,
        version,
        prompt.text,
        prompt.max_tokens,
        prompt.adapter,
        identity.account.priority,
        block_keys,
        trace_parent,
    )
    shape = RunShape(
        identity.account_name,
        prompt.model,
        version,
        count_tokens(prompt.text),
        block_keys,
        identity.request_id,
    )
    return RunTask(
        clock=parts.clock,
        router=parts.router,
        engine_by_name=parts.engine_by_name,
        call=call,
        shape=shape,
        deadline_ms=parts.clock.now_ms() + parts.deadline_ms,
    )


class _Answer:
    """Writes one answer, streamed or whole, to its caller."""

    def __init__(
        self, request: web.Request, identity: Identity, prompt: Prompt
    ) -> None:
        self._request = request
        self._parts = request.app[PARTS]
        self._identity = identity
        self._prompt = prompt
        self._began_ms = self._parts.clock.now_ms()
        self._last_ms = 0
        self._created = self._parts.clock.wall_ms() // _MS_PER_SECOND
        self._texts: list[str] = []
        self._response: web.StreamResponse | None = None

    async def piece(self, piece: Deliver) -> None:
        """Pass a piece on at once, or keep it for the whole answer."""
        self._time_piece()
        if not self._prompt.stream:
            self._texts.append(piece.text)
            return
        response = await self._open_stream()
        body = msgspec.json.encode(self._body(piece.text, None))
        await response.write(
            b"id: %d\ndata: %s\n\n" % (piece.offset + piece.tokens, body)
        )

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
        await self._response.write(b"event: error\ndata: %s\n\n" % body)
        return self._response

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
        await response.write(b"data: %s\n\n" % msgspec.json.encode(body) + _LAST_LINE)
        await response.write_eof()
        return response

    def _whole(self, outcome: Answered) -> web.Response:
        body = self._body("".join(self._texts), "stop", whole=True)
        body.usage = usage_body(outcome.usage)
        return web.Response(
            body=msgspec.json.encode(body), headers=self._headers(), content_type=JSON
        )

    def _headers(self) -> dict[str, str]:
        identity = self._identity
        return headers_of("answered", identity.request_id, identity.bundle_number)

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
