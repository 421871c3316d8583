"""Many nodes read tables through the aggregator of their failure domain."""

import asyncio
import logging
import random
from asyncio import FIRST_COMPLETED
from collections.abc import Callable
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.backing import Position, Unavailable
from fireflyward.clock import Clock, within_ms
from fireflyward.peers import Address, CallFailed, PeerLink

from ._copy import TableCopy
from ._feeds_structs import FeedAnswer, FeedAsk, FeedRow
from ._follower import Followed, TableReader, proven_ms
from ._messages import Changes, HistoryLost, Snapshot, TableRow

log = logging.getLogger("fireflyward.feeds")


_KIND = "feed"
_CHANGES, _WHOLE = "changes", "whole"
_LOST, _UNABLE = "history lost", "unable"
# Asks for the whole table. Nodes that start together ask each other before they have
# read anything; whoever is asked then answers as soon as it has.
_WHOLE_TABLE = -1
# Asks for the rows of earlier eras alone, which the store has not again.
_LOST_ROWS = -2
_NOWHERE = Position(0, 0)
_FIRST_READING_MS = 800
# A node that starts reads a table itself if its aggregator has not answered by then.
_PATIENCE_MS = 150
# An aggregator whose own copy is older than this is asked no more: it may be cut off
# from the store while others are not. The root proves each table every 0.7 s, and an
# aggregator that reads through the root has that proof 0.7 s later at the most.
_OLD_AT_ROOT_MS = 1_300
_OLD_MS = 2_000
# The way to a neighbour and back with one lost packet.
_SLACK_MS = 400
# An aggregator that failed is not asked for as long as its successor needs to be
# named and to have read the tables.
_DISTRUST_MS = 2_500
# One where nothing listens yet has just started: before the first key is drawn nodes
# are listed and cannot open their links. They do so within half a second.
_NOT_YET_MS = 500
# Other nodes that are asked what they know of before a drill; each may have started or
# been cut off itself.
_MOST_ASKED = 3
_MS_PER_SECOND = 1_000


