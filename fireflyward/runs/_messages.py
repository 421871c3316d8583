"""Messages that a run handles, and the actions that it returns."""

from dataclasses import dataclass, field

from fireflyward.outcomes import NotRun, Outcome, Unknown, Usage
from fireflyward.upstreams import EngineEvent


@dataclass(frozen=True, slots=True)
class Mark:
    """How much of an answer a caller has received, and the run's replica.

    ``tokens`` and ``chars`` count from the start of the answer; ``checksum`` is the
    CRC-32 of its UTF-8 text so far.
    """

    replica: str
    tokens: int = 0
    chars: int = 0
    checksum: int = 0


@dataclass(frozen=True, slots=True)
class Begin:
    """The request has been admitted."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """Routing's answer to ``Choose``; None if no replica can execute the run."""

    replica: str | None


@dataclass(frozen=True, slots=True)
class Dispatching:
    """The request is sent to the replica immediately after this message."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An event of attempt number ``attempt``."""

    attempt: int
    event: EngineEvent


@dataclass(frozen=True, slots=True)
class Denied:
    """The request must not be dispatched; it ends with this outcome."""

    attempt: int
    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Stored:
    """An earlier request with this key has ended; this is its answer."""

    attempt: int
    text: str
    usage: Usage


@dataclass(frozen=True, slots=True)
class RunsElsewhere:
    """An earlier request with this key was dispatched to ``replica``."""

    attempt: int
    replica: str


@dataclass(frozen=True, slots=True)
class Waited:
    """The backoff before another attempt has passed."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline has passed, so its caller no longer needs an answer."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection or stopped reading."""


Message = (
    Begin
    | Chosen
    | Dispatching
    | AttemptEvent
    | Denied
    | Stored
    | RunsElsewhere
    | Waited
    | DeadlinePassed
    | CallerGone
)


@dataclass(frozen=True, slots=True)
class Choose:
    """Request a replica from routing, other than the excluded ones, which failed."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class Start:
    """Start the run on a replica."""

    attempt: int
    replica: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Continue reading the run at an offset, over a new connection to its replica."""

    attempt: int
    replica: str
    offset: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait before another attempt."""

    duration_ms: int


@dataclass(frozen=True, slots=True)
class Placed:
    """A replica has accepted the run; a caller can return to it with this mark."""

    mark: Mark


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send text to the caller, who has then reached ``mark``."""

    text: str
    offset: int
    tokens: int
    mark: Mark = field(default=Mark(""), compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Have a replica stop a run whose result is no longer needed."""

    replica: str


@dataclass(frozen=True, slots=True)
class End:
    """End the run with its single outcome."""

    outcome: Outcome


Action = Choose | Start | Resume | Wait | Placed | Deliver | Cancel | End
