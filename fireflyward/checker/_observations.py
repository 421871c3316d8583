"""What callers, upstreams, stores and the platform saw; nothing from inside.

Each observation carries the time at which it was made, in milliseconds of one
clock. ``request`` is the caller's own name for a request, the same for all its
attempts, and ``run_id`` is the name that the system gave to one attempt.
"""

import enum
from dataclasses import dataclass


class AttemptResult(enum.StrEnum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a request; ``answers`` are the texts that answer it rightly.

    Several are right only while a swap of weights is under way.
    """

    at_ms: int
    request: str
    account: str
    answers: tuple[str, ...]
    is_non_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended at its caller, with the text that came until then.

    ``CUT`` means that the connection ended without an outcome. ``node`` is the
    node that the caller was connected to. ``is_final`` is false when the caller
    is going to ask again. ``begun_ms`` is when the attempt began, if that is known.
    """

    at_ms: int
    request: str
    ending: AttemptResult
    text: str = ""
    run_id: str = ""
    node: str = ""
    is_final: bool = True
    begun_ms: int = -1


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller went away and waits for nothing more."""

    at_ms: int
    request: str


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream took a request up; from here on it may have had an effect.

    ``node`` is where the connection came from, if the upstream can tell.
    """

    at_ms: int
    upstream: str
    request: str
    run_id: str
    version: str = ""
    node: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """The first sign that nodes could see of an upstream's leaving."""

    at_ms: int
    upstream: str


@dataclass(frozen=True, slots=True)
class BlockSealed:
    """A block of kept work is whole in a store under a new generation."""

    at_ms: int
    store: str
    block: str
    generation: int
    account: str
    version: str
    checksum: str


@dataclass(frozen=True, slots=True)
class BlockFreed:
    """A store freed a block's generation; its space may hold other bytes now."""

    at_ms: int
    store: str
    block: str
    generation: int


@dataclass(frozen=True, slots=True)
class BlockRead:
    """An engine took a block into a run.

    ``is_continued`` says that the run had begun before its weight version was
    swapped. ``read_at_ms`` is when the store gave the bytes out.
    """

    at_ms: int
    read_at_ms: int
    store: str
    block: str
    generation: int
    checksum: str
    request: str
    account: str
    version: str
    is_continued: bool = False


@dataclass(frozen=True, slots=True)
class BundleAccepted:
    """The table service took a write that makes ``number`` the one in force."""

    at_ms: int
    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class BundleServed:
    """A node served a caller by ``number`` (the ``X-Bundle`` header).

    A node takes the number when a request comes, so a long one may end with a lower
    number than a short one beside it; ``begun_ms`` is when it was sent, if known.
    """

    at_ms: int
    node: str
    number: int
    begun_ms: int = -1


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """A node can reach the platform or a peer that can, or no longer can."""

    at_ms: int
    node: str
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class StopBegan:
    """A node was told to stop as planned."""

    at_ms: int
    node: str


@dataclass(frozen=True, slots=True)
class NodeLost:
    """A node's process died or its VM was lost, not as planned."""

    at_ms: int
    node: str


Observation = (
    RequestSent
    | AttemptEnded
    | CallerDisconnected
    | RunStarted
    | UpstreamLeaving
    | BlockSealed
    | BlockFreed
    | BlockRead
    | BundleAccepted
    | BundleServed
    | ReachabilityChanged
    | StopBegan
    | NodeLost
)
