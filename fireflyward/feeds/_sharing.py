"""Reads tables through the aggregator of the failure domain."""

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

from ._cached_table import CachedTable
from ._feeds_structs import FeedAnswer, FeedAsk, FeedRow
from ._follower import TableReader, TableUpdate, valid_as_of_ms
from ._messages import Changes, HistoryLost, Snapshot, TableRow

log = logging.getLogger("fireflyward.feeds")


_KIND = "feed"
_CHANGES, _WHOLE = "changes", "whole"
_HISTORY_LOST, _UNABLE = "history lost", "unable"
_USABLE = (_CHANGES, _WHOLE, _HISTORY_LOST)
# In place of a version: requests the full table. Nodes that start together query each
# other before they have read anything; the queried node answers when it has read it.
_FULL_READ = -1
# In place of a version: requests only the retained rows of earlier eras, which the
# restored store lacks.
_ROWS_OF_EARLIER_ERAS = -2
_NO_POSITION = Position(0, 0)
_FULL_READ_TIMEOUT_MS = 800
# A starting node also reads a table from the store if its aggregator has not answered
# within this time.
_STORE_FALLBACK_MS = 150
# An aggregator stops answering from a cached table that is older than this, because it
# may have lost the store while other nodes can still reach it. The root confirms each
# table every 0.7 s, and an aggregator that reads through the root gets that
# confirmation up to 0.7 s later.
_MAX_AGE_AT_ROOT_MS = 1_300
_MAX_AGE_MS = 2_000
# A round trip to another node with one lost packet.
_ROUND_TRIP_LIMIT_MS = 400
# After an aggregator has failed, a node reads from the store until the successor has
# been chosen and has read the tables.
_FAILED_AGGREGATOR_PAUSE_MS = 2_500
# If this process did not run for longer than this in a query, that is why it failed.
_MAX_LOST_MS = 200
# After a longer standstill an aggregator's cached tables are too old for answers.
_STANDSTILL_MS = 1_000
# An aggregator that refuses connections has just started: until the first key has been
# generated, nodes are listed but cannot open their links. They open them within 500 ms.
_STARTING_AGGREGATOR_PAUSE_MS = 500
# How many other nodes are queried for retained rows; each of them may have just started
# or may have been partitioned itself.
_MAX_NODES_QUERIED = 3
_MS_PER_SECOND = 1_000


