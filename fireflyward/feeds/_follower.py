"""The task that follows one table."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyward.backing import Position, Unavailable
from fireflyward.clock import Clock

from ._call_limit import CallLimit
from ._messages import STORE, Changes, HistoryLost, Pace, Snapshot, TableRow
from ._restored_rows import RestoredRowDetector

log = logging.getLogger("fireflyward.feeds")

# Pauses after failures are short at first, because most failures are a single lost
# connection. They grow until a hundred nodes stay within the store's call rate.
_RETRY_PAUSE_BASE_MS = 100
_MAX_RETRY_PAUSE_MS = 800


def valid_as_of_ms(
    result: Changes, sent_ms: int, received_ms: int, wait_ms: int
) -> int:
    """Return the latest time for which an answer confirms the table's state.

    ``result`` answers a call that was sent at ``sent_ms`` and waited for changes.

    >>> valid_as_of_ms(Changes((), Position(0, 5)), 1_000, 3_200, 1_900)
    2900
    """
    if result.as_of_ms is not None:
        return result.as_of_ms
    if result.rows:
        return sent_ms
    # If nothing changed, the store answers only when its wait time ends.
    return sent_ms + min(received_ms - sent_ms, wait_ms)


class TableReader(Protocol):
    """The calls that a follower makes to the store or another node."""

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable: ...

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable: ...


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """The result of one read of a table, valid ``as_of_ms`` by this node's clock.

    With ``is_snapshot`` the rows are the full table, and a cached row that is not among
    them was deleted; otherwise the rows are changes. ``unavailable_ms`` is for how
    long at most the store accepted no calls before this read, and ``failed_calls`` how
    many calls failed in this time. ``position`` is the position of the table.

    ``is_new_era`` says that the store was restored from an older snapshot and that this
    is the first full read since then. A cached row that is not among the rows was lost
    by the store, and its writer writes it again. ``source`` has the same meaning as in
    ``Changes``.
    """

    rows: tuple[TableRow, ...]
    is_snapshot: bool
    as_of_ms: int
    unavailable_ms: int = 0
    position: Position = Position(0, 0)
    is_new_era: bool = False
    source: str = STORE
    failed_calls: int = 0


class FeedFollower:
    """Reads a table once, then its changes, and calls ``on_update`` with each result.

    ``as_of_ms`` is the latest time for which an answer confirms the table's state. It
    counts from when a call was sent: an answer that was delayed on the way does not
    include the changes in the meantime.

    The follower never continues from a position of an earlier era, because the store
    may have assigned the same version again. In each new era it reads the full table.
    """

    def __init__(
        self,
        table: str,
        *,
        reader: TableReader,
        clock: Clock,
        on_update: Callable[[TableUpdate], None],
        pace: Callable[[], Pace],
    ) -> None:
        self.as_of_ms: int | None = None
        self.table = table
        self._reader = reader
        self._clock = clock
        self._on_update = on_update
        self._pace = pace
        self._position = Position(0, -1)
        self._has_read = False
        self._accepted_ms = 0
        self._restored_rows = RestoredRowDetector()
        self._needs_full_read = True
        self._call_limit = CallLimit()
        self._failures = 0
        self._failure = ""
        self._skips_pause = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self.step()
            if self.pause_ms:
                await self._clock.sleep_ms(self.pause_ms)

    @property
    def pause_ms(self) -> int:
        """Return the pause before the next call, in ms."""
        if self._skips_pause:
            return 0
        if self._failures:
            doublings = min(self._failures - 1, 4)
            return min(_MAX_RETRY_PAUSE_MS, _RETRY_PAUSE_BASE_MS << doublings)
        return self._pace().pause_ms

    async def step(self) -> bool:
        """Make one call; return whether the store answered it."""
        self._skips_pause = False
        sent_ms = self._clock.now_ms()
        # After a failure the call does not wait for changes, because an immediate
        # answer confirms the current state sooner.
        wait_ms = 0 if self._failures else self._pace().wait_ms
        result = await self._call(wait_ms)
        if isinstance(result, Unavailable):
            return self._record_failure(result)
        if isinstance(result, Changes):
            elapsed_ms = self._clock.now_ms() - sent_ms
            self._call_limit.on_answer(max(0, elapsed_ms - wait_ms))
        if isinstance(result, HistoryLost):
            log.info("feeds: %s lost its history after %s", self.table, self._position)
            return self._request_full_read()
        if result.position < self._position:
            # A store replica that lags behind sent this answer. Applying it would bring
            # back rows that have already been replaced.
            return self._record_failure(
                Unavailable("its answer is older than the last read")
            )
        era = result.position.era
        if isinstance(result, Changes) and era != self._position.era:
            log.info("feeds: full read of %s in new era %d", self.table, era)
            return self._request_full_read()
        as_of_ms = self._valid_as_of_ms(result, sent_ms, wait_ms)
        # A call that waits may still be answered while the store accepts no other.
        is_direct = result.source == STORE
        self._apply(result, as_of_ms, sent_ms if is_direct else as_of_ms - wait_ms)
        return True

    async def _call(
        self, wait_ms: int
    ) -> Snapshot | Changes | HistoryLost | Unavailable:
        if self._needs_full_read:
            return await self._reader.rows(self.table)
        return await self._reader.changes(
            self.table,
            after=self._position,
            wait_ms=wait_ms,
            limit_ms=self._call_limit.overhead_ms(failures=self._failures),
        )

    def _valid_as_of_ms(
        self, result: Snapshot | Changes, sent_ms: int, wait_ms: int
    ) -> int:
        """Return the latest time for which a result confirms the table's state."""
        if isinstance(result, Snapshot):
            return sent_ms if result.as_of_ms is None else result.as_of_ms
        return valid_as_of_ms(result, sent_ms, self._clock.now_ms(), wait_ms)

    def _apply(
        self, result: Snapshot | Changes, as_of_ms: int, accepted_ms: int
    ) -> None:
        """Apply a result; the store accepted a call at ``accepted_ms`` or later."""
        unavailable_ms = 0
        if self._has_read:
            unavailable_ms = self._clock.now_ms() - self._accepted_ms
        if self._failures:
            log.info(
                "feeds: %s is back after %d ms, %d failed calls, read from %s",
                self.table,
                unavailable_ms,
                self._failures,
                result.source,
            )
        is_snapshot = isinstance(result, Snapshot)
        rows = self._restored_rows.mark(result.rows) if is_snapshot else result.rows
        if not is_snapshot:
            self._restored_rows.record(rows)
        update = TableUpdate(
            rows,
            is_snapshot,
            as_of_ms,
            unavailable_ms if self._failures else 0,
            result.position,
            is_new_era=self._has_read and self._position.era < result.position.era,
            source=result.source,
            failed_calls=self._failures,
        )
        if update.is_new_era:
            self._log_new_era(update)
        # If the listener fails, the rows of this update may be applied in part. They
        # are read again in full, as if this result had not arrived.
        self._needs_full_read = True
        self._on_update(update)
        self._needs_full_read = False
        self._failures = 0
        self._position = result.position
        self._has_read = True
        self._accepted_ms = max(self._accepted_ms, accepted_ms)
        self.as_of_ms = as_of_ms

    def _log_new_era(self, update: TableUpdate) -> None:
        log.info(
            "feeds: %s read at %s: %d rows, %d of them as in an earlier era",
            self.table,
            update.position,
            len(update.rows),
            sum(row.is_restored for row in update.rows),
        )

    def _request_full_read(self) -> bool:
        self._needs_full_read = True
        self._skips_pause = True
        return True

    def _record_failure(self, result: Unavailable) -> bool:
        if not self._failures or result.detail != self._failure:
            log.warning("feeds: %s is away: %s", self.table, result.detail)
        self._failure = result.detail
        self._failures += 1
        return False
