"""The results of one send to a replica, and the decisions that follow."""

import enum
from dataclasses import dataclass

from fireflyward.http1 import Head
from fireflyward.outcomes import NotRun, Unknown
from fireflyward.platform import ResponseFacts
from fireflyward.quarantine import Held

# If the caller received one of these statuses, it would assume that the request has not
# run. Without a replica's report that it has not, the answer is not forwarded.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class RejectionReason(enum.Enum):
    """Why a replica reports that it has not run a request."""

    FULL = "full"
    OTHER_REPLICA = "other replica"
    OTHER_WEIGHTS = "other weights"


@dataclass(frozen=True, slots=True)
class NoReplica:
    """No replica may take the request now; one may in ``wait_ms``, if that is known."""

    wait_ms: int = 0
    detail: str = "no replica may take the request"


@dataclass(frozen=True, slots=True)
class NoPath:
    """No replica for the request can be reached, directly or through another node."""


@dataclass(frozen=True, slots=True)
class Unsent:
    """The replica received nothing: no connection opened, or it was already closed."""

    detail: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The replica reports that it has not run the request and will not run it."""

    reason: RejectionReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class NotRunThere:
    """A response which reports that the request was not run.

    ``detail`` says what it was and over which connection it came.
    """

    facts: ResponseFacts
    detail: str


@dataclass(frozen=True, slots=True)
class Failed:
    """No usable response arrived; the request may have run.

    With ``is_late`` the deadline passed first; the replica may be healthy. With
    ``is_unattributed`` a response arrived that does not name the request.
    """

    detail: str
    is_late: bool = False
    is_unattributed: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The node ended the send, since the replica's weights may no longer serve.

    The replica is healthy. It may have begun just before.
    """

    detail: str = "the replica's weights were replaced while the request waited"


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer that has not been sent to the caller yet."""

    head: Head
    body: bytes | bytearray

    @property
    def is_forwardable(self) -> bool:
        """Return whether the caller may receive the answer's status."""
        return self.head.status not in NOT_RUN_STATUSES

    @property
    def is_failure(self) -> bool:
        """Return whether the replica itself failed."""
        return self.head.status >= 500

    @property
    def is_success(self) -> bool:
        """Return whether the replica did what was requested."""
        return 200 <= self.head.status < 300


@dataclass(frozen=True, slots=True)
class Streamed:
    """The caller has received the complete stream, including its end."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The response of another send had begun first; nothing of this one was used."""


SendResult = (
    Held
    | NoPath
    | NoReplica
    | Unsent
    | Rejected
    | Failed
    | Withdrawn
    | WholeAnswer
    | Streamed
)


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Send to another replica after ``pause_ms``."""

    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send this answer to the caller."""

    answer: WholeAnswer


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the caller with an outcome that the node determined itself."""

    outcome: NotRun | Unknown


Decision = TryAgain | Deliver | Finish
