"""A lease's row, and the messages between its decisions and its task."""

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
from fireflyward.decoding import Count
from fireflyward.steps import Step


class LeaseStep(Step):
    """The steps of a lease at which tests make its process fail."""

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

    ``claim`` identifies the process that acquired the lease, and ``beat`` counts its
    renewals. ``released`` says that the holder released the lease with no operation
    left in flight. ``era`` is the table's era when the row was written; if the table is
    in a later era, newer rows of the lease may have been lost. ``store_ms`` is a time
    of the store's clock before the write, 0 if unknown: a row that the store wrote
    later did not exist then.
    """

    holder: str
    claim: str
    fencing: Count
    beat: Count = 0
    released: bool = False
    era: Count = 0
    store_ms: Count = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A lease that is held: its fencing number and when it expires.

    ``after_expiry`` is true if the previous holder did not hand the lease over, so
    that an order which it sent may still arrive.
    """

    fencing: int
    until_ms: int
    after_expiry: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; ``may_contend`` says whether to check for a free lease.

    Without ``may_renew`` a claim is not renewed and expires.
    With ``renews_now`` a claim is renewed although its renewal is not due. With
    ``takes_new_fencing`` a claim is replaced by one with a higher fencing number.
    ``store_ms`` is the time of the store's clock or an earlier one, 0 if unknown.
    """

    may_contend: bool = True
    renews_now: bool = False
    takes_new_fencing: bool = False
    may_renew: bool = True
    store_ms: int = 0


@dataclass(frozen=True, slots=True)
class RowRead:
    """The answer to ``ReadRow``."""

    result: Row | Missing | Unavailable


@dataclass(frozen=True, slots=True)
class RowReceived:
    """The holder announced its row and the position of its last write.

    The announcement may be late: it shows only that the row was written before the
    announcement arrived.
    """

    row: LeaseRow
    position: Position


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The answer to ``WriteRow``; ``row`` is the row that was to be written."""

    result: Committed | Conflict | Unavailable | Uncertain
    row: LeaseRow | None = None


@dataclass(frozen=True, slots=True)
class HandOver:
    """The holder stops as planned and has no operations in flight."""


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the lease's row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the lease's row if it is still the row read at ``expected``."""

    expected: Position
    row: LeaseRow
    step: LeaseStep


@dataclass(frozen=True, slots=True)
class Gained:
    """The lease is held from now on."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The lease is no longer held."""

    fencing: int


@dataclass(frozen=True, slots=True)
class Released:
    """The table contains the release, so the lease is free for the next holder."""


Message = Tick | RowRead | RowReceived | WriteAnswered | HandOver
Action = ReadRow | WriteRow | Gained | Renewed | Lost | Released
