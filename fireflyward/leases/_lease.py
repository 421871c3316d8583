"""The decisions of one process about one lease, without I/O."""

import logging
import uuid
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec

from fireflyward.backing import Committed, Missing, Position, Row, Unavailable
from fireflyward.decoding import decode_json

from ._messages import (
    Action,
    Claim,
    Gained,
    HandOver,
    LeaseRow,
    LeaseStep,
    Lost,
    Message,
    ReadRow,
    Released,
    Renewed,
    RowRead,
    RowReceived,
    Tick,
    WriteAnswered,
    WriteRow,
)

log = logging.getLogger("fireflyward.leases")

# The monotonic clocks of two machines may run at different rates. A contender waits
# longer than the holder counts on its lease, by the lease's length divided by this
# number, which covers a difference of 5%.
_CLOCK_RATE_MARGIN_DIVISOR = 20
_RENEWALS_PER_LEASE = 3


@dataclass(slots=True)
class _PendingWrite:
    """A write whose effect is not known yet."""

    expected: Position
    row: LeaseRow
    sent_ms: int
    step: LeaseStep
    after_expiry: bool = False
    may_resend: bool = False
    is_uncertain: bool = False


class Lease:
    """Decides without I/O when this process holds a lease, and its fencing number.

    No wall clocks are compared. A holder assumes that it holds the lease for
    ``lease_ms`` of its own monotonic clock, counted from before it sent the write. A
    contender acquires the lease only after the row's version has been unchanged for
    longer than that on the contender's clock, counted from after it read the row.
    Because the write happened between these two times, the holder has stopped assuming
    that it holds the lease before a contender acquires it. Every acquisition increases
    the fencing number.

    When the table is restored from an older snapshot, it may have lost the row of a
    current holder. So a row of an earlier era, or a missing row, does not count as free
    until it has been unchanged for the length of a lease. Only a holder whose claim has
    not expired writes its row again at once. Fencing numbers of a later era are higher
    than all numbers of earlier eras. Within an era, each number is higher than the
    position at which the row was read, so no number is assigned twice even if the row
    itself was lost.

    >>> lease = Lease(holder="entry-1", lease_ms=9_000)
    >>> lease.decide(0, Tick())
    [ReadRow()]
    >>> lease.claim_at(0) is None
    True
    """

    __slots__ = (
        "_claim",
        "_claim_id",
        "_holder",
        "_last_renewal_ms",
        "_lease_ms",
        "_pending",
        "_position",
        "_row",
        "_stopping",
        "_store_ms",
        "_unchanged_since_ms",
    )

    def __init__(self, *, holder: str, lease_ms: int, claim_id: str = "") -> None:
        self._holder = holder
        self._lease_ms = lease_ms
        self._claim_id = claim_id or uuid.uuid4().hex
        self._claim: Claim | None = None
        self._pending: _PendingWrite | None = None
        self._row: LeaseRow | None = None
        self._position = Position(0, -1)
        self._unchanged_since_ms = 0
        self._last_renewal_ms = 0
        self._stopping = False
        self._store_ms = 0

    def __repr__(self) -> str:
        return f"Lease({self._holder!r}, {self._claim})"

    @property
    def lease_ms(self) -> int:
        return self._lease_ms

    @property
    def is_settled(self) -> bool:
        """Return whether the outcome of every write is known."""
        return self._pending is None

    @property
    def row(self) -> tuple[LeaseRow | None, Position]:
        """Return the last known row and the position of its last write."""
        return self._row, self._position

    def claim_at(self, now_ms: int) -> Claim | None:
        """Return the claim if it is held at ``now_ms`` of this process's clock.

        A process that was paused until after its lease expired detects this here,
        before it acts. A flag that a timer resets would be reset too late.
        """
        if self._claim is None or now_ms >= self._claim.until_ms:
            return None
        return self._claim

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Process a message; return the actions to perform, in order."""
        return self._on(message, now_ms)

    @singledispatchmethod
    def _on(self, message: Message, now_ms: int) -> list[Action]:
        raise TypeError(f"unknown message {message!r}")

    @_on.register
    def _(self, message: Tick, now_ms: int) -> list[Action]:
        actions = self._expire(now_ms)
        self._store_ms = message.store_ms
        if self._pending:
            self._pending.may_resend = True
            return [*actions, ReadRow()]
        if self._claim:
            renew_at_ms = self._last_renewal_ms + self._lease_ms // _RENEWALS_PER_LEASE
            is_renewal_due = message.renews_now or now_ms >= renew_at_ms
            if self._stopping or not message.may_renew:
                return actions
            if message.takes_new_fencing:
                actions.append(self._acquire(now_ms))
            elif is_renewal_due:
                actions.append(self._renew(now_ms))
        elif message.may_contend and not self._stopping:
            actions.append(ReadRow())
        return actions

    @_on.register
    def _(self, message: RowRead, now_ms: int) -> list[Action]:
        result = message.result
        if isinstance(result, Unavailable):
            return []
        row = _parse(result)
        if self._pending:
            return self._resolve_pending(now_ms, row, result.position)
        self._record_row(now_ms, row, result.position)
        if self._claim or self._stopping or not self._is_free(now_ms):
            return []
        return [self._acquire(now_ms)]

    @_on.register
    def _(self, message: RowReceived, now_ms: int) -> list[Action]:
        """Record a newer row as unchanged from now on; acquire nothing because of it.

        A row that arrives late was written earlier than assumed, so this process
        acquires the lease later because of it and never earlier. In any case, the
        table's conditional write decides.
        """
        is_own = self._pending is not None or self._claim is not None
        if not is_own and message.position > self._position:
            self._record_row(now_ms, message.row, message.position)
        return []

    @_on.register
    def _(self, message: WriteAnswered, now_ms: int) -> list[Action]:
        if not self._is_pending(message):
            return []
        if isinstance(message.result, Committed):
            (key,) = message.result.version_by_key
            return self._on_write_applied(now_ms, message.result.position_of(key))
        if isinstance(message.result, Unavailable):
            if not self._pending.is_uncertain:
                self._pending = None
            return []
        self._pending.is_uncertain = True
        # After a lost answer as well as after a conflict, the row is read to find out
        # whether the write took effect: an earlier write by this process whose answer
        # was lost can cause the conflict.
        return [ReadRow()]

    @_on.register
    def _(self, message: HandOver, now_ms: int) -> list[Action]:
        self._stopping = True
        claim = self.claim_at(now_ms)
        if claim is None or self._pending:
            return []
        # The claim is dropped before the release is sent. Otherwise, a successor could
        # act on the release while this process still sends orders.
        self._claim = None
        row = _changed(self._row, released=True)
        return [
            Lost(claim.fencing),
            self._send(now_ms, row, LeaseStep.RELEASE_SENT),
        ]

    def _is_pending(self, message: WriteAnswered) -> bool:
        """Return whether the outcome of the answered write is not known yet.

        While an answer is late, the row may be read and show the write's outcome.
        Another write may be pending by the time the answer arrives.
        """
        if self._pending is None:
            return False
        return message.row is None or message.row == self._pending.row

    def _expire(self, now_ms: int) -> list[Action]:
        if self._claim is None or now_ms < self._claim.until_ms:
            return []
        fencing = self._claim.fencing
        self._claim = None
        return [Lost(fencing)]

    def _record_row(
        self, now_ms: int, row: LeaseRow | None, position: Position
    ) -> None:
        if position != self._position:
            self._position = position
            self._unchanged_since_ms = now_ms
        self._row = row

    @property
    def _is_from_earlier_era(self) -> bool:
        """Return whether the table may have lost a newer row of the lease."""
        era = self._row.era if self._row is not None else 0
        return era != self._position.era

    def _is_free(self, now_ms: int) -> bool:
        if not self._is_from_earlier_era:
            if self._row is None or self._row.released:
                return True
            if self._row.claim == self._claim_id:
                return True
        wait_ms = self._lease_ms + self._lease_ms // _CLOCK_RATE_MARGIN_DIVISOR
        return now_ms - self._unchanged_since_ms >= wait_ms

    def _acquire(self, now_ms: int) -> Action:
        previous = self._row
        fencing = previous.fencing + 1 if previous else 1
        # The table may have been restored with an earlier row and its lower number.
        fencing = max(fencing, self._position.ordinal + 1)
        era = self._position.era
        row = LeaseRow(
            self._holder, self._claim_id, fencing, era=era, store_ms=self._store_ms
        )
        after_expiry = self._is_from_earlier_era or not (
            previous is None or previous.released
        )
        return self._send(
            now_ms, row, LeaseStep.ACQUIRE_SENT, after_expiry=after_expiry
        )

    def _renew(self, now_ms: int) -> Action:
        row = _changed(self._row, beat=self._row.beat + 1, store_ms=self._store_ms)
        # If the claim expires before the outcome of this write is known, the write
        # results in a new claim, while orders of the old one may still be in flight.
        return self._send(now_ms, row, LeaseStep.RENEW_SENT, after_expiry=True)

    def _send(
        self, now_ms: int, row: LeaseRow, step: LeaseStep, *, after_expiry: bool = False
    ) -> Action:
        self._pending = _PendingWrite(self._position, row, now_ms, step, after_expiry)
        return WriteRow(self._position, row, step)

    def _resolve_pending(
        self, now_ms: int, row: LeaseRow | None, position: Position
    ) -> list[Action]:
        """Determine from the row whether the pending write took effect."""
        pending = self._pending
        is_same_era = position.era == pending.expected.era
        if row == pending.row and is_same_era:
            return self._on_write_applied(now_ms, position)
        if position == pending.expected:
            # The write has not taken effect yet but may still arrive. The same write is
            # sent again with the same expected version, so only one of the two can take
            # effect, and the claim still counts from when the first was sent. It is
            # sent on the next tick, because a table that loses every answer would
            # otherwise keep the task busy.
            if not pending.may_resend:
                return []
            pending.may_resend = False
            return [WriteRow(pending.expected, pending.row, pending.step)]
        self._pending = None
        self._record_row(now_ms, row, position)
        if self._claim is None:
            return []
        is_held = self.claim_at(now_ms) is not None
        fencing = self._claim.fencing
        self._claim = None
        if not is_held or self._stopping or is_same_era:
            return [Lost(fencing)]
        # No other process may acquire the lease yet, so this one, which still holds it,
        # writes the lost row again.
        return [Lost(fencing), self._acquire(now_ms)]

    def _on_write_applied(self, now_ms: int, position: Position) -> list[Action]:
        pending = self._pending
        self._pending = None
        self._record_row(now_ms, pending.row, position)
        if pending.step is LeaseStep.RELEASE_SENT:
            return [Released()]
        until_ms = pending.sent_ms + self._lease_ms
        if now_ms >= until_ms:
            return self._expire(now_ms)
        self._last_renewal_ms = pending.sent_ms
        if pending.step is LeaseStep.RENEW_SENT and self._claim:
            self._claim = replace(self._claim, until_ms=until_ms)
            return [Renewed()]
        self._claim = Claim(pending.row.fencing, until_ms, pending.after_expiry)
        return [Gained(self._claim)]


def _changed(row: LeaseRow, **changes: object) -> LeaseRow:
    """Return a copy of ``row`` with some fields changed."""
    return msgspec.structs.replace(row, **changes)


def _parse(result: Row | Missing) -> LeaseRow | None:
    if isinstance(result, Missing):
        return None
    row = decode_json(result.value, LeaseRow)
    if row is not None:
        return row
    # A foreign program wrote the row. The holder may still assume for the length of a
    # lease that it holds it, so the lease counts as held. The row's version serves as
    # the fencing number: every write increased it, so no holder can have had a higher
    # number.
    log.error("leases: the row %s could not be decoded", result.key)
    return LeaseRow("", "", result.version, era=result.era)
