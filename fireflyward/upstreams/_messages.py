"""Messages between a node and an upstream."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyward.decoding import Count
from fireflyward.outcomes import Reason, Usage


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt at a run on one replica.

    ``run_id`` is the same for all attempts of a run. ``block_keys`` are the keys of
    the full blocks of the prompt, first to last, for the engine's own prefix cache.
    ``priority`` is 0 (highest) to 9. ``trace_parent`` is the W3C header or empty.
    ``may_send`` is set for a non-idempotent run: the run uses a new connection, and
    its body is sent only if ``may_send()`` is still true when it is written.
    """

    run_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ""
    priority: int = 5
    block_keys: tuple[str, ...] = ()
    trace_parent: str = ""
    may_send: Callable[[], bool] | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The engine accepted the run, which may be running from now on."""

    version: str
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Piece:
    """Tokens of the answer; ``offset`` counts the tokens before this piece."""

    offset: int
    tokens: int
    text: str


@dataclass(frozen=True, slots=True)
class Finished:
    """The end marker of a stream; an answer is complete only with it."""

    usage: Usage


@dataclass(frozen=True, slots=True)
class Refused:
    """The upstream did not run the call and reports why."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Broken:
    """The call or stream ended without its end marker.

    ``may_have_run`` is false only if the request certainly did not arrive.
    """

    may_have_run: bool
    detail: str


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """The replica still has the run but no new tokens: it is slow, not silent."""


EngineEvent = Accepted | KeepAlive | Piece | Finished | Refused | Broken


class CancelState(enum.StrEnum):
    """The state of a run after a cancel request, as the engine reports it."""

    CANCELLED = "cancelled"
    FINISHED = "finished"
    NEVER_SEEN = "never_seen"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own load; ``age_ms`` is the age of the values when it responded."""

    queued: int
    running: int
    queued_prefill_tokens: int
    free_blocks: int
    version_by_model: dict[str, str] = field(default_factory=dict)
    leaving: bool = False
    epoch: str = ""
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class EngineState:
    """The models, adapters and runs of an engine, as the engine reports them.

    ``version_by_model`` has only versions that accept new runs; ``loading`` has the
    versions that are being loaded or wait for the runs of the previous version to
    finish. ``order_id`` is the last order that the engine accepted, ``failed`` the
    reason why that order could not be carried out. ``running_by_model`` counts the
    current runs of all versions.
    """

    version_by_model: dict[str, str]
    loading: dict[str, str] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    fencing: Count = 0
    order_id: str = ""
    failed: str = ""
    running_by_model: dict[str, Count] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service.

    ``needs_new_connection`` excludes pooled connections. ``may_send`` is set for a
    non-idempotent call: the call uses a new connection too, and its body is sent
    only if ``may_send()`` is still true when it is written.
    """

    method: str
    path: str
    body: bytes = b""
    content_type: str = ""
    run_id: str = ""
    trace_parent: str = ""
    needs_new_connection: bool = False
    may_send: Callable[[], bool] | None = None


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The complete response of a plain service."""

    status: int
    body: bytes
    content_type: str
