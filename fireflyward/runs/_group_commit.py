"""Combines writes of many requests into one transaction of the table service."""

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from fireflyward.backing import Committed, Conflict, Table, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.connections import within

from ._periods import PERIOD_KEY, Period, marker_key, period_of

log = logging.getLogger("fireflyward.runs")

_MAX_WRITES = 128
_MIN_INTERVAL_MS = 30
_MAX_LAZY_DELAY_MS = 500
_COMMIT_TIMEOUT_MS = 2_500
_RETRY_TIMEOUT_MS = 4_000


@dataclass(frozen=True, slots=True)
class Written:
    """The row was written and now has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionMismatch:
    """Nothing was written: the row does not have the expected version."""


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Nothing was written, and no earlier attempt can still take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class MaybeWritten:
    """The response was lost; the write may have taken effect or may still do so."""

    detail: str


Encode = Callable[[int], bytes]
WriteResult = Written | VersionMismatch | NotWritten | MaybeWritten


@dataclass(eq=False, slots=True)
class Write:
    """One row to be written if its version is ``expected``.

    ``encode`` returns the row's value for the retention period in which it is
    written. Until ``due_ms`` the write may wait to be combined with other writes.
    """

    key: str
    expected: int
    encode: Encode
    due_ms: int
    done: "asyncio.Future[WriteResult]"


@dataclass(eq=False, slots=True)
class Batch:
    """Writes that are committed in one transaction.

    ``marker`` is a row that only this batch writes. It lists the batch's keys for
    the sweep. If a repeated commit finds the marker present, the first commit took
    effect, and with it every write of the batch, since a transaction is atomic.
    """

    marker: str
    writes: list[Write]
    started_ms: int
    may_have_committed: bool = False


class WriteQueue:
    """Decides which writes are committed together and when.

    Only one transaction is in flight at a time, and at least ``min_interval_ms`` pass
    between the starts of two, which limits the node's share of the table's writes
    independently of its traffic. A single write after an idle period is committed
    immediately.
    """

    __slots__ = ("_min_interval_ms", "_last_start_ms", "_max_writes", "_queued")

    def __init__(
        self, *, min_interval_ms: int = _MIN_INTERVAL_MS, max_writes: int = _MAX_WRITES
    ) -> None:
        self._min_interval_ms = min_interval_ms
        self._last_start_ms = -min_interval_ms
        self._max_writes = max_writes
        self._queued: deque[Write] = deque()

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, write: Write) -> None:
        """Queue a write."""
        self._queued.append(write)

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the next transaction may start."""
        first_due_ms = min((write.due_ms for write in self._queued), default=now_ms)
        return max(
            0,
            self._last_start_ms + self._min_interval_ms - now_ms,
            first_due_ms - now_ms,
        )

    def take_batch(self, now_ms: int) -> list[Write]:
        """Remove and return the next transaction's writes, at most one for each row."""
        self._last_start_ms = now_ms
        taken: dict[str, Write] = {}
        remaining: deque[Write] = deque()
        for write in self._queued:
            if write.done.done():
                continue
            if write.key in taken or len(taken) == self._max_writes:
                remaining.append(write)
            else:
                taken[write.key] = write
        self._queued = remaining
        return list(taken.values())


