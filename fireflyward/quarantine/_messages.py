"""The decisions about a request, and the rows of the table that nodes share."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from fireflyward.backing import Position

# A replica's incarnation id, as messages between nodes encode it. A row of another
# writer may contain any value; one that cannot be encoded would make requests fail
# later.
_IncarnationId = Annotated[int, msgspec.Meta(ge=-(2**31), lt=2**31)]
_IncarnationIds = Annotated[tuple[_IncarnationId, ...], msgspec.Meta(max_length=64)]
_Trials = Annotated[int, msgspec.Meta(ge=0, le=1_000)]


@dataclass(frozen=True, slots=True)
class Free:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class Held:
    """The request is not sent: too many replicas crashed while it was in flight."""

    detail: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class OnTrial:
    """The request may be sent once, if no other request is on trial on any node."""


Verdict = Free | Held | OnTrial


@dataclass(frozen=True, slots=True)
class Trial:
    """Permission to send one suspect once; ``position`` is the trial row's position."""

    fingerprint: str
    position: Position


class SuspectRow(msgspec.Struct, frozen=True):
    """A suspect as the table stores it.

    ``ends`` are the incarnation ids of replicas that crashed while it was in flight,
    and ``trials`` is how often it was sent on trial since then.
    """

    ends: _IncarnationIds
    trials: _Trials = 0


class TrialRow(msgspec.Struct, frozen=True):
    """The suspect that is on trial now, and the node that sends it."""

    fingerprint: str
    node: str
