"""What a caller asks of a run: a new one, or the rest of an earlier one."""

import hashlib
from dataclasses import dataclass, replace

from aiohttp import web

from fireflyward.outcomes import NotRun, Reason
from fireflyward.routing import RunShape
from fireflyward.runs import Mark, RequestRecord, RunTask
from fireflyward.upstreams import EngineCall, count_tokens

from ._identity import Identity
from ._parts import EntryParts
from ._requests import Prompt

_MARK_HEADER = "Last-Event-ID"
_LAST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Asked:
    """One request for a run.

    ``is_resumable`` says that it has an Idempotency-Key, from which its ``run_id``
    follows at every node; ``mark`` is where a caller that comes back stands, and
    ``version`` then is the weight version that its answer was begun with.
    """

    identity: Identity
    prompt: Prompt
    run_id: str
    version: str
    fingerprint: str
    is_resumable: bool
    mark: Mark | None = None


def read_asked(
    parts: EntryParts,
    request: web.Request,
    identity: Identity,
    prompt: Prompt,
    body: bytes,
) -> Asked | NotRun:
    """Read which run a request is about."""
    version = _version_now(parts, identity, prompt)
    fingerprint = hashlib.sha256(body).hexdigest()
    key = identity.idempotency_key
    text = request.headers.get(_MARK_HEADER, "")
    if not key:
        if identity.is_non_idempotent or text:
            detail = "a request that is non-idempotent or resumed needs its key"
            return NotRun(Reason.BAD_REQUEST, f"{detail} (Idempotency-Key)")
        run_id = identity.request_id
        return Asked(identity, prompt, run_id, version, fingerprint, False)
    run_id = parts.run_ids.of_request(identity.account_name, key, fingerprint)
    if not text:
        return Asked(identity, prompt, run_id, version, fingerprint, True)
    opened = parts.run_ids.open(run_id, text)
    if opened is None:
        detail = f"{_MARK_HEADER} is not from an answer to this request and key"
        return NotRun(Reason.BAD_REQUEST, detail)
    mark, version = opened
    return Asked(identity, prompt, run_id, version, fingerprint, True, mark)


def may_ask_again(asked: Asked) -> bool:
    """Tell whether a request that ran nowhere may be put to another version.

    A request takes its version when it is judged. During a rollout the last replica
    of that version may swap before the request reaches it; it has run nowhere then,
    and a refusal would be of this node's making. A caller that is in the middle of
    an answer stays with its version, and so does a non-idempotent request, whose
    record is settled by its first outcome.
    """
    return not asked.mark and not asked.identity.is_non_idempotent


def ask_by_version_now(parts: EntryParts, asked: Asked) -> Asked:
    """Return what is asked, for the version that is served now."""
    version = _version_now(parts, asked.identity, asked.prompt)
    return replace(asked, version=version)


def _version_now(parts: EntryParts, identity: Identity, prompt: Prompt) -> str:
    version = parts.holder.bundle.version_for(
        identity.account, identity.caller_name, prompt.model
    )
    if parts.versions is None:
        return version
    default = parts.holder.bundle.models[prompt.model].version
    return parts.versions.of_request(
        prompt.model, version, default, identity.account_name, prompt.text
    )


def make_task(
    parts: EntryParts, asked: Asked, trace_parent: str, *, is_behind: bool = False
) -> RunTask:
    """Return the task that serves what is asked.

    ``is_behind`` puts it one priority behind, since its account asks for more
    than its share.
    """
    identity, prompt = asked.identity, asked.prompt
    is_private = not identity.account.share_prefixes
    block_keys = parts.block_names.of_prompt(
        identity.account_name,
        prompt.model,
        asked.version,
        prompt.adapter,
        prompt.text,
        caller=identity.caller_name if is_private else "",
    )
    call = EngineCall(
        asked.run_id,
        prompt.model,
        asked.version,
        prompt.text,
        prompt.max_tokens,
        prompt.adapter,
        min(_LAST_PRIORITY, identity.account.priority + is_behind),
        block_keys,
        trace_parent,
    )
    shape = RunShape(
        identity.account_name,
        prompt.model,
        asked.version,
        count_tokens(prompt.text),
        block_keys,
        asked.run_id,
    )
    return RunTask(
        clock=parts.clock,
        router=parts.router,
        engine_by_name=parts.engine_by_name,
        call=call,
        shape=shape,
        deadline_ms=identity.deadline_ms,
        prepare=parts.prepare,
        record=_record(parts, asked),
        budget=parts.budget,
        mark=asked.mark,
        is_streamed=prompt.stream,
        limits=parts.limits,
        observe=parts.observe,
    )


def _record(parts: EntryParts, asked: Asked) -> RequestRecord | None:
    """Return the record of a non-idempotent request."""
    identity = asked.identity
    if not identity.is_non_idempotent:
        return None
    return RequestRecord(
        parts.records,
        account=identity.account_name,
        request_key=identity.idempotency_key,
        owner=identity.request_id,
        fingerprint=asked.fingerprint,
    )
