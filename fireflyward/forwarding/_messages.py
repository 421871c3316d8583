"""What becomes of one send to a replica, and what to do then."""

import enum
from dataclasses import dataclass

from fireflyward.http1 import Head
from fireflyward.outcomes import NotRun, Unknown
from fireflyward.platform import ResponseFacts
from fireflyward.quarantine import Held


class RejectedBecause(enum.Enum):
    """Why a replica says that it has not run a request."""

    FULL = "full"
    OTHER_REPLICA = "other replica"
    OTHER_WEIGHTS = "other weights"


@dataclass(frozen=True, slots=True)
class NoReplica:
    """No replica may take the request now; ``wait_ms`` is until one may, if known."""

    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Unsent:
    """No connection came about; the replica never saw the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The replica says that it has not run the request and will not."""

    because: RejectedBecause


@dataclass(frozen=True, slots=True)
class NotRunThere:
    """A response that says that the request was not run, with what it says."""

    facts: ResponseFacts


@dataclass(frozen=True, slots=True)
class Failed:
    """No usable answer came; the request may have run.

    ``is_late`` tells that the deadline came first; the replica may be sound.
    """

    detail: str
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A whole answer that the caller has not had yet."""

    head: Head
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Tell whether the replica itself failed."""
        return self.head.status >= 500

    @property
    def is_success(self) -> bool:
        """Tell whether the replica did what was asked."""
        return 200 <= self.head.status < 300


@dataclass(frozen=True, slots=True)
class Streamed:
    """The caller has the whole stream, its end included."""


SendResult = Held | NoReplica | Unsent | Rejected | Failed | WholeAnswer | Streamed


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Send to another replica after ``pause_ms``."""

    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller this answer."""

    answer: WholeAnswer


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this system's own answer."""

    outcome: NotRun | Unknown


Decision = TryAgain | Deliver | Finish
