"""What is decided of a request, and the rows and news that nodes share."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from fireflyward.backing import Position

# The number of a replica's start, as news between nodes carries it. Another writer's
# row may have anything, and what cannot be told on would fail requests later.
_Start = Annotated[int, msgspec.Meta(ge=-(2**31), lt=2**31)]
_Starts = Annotated[tuple[_Start, ...], msgspec.Meta(max_length=64)]
_Trials = Annotated[int, msgspec.Meta(ge=0, le=1_000)]


@dataclass(frozen=True, slots=True)
class Free:
    """Nothing speaks against sending the request."""


@dataclass(frozen=True, slots=True)
class Held:
    """The request is not sent on: too many replicas ended under it."""

    detail: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class OnTrial:
    """The request may be sent once, if no other one is on trial anywhere."""


Verdict = Free | Held | OnTrial


@dataclass(frozen=True, slots=True)
class Trial:
    """The right to send one suspect once; ``position`` is that of its row."""

    fingerprint: str
    position: Position


class SuspectRow(msgspec.Struct, frozen=True):
    """A suspect as the table keeps it.

    ``ends`` are the starts of replicas that ended under it, by number, and
    ``trials`` how often it was sent on trial since.
    """

    ends: _Starts
    trials: _Trials = 0


class TrialRow(msgspec.Struct, frozen=True):
    """Which suspect is on trial now, and the node that sends it."""

    fingerprint: str
    node: str
