"""Prompts, from the request's body to the last byte of the answer."""

import msgspec
from aiohttp import web

from fireflyward.limits import AdmissionRequest, Ticket, request_cost
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.runs import Deliver, Mark, Placed
from fireflyward.upstreams import count_tokens

from ._body import read_body
from ._context import CONTEXT, JSON_CONTENT_TYPE, EntryContext, new_request_id, reject
from ._errors import error_bytes, headers_of
from ._identity import Identity, identify, identify_by_current_bundle
from ._prefixes import add_prefix, prefix_blocks, prefix_headers
from ._requests import (
    ChatDelta,
    CompletionBody,
    CompletionChoice,
    Prompt,
    read_prompt,
    usage_body,
)
from ._run_request import (
    RunRequest,
    make_task,
    may_change_version,
    read_run_request,
    with_current_version,
)

_MS_PER_SECOND = 1_000
_TICKET = web.RequestKey("admission_ticket", Ticket)
_END_MARKER = b"data: [DONE]\n\n"


async def handle_completion(request: web.Request) -> web.StreamResponse:
    """Serve ``POST /v1/completions``."""
    return await _handle(request, is_chat=False)


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Serve ``POST /v1/chat/completions``."""
    return await _handle(request, is_chat=True)


async def _handle(request: web.Request, *, is_chat: bool) -> web.StreamResponse:
    context = request.app[CONTEXT]
    identity = identify(request)
    if isinstance(identity, NotRun):
        return reject(request, identity, new_request_id())
    body = await read_body(request)
    if isinstance(body, NotRun):
        return reject(request, body, identity.request_id)
    prompt = read_prompt(body, is_chat=is_chat)
    if isinstance(prompt, NotRun):
        return reject(request, prompt, identity.request_id)
    run_request = _validate(request, identity, prompt, body)
    if isinstance(run_request, NotRun):
        return reject(request, run_request, identity.request_id)
    rejection = await add_prefix(context, request, identity, prompt)
    if rejection:
        return reject(request, rejection, identity.request_id)
    ticket = await context.admission.enter(_admission_request(run_request))
    if isinstance(ticket, NotRun):
        return reject(request, ticket, identity.request_id)
    request[_TICKET] = ticket
    try:
        if context.holder.number != run_request.identity.bundle_number:
            renewed = _validate(request, identity, prompt, body)
            if isinstance(renewed, NotRun):
                return reject(request, renewed, identity.request_id)
            run_request = renewed
        return await _serve(request, run_request)
    finally:
        _report_first_token(request, run_request)
        context.admission.leave(ticket)


def _validate(
    request: web.Request, identity: Identity, prompt: Prompt, body: bytes
) -> RunRequest | NotRun:
    """Return the request validated by the bundle in force now, or a rejection."""
    context = request.app[CONTEXT]
    renewed = identify_by_current_bundle(request, identity)
    if isinstance(renewed, NotRun):
        return renewed
    rejection = _check_access(context, renewed, prompt)
    return rejection or read_run_request(context, request, renewed, prompt, body)


def _admission_request(run_request: RunRequest) -> AdmissionRequest:
    identity, prompt = run_request.identity, run_request.prompt
    cost = request_cost(count_tokens(prompt.text), prompt.max_tokens)
    return AdmissionRequest(
        identity.account_name,
        prompt.model,
        cost,
        identity.account.max_in_flight,
        identity.deadline_ms,
        identity.account.weight,
    )


def _report_first_token(request: web.Request, run_request: RunRequest) -> None:
    """Report to admission, once, that the run no longer waits for its first token."""
    context = request.app[CONTEXT]
    ticket = request[_TICKET]
    if ticket.is_pending:
        queueing_delay_ms = context.router.pop_queueing_delay_ms(run_request.run_id)
        context.admission.on_first_token(ticket, queueing_delay_ms)


def _check_access(
    context: EntryContext, identity: Identity, prompt: Prompt
) -> NotRun | None:
    bundle = context.holder.bundle
    models = bundle.models_of(identity.account, identity.caller_name)
    if prompt.model not in bundle.models or prompt.model not in models:
        detail = f"model {prompt.model!r} is not served to this caller"
        return NotRun(Reason.UNKNOWN_MODEL, detail)
    adapters = bundle.adapters_of(identity.account, prompt.model)
    if prompt.adapter and prompt.adapter not in adapters:
        detail = f"adapter {prompt.adapter!r} is not served to this account"
        return NotRun(Reason.UNKNOWN_MODEL, detail)
    return None


async def _serve(request: web.Request, run_request: RunRequest) -> web.StreamResponse:
    context = request.app[CONTEXT]
    identity = run_request.identity
    trace_parent = identity.trace_parent
    if not context.tracing.is_sampled(trace_parent):
        return await _run(request, run_request, trace_parent)
    with context.tracing.span(
        "entry", trace_parent, account=identity.account_name
    ) as inner:
        return await _run(request, run_request, inner)


async def _run(
    request: web.Request,
    run_request: RunRequest,
    trace_parent: str,
    *,
    is_retry: bool = False,
) -> web.StreamResponse:
    context = request.app[CONTEXT]
    prompt = run_request.prompt
    context.on_hint(run_request.run_id, prefix_blocks(prompt), bool(prompt.session))
    is_beyond_share = request[_TICKET].is_beyond_share
    task = make_task(
        context, run_request, trace_parent, is_beyond_share=is_beyond_share
    )
    writer = _ResponseWriter(request, run_request)
    results = task.results()
    try:
        async for result in results:
            if isinstance(result, Deliver):
                _report_first_token(request, run_request)
                await writer.write_piece(result, has_more=task.has_pending)
            elif isinstance(result, Placed):
                await writer.write_mark(result, has_more=task.has_pending)
            else:
                retry_request = None
                if not is_retry and not writer.has_started:
                    retry_request = await _retry_request(
                        context, run_request, result.outcome
                    )
                if retry_request is None:
                    return await writer.end(result.outcome)
                return await _run(request, retry_request, trace_parent, is_retry=True)
    finally:
        await results.aclose()
    raise AssertionError("a run ended without an outcome")


async def _retry_request(
    context: EntryContext, run_request: RunRequest, outcome: Answered | NotRun | Unknown
) -> RunRequest | None:
    """Return the request to retry if no replica had its version, or None.

    The retry uses the version that is served now. Return None if the request must not
    be retried, or if no replica has that version.
    """
    if not isinstance(outcome, NotRun) or outcome.reason is not Reason.NO_UPSTREAM:
        return None
    if (
        not may_change_version(run_request)
        or context.clock.now_ms() >= run_request.identity.deadline_ms
    ):
        return None
    await context.refresh_reports(run_request.prompt.model, run_request.version)
    renewed = with_current_version(context, run_request)
    is_available = context.router.has_version(renewed.prompt.model, renewed.version)
    return renewed if is_available else None


class _ResponseWriter:
    """Writes one answer to its caller, as a stream or as one response.

    While ``has_more`` says that the next event of a stream is already available, events
    are buffered and sent with it in one write: a write costs about as much as all other
    work for a piece. The task of the run limits how much can be buffered.
    """

    def __init__(self, request: web.Request, run_request: RunRequest) -> None:
        self._request = request
        self._context = request.app[CONTEXT]
        self._run_request = run_request
        self._identity = run_request.identity
        self._prompt = run_request.prompt
        self._started_ms = self._context.clock.now_ms()
        self._last_piece_ms = 0
        self._created = self._context.clock.wall_ms() // _MS_PER_SECOND
        self._texts: list[str] = []
        self._buffered_events: list[bytes] = []
        self._response: web.StreamResponse | None = None

    @property
    def has_started(self) -> bool:
        """Return whether the headers of a stream were already sent."""
        return self._response is not None

    async def write_mark(self, placed: Placed, *, has_more: bool) -> None:
        """Send the id of a resumable stream before its first text.

        A caller that loses its connection can then resume the run.
        """
        if self._prompt.stream and self._run_request.is_resumable:
            event = b"id: %s\n\n" % self._event_id(placed.mark)
            await self._send(event, has_more=has_more)

    async def write_piece(self, piece: Deliver, *, has_more: bool) -> None:
        """Send a piece of a stream, or add it to the complete answer.

        An answer that is not streamed starts again when its run moves to another
        replica; its first piece is then delivered a second time.
        """
        self._observe_latency()
        if not self._prompt.stream:
            if not piece.offset:
                self._texts.clear()
            self._texts.append(piece.text)
            return
        body = msgspec.json.encode(self._body(piece.text, None))
        event = b"id: %s\ndata: %s\n\n" % (self._event_id(piece.mark), body)
        await self._send(event, has_more=has_more)

    async def end(self, outcome: Answered | NotRun | Unknown) -> web.StreamResponse:
        """Finish the response; a stream that failed ends with an error event."""
        if isinstance(outcome, Answered):
            self._count_answer(outcome)
            if self._prompt.stream:
                return await self._end_stream(outcome)
            return self._full_response(outcome)
        if self._response is None:
            return reject(self._request, outcome, self._identity.request_id)
        self._context.metrics.count(
            "requests_total", outcome=outcome.tag, reason=outcome.reason.value
        )
        body = error_bytes(outcome, self._identity.request_id)
        await self._send(b"event: error\ndata: %s\n\n" % body, has_more=False)
        return self._response

    async def _send(self, event: bytes, *, has_more: bool) -> None:
        response = await self._open_stream()
        self._buffered_events.append(event)
        if not has_more:
            await response.write(self._take_buffered())

    def _take_buffered(self) -> bytes:
        events, self._buffered_events = self._buffered_events, []
        return b"".join(events)

    def _event_id(self, mark: Mark) -> bytes:
        if not self._run_request.is_resumable:
            return b"%d" % mark.tokens
        run_request = self._run_request
        return self._context.run_ids.seal(
            run_request.run_id, mark, run_request.version
        ).encode()

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
        self._buffered_events.append(b"data: %s\n\n" % msgspec.json.encode(body))
        self._buffered_events.append(_END_MARKER)
        await response.write_eof(self._take_buffered())
        return response

    def _full_response(self, outcome: Answered) -> web.Response:
        body = self._body("".join(self._texts), "stop", is_full=True)
        body.usage = usage_body(outcome.usage)
        return web.Response(
            body=msgspec.json.encode(body),
            headers=self._headers(),
            content_type=JSON_CONTENT_TYPE,
        )

    def _headers(self) -> dict[str, str]:
        identity = self._identity
        headers = headers_of("answered", identity.request_id, identity.bundle_number)
        return {**headers, **prefix_headers(self._request)}

    def _body(
        self, text: str, finish_reason: str | None, *, is_full: bool = False
    ) -> CompletionBody:
        if not self._prompt.is_chat:
            kind = "text_completion"
            choice = CompletionChoice(text=text, finish_reason=finish_reason)
        elif is_full:
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

    def _observe_latency(self) -> None:
        now_ms = self._context.clock.now_ms()
        if self._last_piece_ms:
            self._context.metrics.observe_ms(
                "token_gap_ms", now_ms - self._last_piece_ms
            )
        else:
            self._context.metrics.observe_ms(
                "first_token_ms", now_ms - self._started_ms
            )
        self._last_piece_ms = now_ms

    def _count_answer(self, outcome: Answered) -> None:
        usage = outcome.usage
        metrics = self._context.metrics
        metrics.count("requests_total", outcome=outcome.tag, reason="")
        metrics.count("prompt_tokens_total", usage.prompt_tokens)
        metrics.count("cached_tokens_total", usage.cached_tokens)
        metrics.count("completion_tokens_total", usage.completion_tokens)