@dataclass(slots=True)
class GroupCommit:
    """Owns the transactions that write one node's records.

    Each transaction is conditional on the retention period that its marker names, so
    that no record can be stored under a period that the sweep has already passed.
    ``writer_name`` must be unique among all instances of all nodes, since a marker that
    is already present counts as written by this instance.
    """

    table: Table
    clock: Clock
    writer_name: str
    period: Period = field(default_factory=Period)
    queue: WriteQueue = field(default_factory=WriteQueue)
    commits: int = 0
    _batch_numbers: "itertools.count[int]" = field(default_factory=itertools.count)
    _task: "asyncio.Task[None] | None" = None
    _write_added: asyncio.Event = field(default_factory=asyncio.Event)

    async def write(
        self, key: str, expected: int, encode: Encode, *, is_lazy: bool = False
    ) -> WriteResult:
        """Write one row together with others; return the result for this row.

        A lazy write waits up to ``_MAX_LAZY_DELAY_MS`` for a write that is not lazy,
        so that settling a request usually needs no transaction of its own.
        """
        done: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        due_ms = self.clock.now_ms() + (_MAX_LAZY_DELAY_MS if is_lazy else 0)
        self.queue.add(Write(key, expected, encode, due_ms, done))
        self._write_added.set()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._flush())
        return await asyncio.shield(done)

    def stop(self) -> None:
        """Stop writing immediately."""
        if self._task:
            self._task.cancel()

    async def _flush(self) -> None:
        while len(self.queue):
            now_ms = self.clock.now_ms()
            wait_ms = self.queue.wait_ms(now_ms)
            if wait_ms:
                await self._wait(wait_ms)
                continue
            writes = self.queue.take_batch(now_ms)
            if writes:
                await self._commit_or_resolve(
                    Batch(self._next_marker(), writes, now_ms)
                )

    async def _commit_or_resolve(self, batch: Batch) -> None:
        """Commit a batch; if that raises, nobody waits for its writes any more."""
        try:
            await self._commit(batch)
        except Exception as error:
            log.exception("runs: a transaction of %d writes failed", len(batch.writes))
            _resolve_all(batch, MaybeWritten(f"{type(error).__name__}: {error}"))

    async def _wait(self, limit_ms: int) -> None:
        """Wait for ``limit_ms`` or until another write is added."""
        self._write_added.clear()
        try:
            await within(self.clock, limit_ms, self._write_added.wait())
        except TimeoutError:
            return

    def _next_marker(self) -> str:
        number = next(self._batch_numbers)
        return marker_key(self.period.number, f"{self.writer_name}-{number}")

    async def _commit(self, batch: Batch) -> None:
        while batch.writes:
            result = await self._try_commit(batch)
            if isinstance(result, Committed):
                _finish(batch, result.version_by_key)
            elif isinstance(result, Conflict):
                await self._on_conflict(batch, result.version_by_key)
            elif isinstance(result, Unavailable) and not batch.may_have_committed:
                _resolve_all(batch, NotWritten(result.detail))
            else:
                batch.may_have_committed |= not isinstance(result, Unavailable)
                if self.clock.now_ms() - batch.started_ms >= _RETRY_TIMEOUT_MS:
                    _resolve_all(batch, MaybeWritten(result.detail))
                else:
                    await self.clock.sleep_ms(self.queue.wait_ms(self.clock.now_ms()))

    async def _on_conflict(
        self, batch: Batch, version_by_key: Mapping[str, int]
    ) -> None:
        """Remove writes with a version mismatch; retry the rest with the same marker.

        The marker stays the same so that an earlier attempt that is still in flight
        cannot take effect in addition to a later one.
        """
        if version_by_key.get(batch.marker, 0):
            _finish(batch, {})
            return
        found_version = version_by_key.get(PERIOD_KEY, self.period.version)
        is_old_period = found_version != self.period.version
        had_mismatch = _drop_mismatched(batch, version_by_key)
        if is_old_period:
            await self._move_to_current_period(batch)
        elif not had_mismatch:
            _resolve_all(batch, MaybeWritten("the cause of its conflict is unclear"))

    async def _move_to_current_period(self, batch: Batch) -> None:
        """Assign a batch to the current period.

        Under a period that the sweep has passed, its records would never be deleted.
        Earlier attempts can no longer take effect, because they require the old
        period.
        """
        if not await self.read_period():
            _resolve_all(batch, NotWritten("the retention period could not be read"))
            return
        batch.marker = self._next_marker()
        batch.may_have_committed = False

    async def read_period(self) -> bool:
        """Read the current retention period; return whether the table was available."""
        row = await self.table.get(PERIOD_KEY)
        if isinstance(row, Unavailable):
            return False
        self.period = period_of(row)
        return True

    async def _try_commit(
        self, batch: Batch
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Commit a batch a single time, with a timeout."""
        self.commits += 1
        period = self.period
        expected = {write.key: write.expected for write in batch.writes}
        puts = {write.key: write.encode(period.number) for write in batch.writes}
        puts[batch.marker] = msgspec.json.encode([*puts])
        expected[batch.marker] = 0
        expected[PERIOD_KEY] = period.version
        work = self.table.commit(expected=expected, puts=puts)
        try:
            return await within(self.clock, _COMMIT_TIMEOUT_MS, work)
        except TimeoutError as error:
            return Uncertain(str(error))


def _finish(batch: Batch, version_by_key: Mapping[str, int]) -> None:
    for write in batch.writes:
        version = version_by_key.get(write.key, write.expected + 1)
        _resolve(write, Written(version))
    batch.writes = []


def _drop_mismatched(batch: Batch, version_by_key: Mapping[str, int]) -> bool:
    """Remove rows with a version mismatch from a batch; return whether any existed."""
    mismatched = {
        write.key
        for write in batch.writes
        if version_by_key.get(write.key, write.expected) != write.expected
    }
    for write in batch.writes:
        if write.key in mismatched:
            _resolve(write, VersionMismatch())
    batch.writes = [write for write in batch.writes if write.key not in mismatched]
    return bool(mismatched)


def _resolve_all(batch: Batch, result: WriteResult) -> None:
    for write in batch.writes:
        _resolve(write, result)
    batch.writes = []


def _resolve(write: Write, result: WriteResult) -> None:
    if not write.done.done():
        write.done.set_result(result)
