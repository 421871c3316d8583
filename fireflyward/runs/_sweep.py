"""Deletes expired records; every node takes part, without coordination."""

import logging
from dataclasses import dataclass

import msgspec

from fireflyward.backing import (
    Committed,
    Missing,
    Row,
    Table,
    Unavailable,
)
from fireflyward.clock import Clock
from fireflyward.decoding import DECODE_ERRORS, decode_json
from fireflyward.steps import Step, StepObserver, ignore_step

from ._periods import PERIOD_KEY, SHARDS, Period, period_of, shard_prefix
from ._records import Record

log = logging.getLogger("fireflyward.runs")

PERIOD_MS = 3_600_000
RETAINED_PERIODS = 24
SWEEP_INTERVAL_MS = 60_000
_PAUSE_BETWEEN_SHARDS_MS = 50
_CURSOR_KEY = "runs/swept"


class SweepStep(Step):
    """Steps of the sweep."""

    PERIOD_ADVANCING = "sweep: period advancing"
    BATCH_DELETING = "sweep: batch deleting"
    CURSOR_MOVING = "sweep: cursor moving"


class PeriodWatch:
    """Decides when the period may be advanced.

    A node advances the period after it has read the same row for a full period of its
    own monotonic clock, counted from the time after its first read. Wall clocks are not
    compared, so a jump of a wall clock cannot delete a record early. If no node runs
    long enough, records are only kept longer.

    >>> watch = PeriodWatch(100)
    >>> watch.observe_row(0, Period(7, 3)), watch.observe_row(99, Period(7, 3))
    (False, False)
    >>> watch.observe_row(100, Period(7, 3))
    True
    """

    __slots__ = ("_period", "_period_ms", "_since_ms")

    def __init__(self, period_ms: int = PERIOD_MS) -> None:
        self._period_ms = period_ms
        self._period: Period | None = None
        self._since_ms = 0

    def observe_row(self, now_ms: int, period: Period) -> bool:
        """Record the row that was read; return whether this node may now advance it."""
        if period != self._period:
            self._period = period
            self._since_ms = now_ms
        return now_ms - self._since_ms >= self._period_ms


@dataclass(frozen=True, slots=True)
class Cursor:
    """The period and shard to sweep next, and the version of the cursor's row."""

    period: int = 0
    shard: int = 0
    version: int = 0

    def next(self) -> tuple[int, int]:
        """Return the period and shard after this one."""
        if self.shard + 1 < SHARDS:
            return self.period, self.shard + 1
        return self.period + 1, 0


class Sweeper:
    """Advances the period and deletes the records of expired periods.

    Every node runs a sweeper, and no leader is needed. The period and the cursor
    advance only from the version that was read, and a record is deleted only at the
    version at which it was found expired. Two nodes that sweep the same shard
    duplicate work but do no damage.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        *,
        period_ms: int = PERIOD_MS,
        retained_periods: int = RETAINED_PERIODS,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._table = table
        self._clock = clock
        self._retained_periods = retained_periods
        self._observe = observe
        self._period_watch = PeriodWatch(period_ms)

    async def poll(self) -> int:
        """Advance a due period, then sweep; return the number of deleted batches."""
        row = await self._table.get(PERIOD_KEY)
        if isinstance(row, Unavailable):
            return 0
        period = period_of(row)
        if self._period_watch.observe_row(self._clock.now_ms(), period):
            await self._advance_period(period)
        return await self._sweep(period.number - self._retained_periods)

    async def _advance_period(self, period: Period) -> None:
        self._observe(SweepStep.PERIOD_ADVANCING)
        result = await self._table.commit(
            expected={PERIOD_KEY: period.version},
            puts={PERIOD_KEY: msgspec.json.encode(period.number + 1)},
        )
        if isinstance(result, Committed):
            advanced = Period(period.number + 1, period.version + 1)
            self._period_watch.observe_row(self._clock.now_ms(), advanced)

    async def _sweep(self, end_period: int) -> int:
        """Sweep the shards from the cursor on, in all periods before ``end_period``."""
        deleted = 0
        while True:
            cursor = await self._read_cursor()
            if cursor is None or cursor.period >= end_period:
                return deleted
            deleted_in_shard = await self._sweep_shard(cursor)
            if deleted_in_shard is None or not await self._advance_cursor(cursor):
                return deleted
            deleted += deleted_in_shard
            await self._clock.sleep_ms(_PAUSE_BETWEEN_SHARDS_MS)

    async def _sweep_shard(self, cursor: Cursor) -> int | None:
        rows = await self._table.scan(shard_prefix(cursor.period, cursor.shard))
        if isinstance(rows, Unavailable):
            return None
        for row in rows:
            if not await self._delete_batch(row, cursor.period):
                return None
        return len(rows)

    async def _delete_batch(self, batch: Row, period: int) -> bool:
        """Delete a batch's marker together with its expired records.

        A record that was claimed again, after its first request was not run, belongs
        to a later batch and stays.
        """
        keys = decode_json(batch.value, list[str])
        if keys is None:
            log.warning("runs: %s is no marker, left in place", batch.key)
            return True
        self._observe(SweepStep.BATCH_DELETING)
        expected = {batch.key: batch.version}
        for key in keys:
            row = await self._table.get(key)
            if isinstance(row, Unavailable):
                return False
            if isinstance(row, Row) and _is_old(row, period):
                expected[key] = row.version
        result = await self._table.commit(
            expected=expected, puts={}, deletes=tuple(expected)
        )
        return isinstance(result, Committed)

    async def _read_cursor(self) -> Cursor | None:
        row = await self._table.get(_CURSOR_KEY)
        if isinstance(row, Unavailable):
            return None
        if isinstance(row, Missing):
            return Cursor()
        period, shard = msgspec.json.decode(row.value, type=tuple[int, int])
        return Cursor(period, shard, row.version)

    async def _advance_cursor(self, cursor: Cursor) -> bool:
        self._observe(SweepStep.CURSOR_MOVING)
        result = await self._table.commit(
            expected={_CURSOR_KEY: cursor.version},
            puts={_CURSOR_KEY: msgspec.json.encode(cursor.next())},
        )
        return isinstance(result, Committed)


def _is_old(row: Row, period: int) -> bool:
    """Return whether a record belongs to ``period`` or an earlier one.

    A marker lists the rows of its batch. A row that cannot be decoded as a record is
    not deleted, since that could be a mistake.
    """
    try:
        return msgspec.json.decode(row.value, type=Record).period <= period
    except DECODE_ERRORS:
        log.warning("runs: %s is no record, left in place", row.key)
        return False
