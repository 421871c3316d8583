"""A request for a run: a new run, or the rest of an earlier one."""

import hashlib
from dataclasses import dataclass, replace

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason
from fireflyward.routing import RunShape
from fireflyward.runs import Mark, RequestRecord, RunTask
from fireflyward.upstreams import EngineCall, count_tokens

from ._context import EntryContext
from ._identity import Identity
from ._requests import Prompt

_LAST_EVENT_ID_HEADER = "Last-Event-ID"
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class RunRequest:
    """One request for a run.

    ``is_resumable`` is true if the request has an Idempotency-Key; every node then
    derives the same ``run_id`` from it. If the caller resumes an answer, ``mark`` is
    the position up to which it has received the answer, and ``version`` is the weight
    version with which the answer was started.
    """

    identity: Identity
    prompt: Prompt
    run_id: str
    version: str
    fingerprint: str
    is_resumable: bool
    mark: Mark | None = None


def read_run_request(
    context: EntryContext,
    request: web.Request,
    identity: Identity,
    prompt: Prompt,
    body: bytes,
) -> RunRequest | NotRun:
    """Determine the run that a request starts or resumes."""
    version = _current_version(context, identity, prompt)
    fingerprint = hashlib.sha256(body).hexdigest()
    key = identity.idempotency_key
    last_event_id = request.headers.get(_LAST_EVENT_ID_HEADER, "")
    if not key:
        if identity.is_non_idempotent or last_event_id:
            detail = "a non-idempotent or resumed request needs a key"
            return NotRun(Reason.BAD_REQUEST, f"{detail} (Idempotency-Key)")
        run_id = identity.request_id
        return RunRequest(identity, prompt, run_id, version, fingerprint, False)
    run_id = context.run_ids.of_request(identity.account_name, key, fingerprint)
    if not last_event_id:
        return RunRequest(identity, prompt, run_id, version, fingerprint, True)
    opened = context.run_ids.open(run_id, last_event_id)
    if opened is None:
        detail = (
            f"{_LAST_EVENT_ID_HEADER} is not from an answer to this request and key"
        )
        return NotRun(Reason.BAD_REQUEST, detail)
    mark, version = opened
    return RunRequest(identity, prompt, run_id, version, fingerprint, True, mark)


def may_change_version(run_request: RunRequest) -> bool:
    """Return whether a request that has not run may be retried with another version.

    The version of a request is chosen when the request is validated. During a rollout,
    the last replica of that version may load another one before the request reaches
    it. The request has not run then, and its caller would be rejected only because of
    the rollout. A resumed answer keeps its version. So does a non-idempotent request,
    because its first outcome is final in its record.
    """
    return not run_request.mark and not run_request.identity.is_non_idempotent


def with_current_version(context: EntryContext, run_request: RunRequest) -> RunRequest:
    """Return the request with the weight version that is served now."""
    version = _current_version(context, run_request.identity, run_request.prompt)
    return replace(run_request, version=version)


def _current_version(context: EntryContext, identity: Identity, prompt: Prompt) -> str:
    version = context.holder.bundle.version_for(
        identity.account, identity.caller_name, prompt.model
    )
    if context.serving_versions is None:
        return version
    default = context.holder.bundle.models[prompt.model].version
    return context.serving_versions.of_request(
        prompt.model, version, default, identity.account_name, prompt.text
    )


def make_task(
    context: EntryContext,
    run_request: RunRequest,
    trace_parent: str,
    *,
    is_beyond_share: bool = False,
) -> RunTask:
    """Return the task that serves a request.

    ``is_beyond_share`` lowers its priority by one, because its account requests more
    than its share.
    """
    identity, prompt = run_request.identity, run_request.prompt
    is_private = not identity.account.share_prefixes
    block_keys = context.block_names.of_prompt(
        identity.account_name,
        prompt.model,
        run_request.version,
        prompt.adapter,
        prompt.text,
        caller=identity.caller_name if is_private else "",
    )
    call = EngineCall(
        run_request.run_id,
        prompt.model,
        run_request.version,
        prompt.text,
        prompt.max_tokens,
        prompt.adapter,
        min(_LOWEST_PRIORITY, identity.account.priority + is_beyond_share),
        block_keys,
        trace_parent,
    )
    shape = RunShape(
        identity.account_name,
        prompt.model,
        run_request.version,
        count_tokens(prompt.text),
        block_keys,
        run_request.run_id,
    )
    return RunTask(
        clock=context.clock,
        router=context.router,
        engine_by_name=context.engine_by_name,
        call=call,
        shape=shape,
        deadline_ms=identity.deadline_ms,
        prepare=context.prepare,
        record=_record(context, run_request),
        budget=context.retry_budget,
        mark=run_request.mark,
        is_streamed=prompt.stream,
        limits=context.silence_limits,
        observe=context.observe,
    )


def _record(context: EntryContext, run_request: RunRequest) -> RequestRecord | None:
    """Return the record of a non-idempotent request, None for any other."""
    identity = run_request.identity
    if not identity.is_non_idempotent:
        return None
    return RequestRecord(
        context.records,
        account=identity.account_name,
        request_key=identity.idempotency_key,
        owner=identity.request_id,
        fingerprint=run_request.fingerprint,
    )
