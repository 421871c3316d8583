"""Rows of the nodes' table that say when weights were replaced."""

import logging
from dataclasses import dataclass
from typing import Protocol

import msgspec

from fireflyward.backing import (
    Committed,
    Conflict,
    Position,
    StoreTime,
    Unavailable,
    Uncertain,
)
from fireflyward.decoding import Count, Int64, decode_json
from fireflyward.feeds import Snapshot, TableRow, TableUpdate

from ._history import VersionHistory

log = logging.getLogger("fireflyward.replacements")

_PREFIX = "replaced/"
# A later era begins with a restore from an older snapshot.
_FIRST_ERA = 1


class RowStore(Protocol):
    """The calls to the store, see ``platform.StoreClient``."""

    time: StoreTime | None

    async def rows(self, table: str) -> Snapshot | Unavailable: ...

    async def write(
        self,
        *,
        table: str,
        part: str,
        expected: dict[str, Position],
        puts: dict[str, bytes],
    ) -> Committed | Conflict | Unavailable | Uncertain: ...


class ReplacementRow(msgspec.Struct, frozen=True):
    """Until when versions of a model's weights were the newest, by the store's clock.

    ``newest`` was still the newest at ``confirmed_ms``. Each version in
    ``last_newest_ms`` was the newest at its time, and has been replaced since.
    """

    newest: Count
    confirmed_ms: Int64
    last_newest_ms: dict[Count, Int64]


@dataclass(frozen=True, slots=True)
class _DatedRow:
    """A row that was written at a position, after a time of the store's clock."""

    position: Position
    store_ms: int


class ReplacementRows:
    """Reads and writes one row for each model with a version that was named lately.

    The operators' row has no time. A node that starts cannot know when the version was
    named that it finds there, unless a node that was up then has written it down. If
    none was, a row with a time that the store wrote before shows that the version had
    not been named then: the positions of all rows come from one counter.
    """

    __slots__ = (
        "_dated_row",
        "_era",
        "_history",
        "_named_at_by_model",
        "_position_by_model",
        "_row_by_model",
        "_store",
        "_table",
    )

    def __init__(self, history: VersionHistory, *, store: RowStore, table: str) -> None:
        self._history = history
        self._store = store
        self._table = table
        self._era = 0
        self._dated_row: _DatedRow | None = None
        self._named_at_by_model: dict[str, Position] = {}
        self._row_by_model: dict[str, ReplacementRow] = {}
        self._position_by_model: dict[str, Position] = {}

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table."""
        self._era = max(self._era, update.position.era)
        if update.is_snapshot:
            self._position_by_model.clear()
        for row in update.rows:
            if row.key.startswith(_PREFIX):
                self._apply(row)

    def _apply(self, row: TableRow) -> None:
        model = row.key.removeprefix(_PREFIX)
        self._position_by_model[model] = row.position
        if row.is_deleted:
            del self._position_by_model[model]
            return
        decoded = decode_json(row.value, ReplacementRow)
        if decoded is None:
            log.error("replacements: row %s cannot be decoded", row.key)
            return
        self._row_by_model[model] = decoded
        self.use_evidence(model)

    def on_named(self, model: str, position: Position) -> None:
        """Record where the operators' row is that names the newest version."""
        self._named_at_by_model[model] = position

    def on_dated_row(self, position: Position, store_ms: int) -> None:
        """Use a row that was written at a position, after a time of the store's clock.

        Only the first one that this node reads can be from before its start.
        """
        if store_ms and self._dated_row is None:
            self._dated_row = _DatedRow(position, store_ms)
            for model in list(self._named_at_by_model):
                self.use_evidence(model)

    def use_evidence(self, model: str) -> bool:
        """Tell the history what rows say of a model; return whether that helps."""
        row, time = self._row_by_model.get(model), self._store.time
        if time is None:
            return False
        helps = not self.is_written(model) and self._use_dated_row(model, time)
        if row is None:
            return helps
        times_ms = {**row.last_newest_ms, row.newest: row.confirmed_ms}
        for version, store_ms in times_ms.items():
            if store_ms > time.store_ms:
                # The store's clock was read before the row was written.
                continue
            at_ms = time.to_local_ms(store_ms)
            helps |= self._history.on_evidence(model, version, at_ms)
        return helps

    def _use_dated_row(self, model: str, time: StoreTime) -> bool:
        """Use a row from before the version, if no row says when it was named.

        After a restore, operators write an old version again at a new position.
        """
        dated, named_at = self._dated_row, self._named_at_by_model.get(model)
        newest = self._history.newest(model)
        if dated is None or named_at is None or newest is None:
            return False
        is_first_era = dated.position.era == named_at.era <= _FIRST_ERA
        is_before = dated.position < named_at and dated.store_ms <= time.store_ms
        if not is_first_era or not is_before:
            return False
        at_ms = time.to_local_ms(dated.store_ms)
        return self._history.on_evidence(model, newest - 1, at_ms)

    def is_written(self, model: str) -> bool:
        """Return whether a row says when the newest weights replaced others."""
        row, newest = self._row_by_model.get(model), self._history.newest(model)
        return row is not None and newest is not None and row.newest >= newest

    async def write(self, model: str) -> None:
        """Write what this node knows, unless another node has."""
        result = await self._write(model)
        if isinstance(result, Conflict):
            found = await self._store.rows(self._table)
            if isinstance(found, Snapshot):
                self.on_table_update(
                    TableUpdate(found.rows, True, 0, position=found.position)
                )
            if not self.is_written(model):
                result = await self._write(model)
        log.info("replacements: row of %s: %s", model, type(result).__name__)

    async def _write(
        self, model: str
    ) -> Committed | Conflict | Unavailable | Uncertain | None:
        newest, time = self._history.newest(model), self._store.time
        confirmed_ms = self._history.confirmed_ms
        records = self._history.proven(model)
        if newest is None or time is None or confirmed_ms is None or not records:
            return None
        last_newest_ms = {
            version: time.to_store_ms(at_ms) for version, at_ms in records.items()
        }
        row = ReplacementRow(newest, time.to_store_ms(confirmed_ms), last_newest_ms)
        key = _PREFIX + model
        position = self._position_by_model.get(model, Position(self._era, 0))
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: position},
            puts={key: msgspec.json.encode(row)},
        )
        if isinstance(result, Committed):
            self._position_by_model[model] = result.position_of(key)
            self._row_by_model[model] = row
        return result
