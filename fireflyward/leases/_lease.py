"""The decisions of one process about one lease."""

import logging
import uuid
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec

from fireflyward.backing import Committed, Missing, Position, Row, Unavailable

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
    RowReceived,
    RowSeen,
    Tick,
    WriteAnswered,
    WriteRow,
)

log = logging.getLogger("fireflyward.leases")

# Two machines' monotonic clocks may run at rates that differ; a contender waits
# this much longer than the holder believes, which covers 5% between them.
_RATE_MARGIN = 20
_RENEWALS_PER_LEASE = 3


@dataclass(slots=True)
class _Pending:
    """A write whose effect is not known yet."""

    expected: Position
    row: LeaseRow
    sent_ms: int
    step: LeaseStep
    after_expiry: bool = False
    may_resend: bool = False
    in_doubt: bool = False


class Lease:
    """Decides without I/O when this process holds a lease, and with which number.

    No wall clock is compared. A holder believes in its lease for ``lease_ms`` of
    its own monotonic clock from before it sent the write; a contender takes the
    lease only after the row's version stayed the same for longer than that on the
    contender's clock, counted from after it read the row. Since the write lies
    between the two, the holder has stopped believing before a contender starts.
    Every acquisition adds one to the fencing number.

    A table that comes back from an older copy may have lost the row of a holder that
    believes in it still. So a row that was written in an earlier era, or none, frees
    nothing until it was there for as long as a lease lasts; only a holder whose claim
    has not lapsed writes its row again at once. Numbers of a later era are higher than
    all of earlier ones, and within an era they follow the table's versions, so that
    none is given twice even where the row itself was lost.

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
        "_lease_ms",
        "_pending",
        "_position",
        "_row",
        "_same_since_ms",
        "_sent_ms",
        "_stopping",
    )

    def __init__(self, *, holder: str, lease_ms: int, claim_id: str = "") -> None:
        self._holder = holder
        self._lease_ms = lease_ms
        self._claim_id = claim_id or uuid.uuid4().hex
        self._claim: Claim | None = None
        self._pending: _Pending | None = None
        self._row: LeaseRow | None = None
        self._position = Position(0, -1)
        self._same_since_ms = 0
        self._sent_ms = 0
        self._stopping = False

    def __repr__(self) -> str:
        return f"Lease({self._holder!r}, {self._claim})"

    @property
    def lease_ms(self) -> int:
        return self._lease_ms

    @property
    def is_settled(self) -> bool:
        """Tell whether no write's effect is in doubt."""
        return self._pending is None

    @property
    def row(self) -> tuple[LeaseRow | None, Position]:
        """Return the row as it was last known, and where it was written."""
        return self._row, self._position

    def claim_at(self, now_ms: int) -> Claim | None:
        """Return the claim if it is held at ``now_ms``, by this process's clock.

        A process that was paused past its lease finds out here, before it acts;
        asking a flag that a timer resets would tell it too late.
        """
        if self._claim is None or now_ms >= self._claim.until_ms:
            return None
        return self._claim

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Take a message; return what to do, in order."""
        return self._on(message, now_ms)

    @singledispatchmethod
    def _on(self, message: Message, now_ms: int) -> list[Action]:
        raise TypeError(f"no decision for {message!r}")

    @_on.register
    def _(self, message: Tick, now_ms: int) -> list[Action]:
        actions = self._lapse(now_ms)
        if self._pending:
            self._pending.may_resend = True
            return [*actions, ReadRow()]
        if self._claim:
            renew_at_ms = self._sent_ms + self._lease_ms // _RENEWALS_PER_LEASE
            is_due = message.renews_now or now_ms >= renew_at_ms
            if is_due and not self._stopping:
                actions.append(self._renew(now_ms))
        elif message.may_contend and not self._stopping:
            actions.append(ReadRow())
        return actions

    @_on.register
    def _(self, message: RowSeen, now_ms: int) -> list[Action]:
        result = message.result
        if isinstance(result, Unavailable):
            return []
        row = _parse(result)
        if self._pending:
            return self._settle(now_ms, row, result.position)
        self._look_at(now_ms, row, result.position)
        if self._claim or self._stopping or not self._is_free(now_ms):
            return []
        return [self._acquire(now_ms)]

    @_on.register
    def _(self, message: RowReceived, now_ms: int) -> list[Action]:
        """Note a newer row, to be counted from now; acquire nothing by hearsay.

        A row that comes late is older than it seems, so the lease is taken later
        for it and never sooner; the table's condition decides in any case.
        """
        is_own = self._pending is not None or self._claim is not None
        if not is_own and message.position > self._position:
            self._look_at(now_ms, message.row, message.position)
        return []

    @_on.register
    def _(self, message: WriteAnswered, now_ms: int) -> list[Action]:
        if isinstance(message.result, Committed):
            (key,) = message.result.version_by_key
            return self._accepted(now_ms, message.result.position_of(key))
        if isinstance(message.result, Unavailable):
            if not self._pending.in_doubt:
                self._pending = None
            return []
        self._pending.in_doubt = True
        # A lost answer and a conflict are settled alike, by reading the row: the
        # conflict may come from our own earlier write whose answer was lost.
        return [ReadRow()]

    @_on.register
    def _(self, message: HandOver, now_ms: int) -> list[Action]:
        self._stopping = True
        claim = self.claim_at(now_ms)
        if claim is None or self._pending:
            return []
        # Belief ends before the release is sent: were it the other way round, a
        # successor could act on the release while this process still ordered.
        self._claim = None
        row = _changed(self._row, released=True)
        return [
            Lost(claim.fencing),
            self._send(now_ms, row, LeaseStep.RELEASE_SENT),
        ]

    def _lapse(self, now_ms: int) -> list[Action]:
        if self._claim is None or now_ms < self._claim.until_ms:
            return []
        fencing = self._claim.fencing
        self._claim = None
        return [Lost(fencing)]

    def _look_at(self, now_ms: int, row: LeaseRow | None, position: Position) -> None:
        if position != self._position:
            self._position = position
            self._same_since_ms = now_ms
        self._row = row

    @property
    def _is_from_earlier_era(self) -> bool:
        """Tell whether what was written last may have been lost."""
        era = self._row.era if self._row is not None else 0
        return era != self._position.era

    def _is_free(self, now_ms: int) -> bool:
        if not self._is_from_earlier_era:
            if self._row is None or self._row.released:
                return True
            if self._row.claim == self._claim_id:
                return True
        wait_ms = self._lease_ms + self._lease_ms // _RATE_MARGIN
        return now_ms - self._same_since_ms >= wait_ms

    def _acquire(self, now_ms: int) -> Action:
        before = self._row
        fencing = before.fencing + 1 if before else 1
        # An older copy may have brought back an earlier row, with an earlier number.
        fencing = max(fencing, self._position.ordinal + 1)
        era = self._position.era
        row = LeaseRow(self._holder, self._claim_id, fencing, era=era)
        after_expiry = self._is_from_earlier_era or not (
            before is None or before.released
        )
        return self._send(
            now_ms, row, LeaseStep.ACQUIRE_SENT, after_expiry=after_expiry
        )

    def _renew(self, now_ms: int) -> Action:
        row = _changed(self._row, beat=self._row.beat + 1)
        # Should belief lapse before this write's effect is known, the claim that
        # comes of it is a new one, with things of the old one on their way.
        return self._send(now_ms, row, LeaseStep.RENEW_SENT, after_expiry=True)

    def _send(
        self, now_ms: int, row: LeaseRow, step: LeaseStep, *, after_expiry: bool = False
    ) -> Action:
        self._pending = _Pending(self._position, row, now_ms, step, after_expiry)
        return WriteRow(self._position, row, step)

    def _settle(
        self, now_ms: int, row: LeaseRow | None, position: Position
    ) -> list[Action]:
        """Find out from the row whether the pending write took effect."""
        pending = self._pending
        is_same_era = position.era == pending.expected.era
        if row == pending.row and is_same_era:
            return self._accepted(now_ms, position)
        if position == pending.expected:
            # Not there yet, though it may still arrive. The same write goes out
            # again with the same expected version, so only one can take effect,
            # and belief still counts from the first sending. It waits for a tick,
            # since a table that loses every answer would keep the task busy.
            if not pending.may_resend:
                return []
            pending.may_resend = False
            return [WriteRow(pending.expected, pending.row, pending.step)]
        self._pending = None
        self._look_at(now_ms, row, position)
        if self._claim is None:
            return []
        is_held = self.claim_at(now_ms) is not None
        fencing = self._claim.fencing
        self._claim = None
        if not is_held or self._stopping or is_same_era:
            return [Lost(fencing)]
        # Nobody else may have taken it yet, so its holder writes the lost row again.
        return [Lost(fencing), self._acquire(now_ms)]

    def _accepted(self, now_ms: int, position: Position) -> list[Action]:
        pending = self._pending
        self._pending = None
        self._look_at(now_ms, pending.row, position)
        if pending.step is LeaseStep.RELEASE_SENT:
            return [Released()]
        until_ms = pending.sent_ms + self._lease_ms
        if now_ms >= until_ms:
            return self._lapse(now_ms)
        self._sent_ms = pending.sent_ms
        if pending.step is LeaseStep.RENEW_SENT and self._claim:
            self._claim = replace(self._claim, until_ms=until_ms)
            return [Renewed()]
        self._claim = Claim(pending.row.fencing, until_ms, pending.after_expiry)
        return [Gained(self._claim)]


def _changed(row: LeaseRow, **changes: object) -> LeaseRow:
    """Return ``row`` with some fields changed."""
    return msgspec.structs.replace(row, **changes)


def _parse(result: Row | Missing) -> LeaseRow | None:
    if isinstance(result, Missing):
        return None
    try:
        return msgspec.json.decode(result.value, type=LeaseRow)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        # Somebody else wrote it. Who held the lease may believe so for its length
        # still, so it counts as held; a number that no holder can have had yet is
        # the version of the row, which grew by each of their writes.
        log.error("leases: the row %s is not understood", result.key)
        return LeaseRow("", "", result.version, era=result.era)