class SharedTables:
    """Reads tables from the aggregator, and from the store where that fails.

    The store's calls grow with the nodes that follow it. With this, one node of all,
    the root, follows each table. The other failure domains' aggregators ask it, and
    their neighbours ask them, as they would ask the store: an answer proves how the
    table stood at a moment, and one that is held up or comes from a node that was
    paused proves nothing later than that. Whoever gets no such answer asks the store
    itself, so that a domain that is cut off from the others goes on by it.

    ``era`` tells the latest era of the store that this node has seen: of an earlier one
    it takes nothing from others.
    """

    def __init__(
        self,
        reader: TableReader,
        *,
        clock: Clock,
        aggregators: Aggregators,
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._reader = reader
        self._era = era
        self._clock = clock
        self._aggregators = aggregators
        self._link: PeerLink | None = None
        self._copy_by_table: dict[str, TableCopy] = {}
        self._changed_by_table: dict[str, asyncio.Event] = {}
        self._old_ms_by_table: dict[str, int] = {}
        self._distrusted_until_ms = 0

    def use(self, link: PeerLink) -> None:
        """Ask and answer over a link from now on."""
        self._link = link
        link.register(_KIND, FeedAsk, self._answer)

    def kept(
        self,
        table: str,
        on_news: Callable[[Followed], None],
        *,
        old_ms: int | None = None,
        carries: bool = False,
    ) -> Callable[[Followed], None]:
        """Return a listener that keeps news for others before it passes them on.

        ``old_ms`` is for a table of which others may know older news than of most, and
        ``carries`` for one whose rows hold through an older copy of the store.
        """
        copy = self._copy_by_table[table] = TableCopy(carries=carries)
        if old_ms is not None:
            self._old_ms_by_table[table] = old_ms
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
        """Read a whole table from the aggregator, or from the store.

        Nothing is served before it is read. After a loss of power the way to an
        aggregator that is not back may be silent for a second, and an aggregator
        waits for the root in the same way; so whoever waits for long asks the store
        as well, and the first answer counts.
        """
        if part or self._asked(self._clock.now_ms()) is None:
            return await self._reader.rows(table, part=part, limit_ms=limit_ms)
        asking = asyncio.ensure_future(
            self._ask(table, self._whole_table(), _FIRST_READING_MS)
        )
        patience = asyncio.ensure_future(self._clock.sleep_ms(_PATIENCE_MS))
        reading = None
        try:
            await asyncio.wait({asking, patience}, return_when=FIRST_COMPLETED)
            if asking.done() and isinstance(asking.result(), Snapshot):
                return asking.result()
            reading = asyncio.ensure_future(
                self._reader.rows(table, part=part, limit_ms=limit_ms)
            )
            await asyncio.wait({asking, reading}, return_when=FIRST_COMPLETED)
            if asking.done() and isinstance(asking.result(), Snapshot):
                return asking.result()
            found = await reading
            if isinstance(found, Snapshot):
                return found
            asked = await asking
            return asked if isinstance(asked, Snapshot) else found
        finally:
            for task in (asking, patience, reading):
                if task is not None:
                    task.cancel()

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes at the aggregator, or at the store."""
        found = await self._ask(table, after, wait_ms)
        if isinstance(found, Changes | HistoryLost):
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
        return Changes(result.rows, result.position, as_of_ms)

    async def carried(self, table: str) -> list[Followed]:
        """Ask a few other nodes for rows of earlier eras that the store has not again.

        Each item is what one node knows, if it knows any.
        """
        others = self._aggregators.everyone()
        asked = random.sample(others, min(_MOST_ASKED, len(others)))
        lost = Position(self._era(), _LOST_ROWS)
        answers = await asyncio.gather(
            *(self._ask_at(address, table, lost, 0) for address in asked)
        )
        now_ms = self._clock.now_ms()
        return [
            _changes_of(answer, now_ms)
            for answer in answers
            if not _problem(answer) and answer.rows
        ]

    def _whole_table(self) -> Position:
        return Position(self._era(), _WHOLE_TABLE)

    async def _ask(
        self, table: str, after: Position, wait_ms: int
    ) -> Snapshot | Changes | HistoryLost | None:
        """Return what the aggregator says, None where the store is to be asked."""
        now_ms = self._clock.now_ms()
        aggregator = self._asked(now_ms)
        if self._link is None or aggregator is None:
            return None
        answer = await self._ask_at(aggregator.address, table, after, wait_ms)
        problem = _problem(answer)
        if problem:
            log.info("feeds: %s not from %s: %s", table, aggregator.name, problem)
            is_refused = isinstance(answer, CallFailed) and answer.is_refused
            distrust_ms = _NOT_YET_MS if is_refused else _DISTRUST_MS
            self._distrusted_until_ms = self._clock.now_ms() + distrust_ms
            return None
        if answer.outcome == _LOST:
            return HistoryLost()
        position = Position(answer.era, answer.version)
        rows = _rows_of(answer)
        # The answer was made `waited_ms` after the question at the earliest.
        as_of_ms = now_ms + answer.waited_ms - answer.age_ms
        if answer.outcome == _WHOLE:
            return Snapshot(rows, position, as_of_ms=as_of_ms)
        return Changes(rows, position, as_of_ms=as_of_ms)

    async def _ask_at(
        self, address: Address, table: str, after: Position, wait_ms: int
    ) -> FeedAnswer | CallFailed:
        if self._link is None:
            return CallFailed("no link yet")
        return await self._link.call(
            address,
            _KIND,
            FeedAsk(table=table, after=after.version, wait_ms=wait_ms, era=after.era),
            FeedAnswer,
            timeout_s=(wait_ms + _SLACK_MS) / _MS_PER_SECOND,
        )

    def _asked(self, now_ms: int) -> Member | None:
        """Return the node to ask, None where the store is to be asked."""
        if now_ms < self._distrusted_until_ms or not self._aggregators.are_needed:
            return None
        return self._aggregators.own(now_ms) or self._aggregators.root(now_ms)

    async def _answer(self, sender: str, ask: Any) -> Any:
        """Answer another node's question from this one's copy."""
        copy = self._copy_by_table.get(ask.table)
        if copy is None:
            return _answer(_UNABLE)
        asked_ms = self._clock.now_ms()
        after = Position(ask.era, ask.after)
        if not _is_answered(copy, after):
            changed = self._changed_by_table[ask.table]
            await within_ms(self._clock, ask.wait_ms, changed.wait())
        if copy.position is None or self._is_old(ask.table, copy):
            return _answer(_UNABLE)
        if copy.position.era < ask.era:
            # What this node reads is from before a drill that the other knows of.
            return _answer(_UNABLE)
        rows = _rows_asked_for(copy, after)
        if isinstance(rows, HistoryLost):
            return _answer(_LOST)
        now_ms = self._clock.now_ms()
        return _answer(
            _WHOLE if ask.after == _WHOLE_TABLE else _CHANGES,
            position=max(copy.position, after),
            rows=rows,
            age_ms=now_ms - copy.as_of_ms,
            waited_ms=now_ms - asked_ms,
        )

    def _is_old(self, table: str, copy: TableCopy) -> bool:
        now_ms = self._clock.now_ms()
        reads_store = self._aggregators.root(now_ms) is None
        old_ms = _OLD_AT_ROOT_MS if reads_store else _OLD_MS
        old_ms = self._old_ms_by_table.get(table, old_ms)
        return now_ms - copy.as_of_ms > old_ms


def _answer(
    outcome: str,
    *,
    position: Position = _NOWHERE,
    rows: tuple[TableRow, ...] = (),
    age_ms: int = 0,
    waited_ms: int = 0,
) -> Any:
    told = [
        FeedRow(
            row_key=row.key,
            row_value=row.value,
            version=row.position.version,
            is_deleted=row.is_deleted,
            era=row.position.era,
        )
        for row in rows
    ]
    return FeedAnswer(
        outcome=outcome,
        version=position.version,
        rows=told,
        age_ms=age_ms,
        waited_ms=waited_ms,
        era=position.era,
    )


def _rows_of(answer: Any) -> tuple[TableRow, ...]:
    return tuple(
        TableRow(
            row.row_key, row.row_value, Position(row.era, row.version), row.is_deleted
        )
        for row in answer.rows
    )


def _changes_of(answer: Any, now_ms: int) -> Followed:
    """Return an answer that came within the slack as changes of the table."""
    position = Position(answer.era, answer.version)
    as_of_ms = now_ms - answer.age_ms - _SLACK_MS
    return Followed(_rows_of(answer), False, as_of_ms, position=position)


def _is_answered(copy: TableCopy, after: Position) -> bool:
    """Tell whether a copy has what is asked for now."""
    if after.version in (_WHOLE_TABLE, _LOST_ROWS):
        return copy.position is not None
    return copy.after(after) != ()


def _rows_asked_for(
    copy: TableCopy, after: Position
) -> tuple[TableRow, ...] | HistoryLost:
    if after.version == _WHOLE_TABLE:
        return copy.whole()
    if after.version == _LOST_ROWS:
        return copy.of_earlier_eras()
    return copy.after(after)


def _problem(answer: Any) -> str:
    """Say why the store is to be asked, nothing if the answer is of use."""
    if isinstance(answer, CallFailed):
        return answer.detail
    return "its own copy is old" if answer.outcome == _UNABLE else ""