class SharedTables:
    """Reads tables from the aggregator, and from the store when that fails.

    If every node followed the store, its calls would grow with the number of nodes.
    Instead, a single node, the root aggregator, follows each table at the store. The
    aggregators of the other failure domains query the root, and the nodes of a domain
    query their aggregator, with the same calls that they would send to the store. An
    answer states the time at which the table had that state; a delayed answer, or one
    from a node that was paused, does not count as newer than that time. A node that
    receives no such answer queries the store itself, so a failure domain that is
    partitioned from the others continues with the store.

    ``era`` returns the latest era of the store that this node has observed. The node
    accepts no answer of an earlier era from other nodes. ``lost_ms`` returns for how
    long this process did not run since a time.
    """

    def __init__(
        self,
        reader: TableReader,
        *,
        clock: Clock,
        aggregators: Aggregators,
        era: Callable[[], int] = lambda: 0,
        lost_ms: Callable[[int], int] = lambda since_ms: 0,
    ) -> None:
        self._reader = reader
        self._lost_ms = lost_ms
        self._era = era
        self._clock = clock
        self._aggregators = aggregators
        self._link: PeerLink | None = None
        self._cached_by_table: dict[str, CachedTable] = {}
        self._change_event_by_table: dict[str, asyncio.Event] = {}
        self._max_age_ms_by_table: dict[str, int] = {}
        self._store_only_until_ms = 0

    def use(self, link: PeerLink) -> None:
        """Send and answer queries over a link from now on."""
        self._link = link
        link.register(_KIND, FeedAsk, self._on_query)

    def caching_listener(
        self,
        table: str,
        on_update: Callable[[TableUpdate], None],
        *,
        max_age_ms: int | None = None,
        retains_rows: bool = False,
    ) -> Callable[[TableUpdate], None]:
        """Return a listener that caches updates for other nodes, then forwards them.

        ``max_age_ms`` replaces the default limit on the age of answers to other nodes.
        ``retains_rows`` is for a table whose rows remain valid when the store is
        restored from an older snapshot that lacks them.
        """
        cached = self._cached_by_table[table] = CachedTable(retains_rows=retains_rows)
        if max_age_ms is not None:
            self._max_age_ms_by_table[table] = max_age_ms
        self._change_event_by_table[table] = asyncio.Event()

        def cache_and_forward(update: TableUpdate) -> None:
            cached.apply(update)
            if update.rows:
                self._change_event_by_table[table].set()
                self._change_event_by_table[table] = asyncio.Event()
            on_update(update)

        return cache_and_forward

    @property
    def serves_other_nodes(self) -> bool:
        """Return whether other nodes read tables from this node."""
        return (
            self._aggregators.are_needed
            and self._aggregators.own_aggregator(self._clock.now_ms()) is None
        )

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable:
        """Read a full table from the aggregator, or from the store.

        A node serves no requests before it has read the table. After a power loss, an
        aggregator that is not up again may leave a query unanswered for a second, and
        an aggregator waits for the root in the same way. So a node that has waited for
        ``_STORE_FALLBACK_MS`` also queries the store and uses the first answer.
        """
        if part or self._node_to_query(self._clock.now_ms()) is None:
            return await self._reader.rows(table, part=part, limit_ms=limit_ms)
        query = asyncio.ensure_future(
            self._query_aggregator(
                table, self._full_read_cursor(), _FULL_READ_TIMEOUT_MS
            )
        )
        fallback_timer = asyncio.ensure_future(self._clock.sleep_ms(_STORE_FALLBACK_MS))
        store_read = None
        try:
            await asyncio.wait({query, fallback_timer}, return_when=FIRST_COMPLETED)
            if query.done() and isinstance(query.result(), Snapshot):
                return query.result()
            store_read = asyncio.ensure_future(
                self._reader.rows(table, part=part, limit_ms=limit_ms)
            )
            await asyncio.wait({query, store_read}, return_when=FIRST_COMPLETED)
            if query.done() and isinstance(query.result(), Snapshot):
                return query.result()
            store_result = await store_read
            if isinstance(store_result, Snapshot):
                return store_result
            result = await query
            return result if isinstance(result, Snapshot) else store_result
        finally:
            for task in (query, fallback_timer, store_read):
                if task is not None:
                    task.cancel()

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes, by a call to the aggregator or else to the store."""
        answer = await self._query_aggregator(table, after, wait_ms)
        if isinstance(answer, Changes | HistoryLost):
            return answer
        sent_ms = self._clock.now_ms()
        result = await self._reader.changes(
            table, after=after, wait_ms=wait_ms, limit_ms=limit_ms
        )
        if not isinstance(result, Changes):
            return result
        # If the follower counted from its own call, it would include the time spent on
        # the failed query to the aggregator, and the answer would look too old.
        as_of_ms = valid_as_of_ms(result, sent_ms, self._clock.now_ms(), wait_ms)
        return Changes(result.rows, result.position, as_of_ms)

    async def fetch_retained_rows(self, table: str) -> list[TableUpdate]:
        """Query a few other nodes for retained rows that the restored store lacks.

        Return one update for each node that has such rows.
        """
        others = self._aggregators.all_addresses()
        queried = random.sample(others, min(_MAX_NODES_QUERIED, len(others)))
        cursor = Position(self._era(), _ROWS_OF_EARLIER_ERAS)
        sent_ms = self._clock.now_ms()
        answers = await asyncio.gather(
            *(self._query_node(address, table, cursor, 0) for address in queried)
        )
        return [
            _update_from(answer, sent_ms)
            for answer in answers
            if not _failure_reason(answer) and answer.rows
        ]

    def _full_read_cursor(self) -> Position:
        return Position(self._era(), _FULL_READ)

    async def _query_aggregator(
        self, table: str, after: Position, wait_ms: int
    ) -> Snapshot | Changes | HistoryLost | None:
        """Return the aggregator's answer, or None if the store must be queried."""
        now_ms = self._clock.now_ms()
        aggregator = self._node_to_query(now_ms)
        if self._link is None or aggregator is None:
            return None
        answer = await self._query_node(aggregator.address, table, after, wait_ms)
        reason = _failure_reason(answer)
        if reason:
            log.info(
                "feeds: could not read %s from %s: %s", table, aggregator.name, reason
            )
            pause_ms = self._pause_after(answer, sent_ms=now_ms)
            self._store_only_until_ms = self._clock.now_ms() + pause_ms
            return None
        if answer.outcome == _HISTORY_LOST:
            return HistoryLost()
        position = Position(answer.era, answer.version)
        rows = _decode_rows(answer)
        # The answer was made at least `waited_ms` after the request was sent.
        as_of_ms = now_ms + answer.waited_ms - answer.age_ms
        as_of_ms = min(as_of_ms, self._clock.now_ms())
        if answer.outcome == _WHOLE:
            return Snapshot(rows, position, as_of_ms, aggregator.name)
        return Changes(rows, position, as_of_ms, aggregator.name)

    def _pause_after(self, answer: Any, *, sent_ms: int) -> int:
        """Return for how long to read from the store after a query has failed.

        After a standstill of all nodes, each of them would otherwise read each table
        from the store for seconds, which rejects so many calls.
        """
        if not isinstance(answer, CallFailed):
            # The aggregator may have stood still too, and reads the tables soon.
            recently_ms = sent_ms - _FAILED_AGGREGATOR_PAUSE_MS
            if self._lost_ms(recently_ms) > _STANDSTILL_MS:
                return _STARTING_AGGREGATOR_PAUSE_MS
            return _FAILED_AGGREGATOR_PAUSE_MS
        if answer.is_refused:
            return _STARTING_AGGREGATOR_PAUSE_MS
        if self._lost_ms(sent_ms) > _MAX_LOST_MS:
            return 0
        return _FAILED_AGGREGATOR_PAUSE_MS

    async def _query_node(
        self, address: Address, table: str, after: Position, wait_ms: int
    ) -> FeedAnswer | CallFailed:
        if self._link is None:
            return CallFailed("no link to other nodes yet")
        return await self._link.call(
            address,
            _KIND,
            FeedAsk(table=table, after=after.version, wait_ms=wait_ms, era=after.era),
            FeedAnswer,
            timeout_s=(wait_ms + _ROUND_TRIP_LIMIT_MS) / _MS_PER_SECOND,
        )

    def _node_to_query(self, now_ms: int) -> Member | None:
        """Return the node to query, or None if the store must be queried."""
        if now_ms < self._store_only_until_ms or not self._aggregators.are_needed:
            return None
        return self._aggregators.own_aggregator(
            now_ms
        ) or self._aggregators.root_aggregator(now_ms)

    async def _on_query(self, sender: str, query: Any) -> Any:
        """Answer another node's query from the cached table of this node."""
        cached = self._cached_by_table.get(query.table)
        if cached is None:
            return _answer(_UNABLE)
        received_ms = self._clock.now_ms()
        after = Position(query.era, query.after)
        if not _can_answer_now(cached, after):
            changed = self._change_event_by_table[query.table]
            await within_ms(self._clock, query.wait_ms, changed.wait())
        if cached.position is None or self._is_outdated(query.table, cached):
            return _answer(_UNABLE)
        if cached.position.era < query.era:
            # The sender knows that the store was restored; this node has not yet read
            # the restored table.
            return _answer(_UNABLE)
        rows = _requested_rows(cached, after)
        if isinstance(rows, HistoryLost):
            return _answer(_HISTORY_LOST)
        now_ms = self._clock.now_ms()
        return _answer(
            _WHOLE if query.after == _FULL_READ else _CHANGES,
            position=max(cached.position, after),
            rows=rows,
            age_ms=now_ms - cached.as_of_ms,
            waited_ms=now_ms - received_ms,
        )

    def _is_outdated(self, table: str, cached: CachedTable) -> bool:
        now_ms = self._clock.now_ms()
        reads_store = self._aggregators.root_aggregator(now_ms) is None
        max_age_ms = _MAX_AGE_AT_ROOT_MS if reads_store else _MAX_AGE_MS
        max_age_ms = self._max_age_ms_by_table.get(table, max_age_ms)
        return now_ms - cached.as_of_ms > max_age_ms


