"""Writes of many requests in one transaction of the table service."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from fireflyward.backing import Committed, Conflict, Table, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.connections import within

from ._periods import PERIOD_KEY, Period, marker_key, period_of

_MAX_WRITES = 128
_MIN_INTERVAL_MS = 30
_MAX_LAZY_DELAY_MS = 500
_COMMIT_TIMEOUT_MS = 2_500
_MAX_RETRY_MS = 4_000


@dataclass(frozen=True, slots=True)
class Written:
    """The row is written and has this version now."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionMismatch:
    """Nothing was written: the row has another version than was expected."""


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The table did not take the write, and no earlier try can still land."""

    detail: str


@dataclass(frozen=True, slots=True)
class MaybeWritten:
    """The answer was lost; the write may have taken effect, or may do so later."""

    detail: str


Encode = Callable[[int], bytes]
WriteResult = Written | VersionMismatch | NotWritten | MaybeWritten


@dataclass(eq=False, slots=True)
class Write:
    """One row to be written if it has ``expected`` as its version.

    ``encode`` gives the row's value for the retention period that it is written in;
    ``due_ms`` is until when the write may wait for others to go with.
    """

    key: str
    expected: int
    encode: Encode
    due_ms: int
    done: "asyncio.Future[WriteResult]"


@dataclass(eq=False, slots=True)
class Batch:
    """Writes that go into one transaction.

    ``marker`` is a row that only this batch writes. It lists the batch's keys for
    the sweep, and it is what a second try meets when the first had landed: either
    every write of the batch took effect or none.
    """

    marker: str
    writes: list[Write]
    started_ms: int
    may_have_committed: bool = False


class WriteQueue:
    """Decides which writes go together and when.

    One transaction is under way at a time and ``min_interval_ms`` lies between the starts
    of two, so that a node's share of the table's writes is bounded whatever its
    traffic; a write that comes alone after a pause goes at once.
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
        """Return how long the next transaction has to wait."""
        first_due_ms = min((write.due_ms for write in self._queued), default=now_ms)
        return max(
            0,
            self._last_start_ms + self._min_interval_ms - now_ms,
            first_due_ms - now_ms,
        )

    def take_batch(self, now_ms: int) -> list[Write]:
        """Return the next transaction's writes, each of another row."""
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
    """Owns the transactions of one node's records.

    Each is conditional on the retention period that its marker names, so that no
    record can be filed under a period that the sweep has left behind.
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
        """Write one row together with others; give the result of this row.

        A lazy write waits up to ``_MAX_LAZY_DELAY_MS`` for one that is not, so that the end
        of a request usually costs no transaction of its own.
        """
        done: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        due_ms = self.clock.now_ms() + (_MAX_LAZY_DELAY_MS if is_lazy else 0)
        self.queue.add(Write(key, expected, encode, due_ms, done))
        self._write_added.set()
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._flush())
        return await asyncio.shield(done)

    def stop(self) -> None:
        """Stop writing at once."""
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
                await self._commit(Batch(self._next_marker(), writes, now_ms))

    async def _wait(self, limit_ms: int) -> None:
        """Wait for the time of the next transaction, or for another write."""
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
                if self.clock.now_ms() - batch.started_ms >= _MAX_RETRY_MS:
                    _resolve_all(batch, MaybeWritten(result.detail))
                else:
                    await self.clock.sleep_ms(self.queue.wait_ms(self.clock.now_ms()))

    async def _on_conflict(
        self, batch: Batch, version_by_key: Mapping[str, int]
    ) -> None:
        """Take out what moved; the rest is tried again under the same marker.

        The marker stays the same so that an earlier try which is still on its way
        cannot land beside a later one.
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
            _resolve_all(batch, MaybeWritten("its conflict could not be settled"))

    async def _move_to_current_period(self, batch: Batch) -> None:
        """File a batch under the current period.

        Filed under one that the sweep has passed, its records would never be
        deleted. An earlier try cannot land any more: it names the old period.
        """
        if not await self.read_period():
            _resolve_all(batch, NotWritten("the retention period is not known"))
            return
        batch.marker = self._next_marker()
        batch.may_have_committed = False

    async def read_period(self) -> bool:
        """Learn the current retention period; return whether the table told it."""
        row = await self.table.get(PERIOD_KEY)
        if isinstance(row, Unavailable):
            return False
        self.period = period_of(row)
        return True

    async def _try_commit(
        self, batch: Batch
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Commit a batch once, in bounded time."""
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
    """Take the moved rows out of a batch; return whether there were any."""
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
