"""Many nodes read tables through the aggregator of their failure domain."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from fireflyward.aggregators import Aggregators
from fireflyward.backing import Unavailable
from fireflyward.clock import Clock, within_ms
from fireflyward.peers import CallFailed, PeerLink

from ._copy import TableCopy
from ._feeds_structs import FeedAnswer, FeedAsk, FeedRow
from ._follower import Followed, TableReader, proven_ms
from ._messages import Changes, HistoryLost, Snapshot, TableRow

log = logging.getLogger("fireflyward.feeds")


_KIND = "feed"
_CHANGES, _LOST, _UNABLE = "changes", "history lost", "unable"
# An aggregator whose own copy is older than this is asked no more: it may be cut off
# from the store while others are not. It reads each table at least once a second.
_OLD_MS = 2_000
# The way to a neighbour and back with one lost packet.
_SLACK_MS = 400
# An aggregator that failed is not asked for as long as its successor needs to be
# named and to have read the tables.
_DISTRUST_MS = 2_500
_MS_PER_SECOND = 1_000


class SharedTables:
    """Reads tables from the aggregator, and from the store where that fails.

    The store's calls grow with the nodes that follow it. With this, two for each
    failure domain follow each table and the others ask them, as they would ask the
    store: an answer proves how the table stood at a moment, and one that is held up
    or comes from a node that was paused proves nothing later than that.
    """

    def __init__(
        self, reader: TableReader, *, clock: Clock, aggregators: Aggregators
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._aggregators = aggregators
        self._link: PeerLink | None = None
        self._copy_by_table: dict[str, TableCopy] = {}
        self._changed_by_table: dict[str, asyncio.Event] = {}
        self._distrusted_until_ms = 0

    def use(self, link: PeerLink) -> None:
        """Ask and answer over a link from now on."""
        self._link = link
        link.register(_KIND, FeedAsk, self._answer)

    def kept(
        self, table: str, on_news: Callable[[Followed], None]
    ) -> Callable[[Followed], None]:
        """Return a listener that keeps news for others before it passes them on."""
        copy = self._copy_by_table[table] = TableCopy()
        self._changed_by_table[table] = asyncio.Event()

        def take(news: Followed) -> None:
            copy.take(news)
            if news.rows:
                self._changed_by_table[table].set()
                self._changed_by_table[table] = asyncio.Event()
            on_news(news)

        return take

    @property
    def is_for_others(self) -> bool:
        """Tell whether other nodes read tables through this one."""
        return (
            self._aggregators.are_needed
            and self._aggregators.own(self._clock.now_ms()) is None
        )

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable:
        """Read a whole table from the store."""
        return await self._reader.rows(table, part=part, limit_ms=limit_ms)

    async def changes(
        self, table: str, *, after: int, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes at the aggregator, or at the store."""
        found = await self._ask(table, after, wait_ms)
        if found is not None:
            return found
        asked_ms = self._clock.now_ms()
        result = await self._reader.changes(
            table, after=after, wait_ms=wait_ms, limit_ms=limit_ms
        )
        if not isinstance(result, Changes):
            return result
        # Counted from when the follower asked, before the aggregator was tried, the
        # answer would look older than it is by as long as that took.
        as_of_ms = proven_ms(result, asked_ms, self._clock.now_ms(), wait_ms)
        return Changes(result.rows, result.version, as_of_ms)

    async def _ask(
        self, table: str, after: int, wait_ms: int
    ) -> Changes | HistoryLost | None:
        """Return what the aggregator says, None where the store is to be asked."""
        now_ms = self._clock.now_ms()
        if self._link is None or now_ms < self._distrusted_until_ms:
            return None
        if not self._aggregators.are_needed:
            return None
        aggregator = self._aggregators.own(now_ms)
        if aggregator is None:
            return None
        answer = await self._link.call(
            aggregator.address,
            _KIND,
            FeedAsk(table=table, after=after, wait_ms=wait_ms),
            FeedAnswer,
            limit_s=(wait_ms + _SLACK_MS) / _MS_PER_SECOND,
        )
        problem = _problem(answer)
        if problem:
            log.info("feeds: %s not from %s: %s", table, aggregator.name, problem)
            self._distrusted_until_ms = self._clock.now_ms() + _DISTRUST_MS
            return None
        if answer.outcome == _LOST:
            return HistoryLost()
        # The answer was made `waited_ms` after the question at the earliest.
        as_of_ms = now_ms + answer.waited_ms - answer.age_ms
        rows = tuple(
            TableRow(row.row_key, row.row_value, row.version, row.is_deleted)
            for row in answer.rows
        )
        return Changes(rows, answer.version, as_of_ms=as_of_ms)

    async def _answer(self, sender: str, ask: Any) -> Any:
        """Answer another node's question from this one's copy."""
        copy = self._copy_by_table.get(ask.table)
        asked_ms = self._clock.now_ms()
        if copy is None or copy.version is None or self._is_old(copy):
            return _answer(_UNABLE)
        if copy.after(ask.after) == ():
            changed = self._changed_by_table[ask.table]
            await within_ms(self._clock, ask.wait_ms, changed.wait())
        if self._is_old(copy):
            return _answer(_UNABLE)
        rows = copy.after(ask.after)
        if isinstance(rows, HistoryLost):
            return _answer(_LOST)
        now_ms = self._clock.now_ms()
        return _answer(
            _CHANGES,
            version=max(copy.version, ask.after),
            rows=rows,
            age_ms=now_ms - copy.as_of_ms,
            waited_ms=now_ms - asked_ms,
        )

    def _is_old(self, copy: TableCopy) -> bool:
        return self._clock.now_ms() - copy.as_of_ms > _OLD_MS


def _answer(
    outcome: str,
    *,
    version: int = 0,
    rows: tuple[TableRow, ...] = (),
    age_ms: int = 0,
    waited_ms: int = 0,
) -> Any:
    told = [
        FeedRow(
            row_key=row.key,
            row_value=row.value,
            version=row.version,
            is_deleted=row.is_deleted,
        )
        for row in rows
    ]
    return FeedAnswer(
        outcome=outcome, version=version, rows=told, age_ms=age_ms, waited_ms=waited_ms
    )


def _problem(answer: Any) -> str:
    """Say why the store is to be asked, nothing if the answer is of use."""
    if isinstance(answer, CallFailed):
        return answer.detail
    return "its own copy is old" if answer.outcome == _UNABLE else ""
