"""A lease's row, and what passes between its decisions and its task."""

from dataclasses import dataclass

import msgspec

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Position,
    Row,
    Unavailable,
    Uncertain,
)
from fireflyward.steps import Step


class LeaseStep(Step):
    """The points of a lease at which a process may be struck."""

    ROW_SEEN = "lease: row seen"
    ACQUIRE_SENT = "lease: acquire sent"
    ACQUIRED = "lease: acquired"
    RENEW_SENT = "lease: renew sent"
    RENEWED = "lease: renewed"
    ANSWER_LOST = "lease: answer lost"
    LAPSED = "lease: lapsed"
    RELEASE_SENT = "lease: release sent"
    RELEASED = "lease: released"


class LeaseRow(msgspec.Struct, frozen=True):
    """The row ``lease/NAME``; it is never deleted, so ``fencing`` never repeats.

    ``claim`` names one acquisition by one process, ``beat`` counts its writes, and
    ``released`` says that the holder gave it up with nothing left in flight. ``era`` is
    the table's when the row was written: in a later one newer rows may have been lost.
    """

    holder: str
    claim: str
    fencing: int
    beat: int = 0
    released: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A lease held now: its fencing number and how its holder came to it.

    ``after_expiry`` is true when an earlier holder did not hand over, so that
    something which it sent may still be on its way.
    """

    fencing: int
    until_ms: int
    after_expiry: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; ``may_contend`` says whether to look for a free lease.

    With ``renews_now`` a claim is renewed although its time has not come.
    """

    may_contend: bool = True
    renews_now: bool = False


@dataclass(frozen=True, slots=True)
class RowSeen:
    """The answer to ``ReadRow``."""

    result: Row | Missing | Unavailable


@dataclass(frozen=True, slots=True)
class RowReceived:
    """The holder says that its row was written there.

    It may be late, so it proves only that the row was written before it came.
    """

    row: LeaseRow
    position: Position


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The answer to ``WriteRow``."""

    result: Committed | Conflict | Unavailable | Uncertain


@dataclass(frozen=True, slots=True)
class HandOver:
    """The holder stops on purpose and has nothing in flight."""


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease's row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the lease's row if it still stands as it was read at ``expected``."""

    expected: Position
    row: LeaseRow
    step: LeaseStep


@dataclass(frozen=True, slots=True)
class Gained:
    """The lease is held from now on."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease is held longer."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The lease is no longer held."""

    fencing: int


@dataclass(frozen=True, slots=True)
class Released:
    """The table says that the lease is free for the next holder."""


Message = Tick | RowSeen | RowReceived | WriteAnswered | HandOver
Action = ReadRow | WriteRow | Gained | Renewed | Lost | Released