def _answer(
    outcome: str,
    *,
    position: Position = _NO_POSITION,
    rows: tuple[TableRow, ...] = (),
    age_ms: int = 0,
    waited_ms: int = 0,
) -> Any:
    encoded_rows = [
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
        rows=encoded_rows,
        age_ms=age_ms,
        waited_ms=waited_ms,
        era=position.era,
    )


def _decode_rows(answer: Any) -> tuple[TableRow, ...]:
    return tuple(
        TableRow(
            row.row_key, row.row_value, Position(row.era, row.version), row.is_deleted
        )
        for row in answer.rows
    )


def _update_from(answer: Any, sent_ms: int) -> TableUpdate:
    """Return the answer to a query that was sent at ``sent_ms`` as an update.

    The time of arrival says nothing of its age: this process may have stood still.
    """
    position = Position(answer.era, answer.version)
    as_of_ms = sent_ms - answer.age_ms
    return TableUpdate(_decode_rows(answer), False, as_of_ms, position=position)


def _can_answer_now(cached: CachedTable, after: Position) -> bool:
    """Return whether a query can be answered without waiting for an update."""
    if after.version in (_FULL_READ, _ROWS_OF_EARLIER_ERAS):
        return cached.position is not None
    return cached.changes_after(after) != ()


def _requested_rows(
    cached: CachedTable, after: Position
) -> tuple[TableRow, ...] | HistoryLost:
    if after.version == _FULL_READ:
        return cached.all_rows()
    if after.version == _ROWS_OF_EARLIER_ERAS:
        return cached.rows_of_earlier_eras()
    return cached.changes_after(after)


def _failure_reason(answer: Any) -> str:
    """Return why the answer cannot be used, or "" if it can."""
    if isinstance(answer, CallFailed):
        return answer.detail
    if answer.outcome == _UNABLE:
        return "its cached table is missing or outdated"
    numbers = (answer.era, answer.version, answer.age_ms, answer.waited_ms)
    if answer.outcome not in _USABLE or min(numbers) < 0:
        return f"its answer {answer.outcome[:20]!r} is not understood"
    return ""
