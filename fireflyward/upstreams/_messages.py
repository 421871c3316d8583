"""What passes between a node and an upstream."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyward.outcomes import Reason, Usage


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt at a run on one replica.

    ``run_id`` is the same for all attempts of a run; ``block_keys`` name the full
    blocks of the prompt, first to last, for the engine's own prefix cache;
    ``priority`` is 0 (first) to 9; ``trace_parent`` is the W3C header or empty.
    ``may_send`` comes with a non-idempotent run: it goes on a new connection, and
    its body leaves only if ``may_send()`` is still true when it is written.
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
    """The engine took the run; it may be running from here on."""

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
    """The end marker: only with it is an answer whole."""

    usage: Usage


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine says that it did not run the call, and why."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Broken:
    """The call or stream ended without its end marker.

    ``may_have_run`` is false only when the request certainly never arrived.
    """

    may_have_run: bool
    detail: str


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """The replica has the run and nothing new of it yet: slow, not silent."""


EngineEvent = Accepted | KeepAlive | Piece | Finished | Refused | Broken


class CancelState(enum.StrEnum):
    """What an engine says of a run that it was told to cancel."""

    CANCELLED = "cancelled"
    FINISHED = "finished"
    NEVER_SEEN = "never_seen"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's view of itself; ``age_ms`` is how old it was when it came."""

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
    """What an engine holds, as it confirms itself.

    ``version_by_model`` has only what takes new runs; ``loading`` has what comes,
    also while the runs of the version before end. ``order_id`` is the last order
    that was taken, ``failed`` why it did not come true, ``running_by_model``
    the runs that go on, whatever their version.
    """

    version_by_model: dict[str, str]
    loading: dict[str, str] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    fencing: int = 0
    order_id: str = ""
    failed: str = ""
    running_by_model: dict[str, int] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service.

    ``needs_new_connection`` asks for a new connection. ``may_send`` comes with a call that
    may not be repeated: it goes on a new connection too, and its body leaves only
    if ``may_send()`` is still true when it is written.
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
    """A plain service's whole answer."""

    status: int
    body: bytes
    content_type: str
