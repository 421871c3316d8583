"""Observations of callers, upstreams, stores and the platform, none from inside nodes.

Each observation has the time at which it was made, in milliseconds of one clock
that all observers share. ``request`` is the name that the caller gave to a request,
the same for all its attempts; ``run_id`` is the id that the system gave to one
attempt.
"""

import enum
from dataclasses import dataclass


class AttemptStatus(enum.StrEnum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a request; ``answers`` are the texts that are correct answers.

    More than one text is correct only during a weight swap.
    """

    at_ms: int
    request: str
    account: str
    answers: tuple[str, ...]
    is_non_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended for its caller, who had received ``text`` up to that time.

    ``AttemptStatus.CUT`` means that the connection was lost without an outcome.
    ``node`` is the node that the caller was connected to. ``is_final`` is false when
    the caller is going to retry. ``started_ms`` is when the attempt started, or -1 if
    that is not known.
    """

    at_ms: int
    request: str
    status: AttemptStatus
    text: str = ""
    run_id: str = ""
    node: str = ""
    is_final: bool = True
    started_ms: int = -1


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller disconnected and expects no outcome for this request."""

    at_ms: int
    request: str


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream started a request, which may have an effect from then on.

    ``node`` is the node that opened the connection, or empty if the upstream does
    not know it.
    """

    at_ms: int
    upstream: str
    request: str
    run_id: str
    version: str = ""
    node: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream first showed, in a way that nodes can detect, that it is leaving."""

    at_ms: int
    upstream: str


@dataclass(frozen=True, slots=True)
class BlockSealed:
    """A store sealed a completely written block under a new generation."""

    at_ms: int
    store: str
    block: str
    generation: int
    account: str
    version: str
    checksum: str


@dataclass(frozen=True, slots=True)
class BlockFreed:
    """A store freed a generation of a block; its space may now hold other bytes."""

    at_ms: int
    store: str
    block: str
    generation: int


@dataclass(frozen=True, slots=True)
class BlockRead:
    """An engine read a block for a run.

    ``is_continued`` is true if the run had started before its weight version was
    swapped. ``read_at_ms`` is when the store returned the bytes.
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
    """The table service accepted a write that puts bundle ``number`` in force."""

    at_ms: int
    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class BundleServed:
    """A node served a caller under bundle ``number`` (the ``X-Bundle`` header).

    A node fixes the number when a request arrives, so a long request may end with a
    lower number than a short one that was sent later. ``started_ms`` is when the
    request was sent, or -1 if that is not known.
    """

    at_ms: int
    node: str
    number: int
    started_ms: int = -1


@dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """A node gained or lost its path to the platform, directly or through a peer."""

    at_ms: int
    node: str
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class StopStarted:
    """A node received the order for a planned stop."""

    at_ms: int
    node: str


@dataclass(frozen=True, slots=True)
class NodeLost:
    """A node's process crashed or its VM was lost, unplanned."""

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
    | StopStarted
    | NodeLost
)
