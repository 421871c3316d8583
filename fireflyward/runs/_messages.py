"""What goes into the decisions of a run, and what comes out."""

from dataclasses import dataclass, field

from fireflyward.outcomes import NotRun, Outcome, Unknown, Usage
from fireflyward.upstreams import EngineEvent


@dataclass(frozen=True, slots=True)
class Mark:
    """How far a caller has an answer, and where the run is.

    ``tokens`` and ``chars`` count from the start of the answer; ``checksum`` is the
    CRC-32 of its UTF-8 text so far.
    """

    replica: str
    tokens: int = 0
    chars: int = 0
    checksum: int = 0


@dataclass(frozen=True, slots=True)
class Begin:
    """The request is admitted."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """Routing's answer to ``Choose``; None when no replica can take the run."""

    replica: str | None


@dataclass(frozen=True, slots=True)
class Dispatching:
    """The next thing that happens is that bytes leave for the replica."""

    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An event of attempt number ``attempt``."""

    attempt: int
    event: EngineEvent


@dataclass(frozen=True, slots=True)
class Denied:
    """The request may not be dispatched, and this is its outcome."""

    attempt: int
    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Stored:
    """An earlier request with this key ended; this is its answer."""

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
    """The pause before another attempt is over."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller does not want the answer any more."""


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
    """Ask routing for a replica other than those that failed."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class Start:
    """Start the run on a replica."""

    attempt: int
    replica: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Read the run again on its replica from an offset, over a new connection."""

    attempt: int
    replica: str
    offset: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Pause before another attempt."""

    duration_ms: int


@dataclass(frozen=True, slots=True)
class Placed:
    """The run is on a replica; a caller may come back to it with this mark."""

    mark: Mark


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give text to the caller; ``mark`` is where the caller then stands."""

    text: str
    offset: int
    tokens: int
    mark: Mark = field(default=Mark(""), compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell a replica to stop a run that nobody waits for."""

    replica: str


@dataclass(frozen=True, slots=True)
class End:
    """The run's one outcome."""

    outcome: Outcome


Action = Choose | Start | Resume | Wait | Placed | Deliver | Cancel | End
