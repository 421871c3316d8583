"""The task that keeps a copy of one table."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyward.backing import Position, Unavailable
from fireflyward.clock import Clock

from ._messages import Changes, HistoryLost, Pace, Snapshot, TableRow
from ._seen_rows import SeenRows

log = logging.getLogger("fireflyward.feeds")

# The longest that a call may take beyond its wait. The store answers in a few ms;
# one that is fifty times slower still makes it.
_CALL_OVERHEAD_LIMIT_MS = 700
# Pauses after failures: short first, because most are one lost connection, and
# then so long that a hundred nodes stay within the store's rates.
_FIRST_PAUSE_MS = 100
_LONGEST_PAUSE_MS = 800


def proven_ms(result: Changes, asked_ms: int, answered_ms: int, wait_ms: int) -> int:
    """Return the moment for which an answer to a waiting call is proof.

    >>> proven_ms(Changes((), Position(0, 5)), 1_000, 3_200, 1_900)
    2900
    """
    if result.as_of_ms is not None:
        return result.as_of_ms
    if result.rows:
        return asked_ms
    # Without a change the store answers only when the wait is over.
    return asked_ms + min(answered_ms - asked_ms, wait_ms)


class TableReader(Protocol):
    """What a follower needs of the store."""

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable: ...

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable: ...


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """News of a table, ``as_of_ms`` of this node's clock.

    With ``is_snapshot`` the rows are all there are, and whatever else was known is
    gone; otherwise they are changes. ``unavailable_ms`` is how long the store had not
    answered before this, ``position`` the table's own.

    ``is_new_era`` tells that the store came back from an older copy, and this is the
    first whole table of it: what was known and is not there has been lost by the store,
    and whoever wrote it writes it again.
    """

    rows: tuple[TableRow, ...]
    is_snapshot: bool
    as_of_ms: int
    unavailable_ms: int = 0
    position: Position = Position(0, 0)
    is_new_era: bool = False


class FeedFollower:
    """Reads a table once and then follows it; ``on_update`` hears all of it.

    Each answer proves how the table stood when the call was sent, which is the
    age that callers of ``as_of_ms`` may rely on: an answer that was held up on the
    way proves nothing about the time since.

    A position of an earlier era is none to read on from, even where the store has given
    out its version again, so in each new era the table is read anew.
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
        self._table = table
        self._reader = reader
        self._clock = clock
        self._on_news = on_update
        self._pace = pace
        self._position = Position(0, -1)
        self._has_read = False
        self._seen = SeenRows()
        self._needs_whole = True
        self._failures = 0
        self._failure = ""
        self._is_to_be_read_anew = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self.step()
            if self.pause_ms:
                await self._clock.sleep_ms(self.pause_ms)

    @property
    def pause_ms(self) -> int:
        """Return the pause before the next call."""
        if self._is_to_be_read_anew:
            return 0
        if self._failures:
            return min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS << min(self._failures, 4))
        return self._pace().pause_ms

    async def step(self) -> bool:
        """Make one call; return whether the store answered it."""
        self._is_to_be_read_anew = False
        sent_ms = self._clock.now_ms()
        # After a failure the age of what is known matters most: do not wait.
        wait_ms = 0 if self._failures else self._pace().wait_ms
        result = await self._call(wait_ms)
        if isinstance(result, Unavailable):
            return self._failed(result)
        if isinstance(result, HistoryLost):
            log.info("feeds: %s lost its history after %s", self._table, self._position)
            return self._read_anew()
        if result.position < self._position:
            # A copy of the store that lags: taking it would bring back what has
            # been replaced already.
            return self._failed(Unavailable("older than what was read before"))
        era = result.position.era
        if isinstance(result, Changes) and era != self._position.era:
            log.info("feeds: %s is read anew in era %d", self._table, era)
            return self._read_anew()
        self._take(result, self._proven_ms(result, sent_ms, wait_ms))
        return True

    async def _call(
        self, wait_ms: int
    ) -> Snapshot | Changes | HistoryLost | Unavailable:
        if self._needs_whole:
            return await self._reader.rows(self._table)
        return await self._reader.changes(
            self._table,
            after=self._position,
            wait_ms=wait_ms,
            limit_ms=_CALL_OVERHEAD_LIMIT_MS,
        )

    def _proven_ms(self, result: Snapshot | Changes, sent_ms: int, wait_ms: int) -> int:
        """Return the moment for which an answer proves how the table stood."""
        if isinstance(result, Snapshot):
            return sent_ms if result.as_of_ms is None else result.as_of_ms
        return proven_ms(result, sent_ms, self._clock.now_ms(), wait_ms)

    def _take(self, result: Snapshot | Changes, as_of_ms: int) -> None:
        unavailable_ms = 0 if self.as_of_ms is None else as_of_ms - self.as_of_ms
        if self._failures:
            log.info("feeds: %s is back after %d ms", self._table, unavailable_ms)
        is_snapshot = isinstance(result, Snapshot)
        rows = self._seen.marked(result.rows) if is_snapshot else result.rows
        if not is_snapshot:
            self._seen.note(rows)
        news = TableUpdate(
            rows,
            is_snapshot,
            as_of_ms,
            unavailable_ms if self._failures else 0,
            result.position,
            is_new_era=self._has_read and self._position.era < result.position.era,
        )
        if news.is_new_era:
            self._log_new_era(news)
        self._failures = 0
        self._needs_whole = False
        self._position = result.position
        self._has_read = True
        self.as_of_ms = as_of_ms
        self._on_news(news)

    def _log_new_era(self, news: TableUpdate) -> None:
        log.info(
            "feeds: %s read at %s: %d rows, %d of them as in an earlier era",
            self._table,
            news.position,
            len(news.rows),
            sum(row.is_restored for row in news.rows),
        )

    def _read_anew(self) -> bool:
        self._needs_whole = True
        self._is_to_be_read_anew = True
        return True

    def _failed(self, result: Unavailable) -> bool:
        if not self._failures or result.detail != self._failure:
            log.warning("feeds: %s is away: %s", self._table, result.detail)
        self._failure = result.detail
        self._failures += 1
        return False
