"""The task of one lease, which performs the reads and writes that it decides."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatchmethod

import msgspec

from fireflyward.backing import Position, Row, Table, Uncertain
from fireflyward.clock import Clock, within_ms
from fireflyward.decoding import decode_json
from fireflyward.steps import StepObserver, ignore_step

from ._lease import Lease
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
from ._standby import Standby

log = logging.getLogger("fireflyward.leases")

DEFAULT_LEASE_MS = 9_000
KEY_PREFIX = "lease/"
_POLLS_PER_LEASE = 3
# A contender that received an announcement from the holder polls the table only after
# this share of a lease without another announcement. The share covers two renewals, so
# one announcement may be lost, and the contender is still in time for a lease that
# expires.
_ANNOUNCEMENT_VALID_SHARE = 0.7
_MAX_HAND_OVER_ATTEMPTS = 5
_HAND_OVER_PAUSE_MS = 100


class LeaseTask:
    """Acquires the lease ``name`` when it is free and keeps it.

    ``can_act`` is called before each step: while it returns False, this process neither
    acquires the lease nor renews it, so that another one takes it over.
    ``contends`` is called before each poll. A node that does not contend polls only
    when ``standby`` is due, so that the lease gets a holder even if every node assumes
    that others contend. ``on_change`` is called with ``Gained`` and ``Lost``, and
    ``on_row_written`` with each row that this holder wrote, so that it can be announced
    to the other nodes. ``poll_interval_ms`` returns the time until the next poll;
    without it the task polls three times in the length of a lease. ``store_ms`` returns
    the time of the table's clock or an earlier one, 0 if unknown, for the row, and
    ``on_row_read`` is called with each row that was read from the table.

        lease = LeaseTask("sweep/store-1", clock=clock, table=table, holder="entry-1")
        asyncio.create_task(lease.run())
        ...
        claim = lease.claim()
        if claim is not None:
            await store.delete(name, fencing=claim.fencing)
    """

    __slots__ = (
        "_clock",
        "_can_act",
        "_contends",
        "_is_released",
        "_key",
        "_last_announcement_ms",
        "_lease",
        "_observe",
        "_on_change",
        "_on_row_read",
        "_on_row_written",
        "_poll_interval_ms",
        "_standby",
        "_store_ms",
        "_table",
        "_takes_new_fencing",
        "_wake_up",
        "name",
    )

    def __init__(
        self,
        name: str,
        *,
        clock: Clock,
        table: Table,
        holder: str,
        lease_ms: int = DEFAULT_LEASE_MS,
        contends: Callable[[], bool] = lambda: True,
        standby: Standby | None = None,
        can_act: Callable[[], bool] = lambda: True,
        on_change: Callable[[Gained | Lost], None] = lambda change: None,
        on_row_written: Callable[[LeaseRow, Position], None] = lambda row, position: (
            None
        ),
        on_row_read: Callable[[LeaseRow, Position], None] = lambda row, position: None,
        store_ms: Callable[[], int] = lambda: 0,
        poll_interval_ms: Callable[[], float] | None = None,
        observe: StepObserver = ignore_step,
    ) -> None:
        self.name = name
        self._clock = clock
        self._table = table
        self._key = KEY_PREFIX + name
        self._lease = Lease(holder=holder, lease_ms=lease_ms)
        self._poll_interval_ms = poll_interval_ms or (
            lambda: lease_ms // _POLLS_PER_LEASE
        )
        self._takes_new_fencing = False
        self._wake_up = asyncio.Event()
        self._contends = contends
        self._standby = standby or Standby.without_announcements()
        self._can_act = can_act
        self._on_change = on_change
        self._on_row_written = on_row_written
        self._on_row_read = on_row_read
        self._store_ms = store_ms
        self._last_announcement_ms: int | None = None
        self._observe = observe
        self._is_released = False

    def __repr__(self) -> str:
        return f"LeaseTask({self.name!r}, {self._lease!r})"

    def claim(self) -> Claim | None:
        """Return the claim if it is held now; call this before every order."""
        return self._lease.claim_at(self._clock.now_ms())

    async def run(self) -> None:
        """Poll for the lease, acquire it and keep it, until cancelled."""
        while True:
            await self.step()
            await within_ms(self._clock, self._poll_interval_ms(), self._wake_up.wait())

    def request_renewal(self) -> None:
        """Renew the claim at once, for an order that requires a recent renewal."""
        self._wake_up.set()

    def request_new_fencing(self) -> None:
        """Replace the claim by one with a higher fencing number, without a gap.

        This is for a holder that must not have its own earlier orders executed any
        more. The claim changes with a later step, and only if the write succeeds.
        """
        self._takes_new_fencing = True
        self._wake_up.set()

    async def on_row_received(self, row: LeaseRow, position: Position) -> None:
        """Handle the holder's announcement of its row and position."""
        now_ms = self._clock.now_ms()
        if row.released:
            self._last_announcement_ms = None
            self._standby.on_release(now_ms)
            self._wake_up.set()
            return
        self._last_announcement_ms = now_ms
        self._standby.on_announcement(now_ms)
        await self._process(RowReceived(row, position))

    async def step(self) -> None:
        """Perform what is due: poll, acquire, renew or check a pending write."""
        now_ms = self._clock.now_ms()
        can_act = self._can_act()
        polls = self._contends() and not self._has_recent_announcement(now_ms)
        is_standby_due = self._standby.is_due(now_ms)
        may_contend = can_act and (polls or is_standby_due)
        if may_contend:
            self._standby.on_poll(now_ms)
            if not polls and self._lease.claim_at(now_ms) is None:
                log.info("leases: %s is polled without contending for it", self.name)
        renews_now = self._wake_up.is_set()
        takes_new_fencing = self._takes_new_fencing
        self._takes_new_fencing = False
        self._wake_up.clear()
        await self._process(
            Tick(
                may_contend,
                renews_now,
                takes_new_fencing,
                may_renew=can_act,
                store_ms=self._store_ms(),
            )
        )

    async def hand_over(self) -> bool:
        """Release the lease; return whether the table contains the release.

        The caller has stopped all work under the lease, including what was in flight,
        because a successor acts at once.
        """
        for _ in range(_MAX_HAND_OVER_ATTEMPTS):
            if self._lease.is_settled:
                await self._process(HandOver())
            else:
                await self._process(Tick(may_contend=False))
            if self._is_released or self.claim() is None and self._lease.is_settled:
                break
            await self._clock.sleep_ms(_HAND_OVER_PAUSE_MS)
        return self._is_released

    def _has_recent_announcement(self, now_ms: int) -> bool:
        if self._last_announcement_ms is None:
            return False
        return (
            now_ms - self._last_announcement_ms
            < self._lease.lease_ms * _ANNOUNCEMENT_VALID_SHARE
        )

    def _announce_row(self) -> None:
        row, position = self._lease.row
        if row is not None:
            self._on_row_written(row, position)

    async def _process(self, message: Message) -> None:
        pending = self._lease.decide(self._clock.now_ms(), message)
        while pending:
            answer = await self._perform(pending.pop(0))
            if answer is not None:
                pending += self._lease.decide(self._clock.now_ms(), answer)

    @singledispatchmethod
    async def _perform(self, action: Action) -> Message | None:
        raise TypeError(f"unknown action {action!r}")

    @_perform.register
    async def _(self, action: ReadRow) -> Message | None:
        result = await self._table.get(self._key)
        self._observe(LeaseStep.ROW_SEEN)
        row = decode_json(result.value, LeaseRow) if isinstance(result, Row) else None
        if row is not None:
            self._on_row_read(row, result.position)
        return RowRead(result)

    @_perform.register
    async def _(self, action: WriteRow) -> Message | None:
        self._observe(action.step)
        result = await self._table.commit(
            expected={self._key: action.expected.version},
            puts={self._key: msgspec.json.encode(action.row)},
            era=action.expected.era,
        )
        if isinstance(result, Uncertain):
            self._observe(LeaseStep.ANSWER_LOST)
        return WriteAnswered(result, action.row)

    @_perform.register
    async def _(self, action: Gained) -> Message | None:
        self._observe(LeaseStep.ACQUIRED)
        log.info("leases: %s held with number %d", self.name, action.claim.fencing)
        self._on_change(action)
        self._announce_row()

    @_perform.register
    async def _(self, action: Renewed) -> Message | None:
        self._observe(LeaseStep.RENEWED)
        self._announce_row()

    @_perform.register
    async def _(self, action: Lost) -> Message | None:
        self._observe(LeaseStep.LAPSED)
        log.info("leases: %s no longer held, number %d", self.name, action.fencing)
        self._on_change(action)

    @_perform.register
    async def _(self, action: Released) -> Message | None:
        self._is_released = True
        self._observe(LeaseStep.RELEASED)
        self._announce_row()
