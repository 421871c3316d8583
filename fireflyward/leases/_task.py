"""The task that keeps one lease: it reads, writes and waits as decided."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatchmethod

import msgspec

from fireflyward.backing import Position, Table, Uncertain
from fireflyward.clock import Clock, within_ms
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
    RowReceived,
    RowSeen,
    Tick,
    WriteAnswered,
    WriteRow,
)

log = logging.getLogger("fireflyward.leases")

DEFAULT_LEASE_MS = 9_000
KEY_PREFIX = "lease/"
_LOOKS_PER_LEASE = 3
_IDLE_LOOK_MS = 60_000
# Whoever was told by the holder looks at the table only after this part of a lease
# without another word: two renewals, of which one may be lost, and still in time to
# take a lease that lapses.
_TOLD_SHARE = 0.7
_HAND_OVER_TRIES = 5
_HAND_OVER_PAUSE_MS = 100


class LeaseTask:
    """Holds the lease ``name`` whenever it can.

    ``contends`` is asked before each look: a node that does not contend looks
    only once a minute, so that the lease finds a holder even if every node
    thinks that others contend. ``on_change`` hears of ``Gained`` and ``Lost``.
    ``on_row_written`` hears of each row that this holder wrote, to tell contenders of it.
    ``poll_interval_ms`` is asked how long to wait for the next look; without it there are
    three looks in the length of a lease.

        lease = LeaseTask("sweep/store-1", clock=clock, table=table, holder="entry-1")
        asyncio.create_task(lease.run())
        ...
        claim = lease.claim()
        if claim is not None:
            await store.delete(name, fencing=claim.fencing)
    """

    __slots__ = (
        "_clock",
        "_contends",
        "_key",
        "_lease",
        "_poll_interval_ms",
        "_looked_ms",
        "_observe",
        "_on_change",
        "_on_row_written",
        "_released",
        "_table",
        "_told_ms",
        "_wanted_fresh",
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
        on_change: Callable[[Gained | Lost], None] = lambda change: None,
        on_row_written: Callable[[LeaseRow, Position], None] = lambda row, position: (
            None
        ),
        poll_interval_ms: Callable[[], float] | None = None,
        observe: StepObserver = ignore_step,
    ) -> None:
        self.name = name
        self._clock = clock
        self._table = table
        self._key = KEY_PREFIX + name
        self._lease = Lease(holder=holder, lease_ms=lease_ms)
        self._poll_interval_ms = poll_interval_ms or (
            lambda: lease_ms // _LOOKS_PER_LEASE
        )
        self._wanted_fresh = asyncio.Event()
        self._contends = contends
        self._on_change = on_change
        self._on_row_written = on_row_written
        self._told_ms: int | None = None
        self._observe = observe
        self._looked_ms: int | None = None
        self._released = False

    def __repr__(self) -> str:
        return f"LeaseTask({self.name!r}, {self._lease!r})"

    def claim(self) -> Claim | None:
        """Return the claim if it is held right now; ask before every order."""
        return self._lease.claim_at(self._clock.now_ms())

    async def run(self) -> None:
        """Look for the lease, take it and keep it, until cancelled."""
        while True:
            await self.step()
            await within_ms(
                self._clock, self._poll_interval_ms(), self._wanted_fresh.wait()
            )

    def request_renewal(self) -> None:
        """Have a claim renewed at once, for an order that asks for a young one."""
        self._wanted_fresh.set()

    async def on_told(self, row: LeaseRow, position: Position) -> None:
        """Hear from the holder that its row was written there."""
        if row.released:
            self._told_ms = None
            self._wanted_fresh.set()
            return
        self._told_ms = self._clock.now_ms()
        await self._take(RowReceived(row, position))

    async def step(self) -> None:
        """Do what is due now: look, acquire, renew or settle."""
        now_ms = self._clock.now_ms()
        looks = self._contends() and not self._is_told(now_ms)
        may_contend = looks or self._is_idle_look_due(now_ms)
        if may_contend:
            self._looked_ms = now_ms
        renews_now = self._wanted_fresh.is_set()
        self._wanted_fresh.clear()
        await self._take(Tick(may_contend, renews_now))

    async def hand_over(self) -> bool:
        """Free the lease for the next holder; return whether the table says so.

        The caller has ended everything that it did under the lease, including
        what was in flight: a successor acts at once.
        """
        for _ in range(_HAND_OVER_TRIES):
            if self._lease.is_settled:
                await self._take(HandOver())
            else:
                await self._take(Tick(may_contend=False))
            if self._released or self.claim() is None and self._lease.is_settled:
                break
            await self._clock.sleep_ms(_HAND_OVER_PAUSE_MS)
        return self._released

    def _is_told(self, now_ms: int) -> bool:
        if self._told_ms is None:
            return False
        return now_ms - self._told_ms < self._lease.lease_ms * _TOLD_SHARE

    def _tell_row(self) -> None:
        row, position = self._lease.row
        if row is not None:
            self._on_row_written(row, position)

    def _is_idle_look_due(self, now_ms: int) -> bool:
        if self._looked_ms is None:
            # The first look of nodes that start together is spread as the later
            # ones are, by the moment at which each was started.
            self._looked_ms = now_ms
        return now_ms - self._looked_ms >= _IDLE_LOOK_MS

    async def _take(self, message: Message) -> None:
        pending = self._lease.decide(self._clock.now_ms(), message)
        while pending:
            answer = await self._perform(pending.pop(0))
            if answer is not None:
                pending += self._lease.decide(self._clock.now_ms(), answer)

    @singledispatchmethod
    async def _perform(self, action: Action) -> Message | None:
        raise TypeError(f"no way to do {action!r}")

    @_perform.register
    async def _(self, action: ReadRow) -> Message | None:
        result = await self._table.get(self._key)
        self._observe(LeaseStep.ROW_SEEN)
        return RowSeen(result)

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
        return WriteAnswered(result)

    @_perform.register
    async def _(self, action: Gained) -> Message | None:
        self._observe(LeaseStep.ACQUIRED)
        log.info("leases: %s held with number %d", self.name, action.claim.fencing)
        self._on_change(action)
        self._tell_row()

    @_perform.register
    async def _(self, action: Renewed) -> Message | None:
        self._observe(LeaseStep.RENEWED)
        self._tell_row()

    @_perform.register
    async def _(self, action: Lost) -> Message | None:
        self._observe(LeaseStep.LAPSED)
        log.info("leases: %s no longer held, number %d", self.name, action.fencing)
        self._on_change(action)

    @_perform.register
    async def _(self, action: Released) -> Message | None:
        self._released = True
        self._observe(LeaseStep.RELEASED)
        self._tell_row()
