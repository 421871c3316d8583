"""A cached table, which other nodes query in place of the store."""

from fireflyward.backing import Position

from ._follower import TableUpdate
from ._messages import HistoryLost, TableRow

# How long rows of an earlier era are retained after the store was restored from an
# older snapshot. Their writers write them again within this time; a row that is still
# missing afterwards was removed before the writer could read it.
RETENTION_MS = 10_000
# A reader that lacks a deletion which is no longer known reads the full table.
_MAX_DELETIONS = 1_000


class CachedTable:
    """Holds a table's rows and the range of positions with known changes; no I/O.

    >>> table = CachedTable()
    >>> row = TableRow("k", b"1", Position(1, 4))
    >>> table.apply(TableUpdate((row,), True, 1_000, position=Position(1, 5)))
    >>> table.changes_after(Position(1, 5)), table.changes_after(Position(1, 4))
    ((), HistoryLost())

    With ``retains_rows``, rows of an earlier era stay valid for ``RETENTION_MS`` or
    until they are written again, so that a node that starts in between receives them.
    This is for a table whose writers repeat the writes that the restored store lacks,
    and whose rows do not expire.
    """

    __slots__ = (
        "_changes_known_since",
        "_deletions",
        "_restored_by_key",
        "_retained_until_ms",
        "_retains_rows",
        "_row_by_key",
        "as_of_ms",
        "position",
    )

    def __init__(self, *, retains_rows: bool = False) -> None:
        self._retains_rows = retains_rows
        self._retained_until_ms = 0
        self._row_by_key: dict[str, TableRow] = {}
        # Rows of the restored store that are older than the retained row.
        self._restored_by_key: dict[str, TableRow] = {}
        self._changes_known_since = Position(0, 0)
        # At least the number of cached rows that are marked as deleted.
        self._deletions = 0
        self.position: Position | None = None
        self.as_of_ms = 0

    def apply(self, update: TableUpdate) -> None:
        """Apply an update; deleted rows stay in the cache and are marked as deleted."""
        if update.is_new_era or self.position is None:
            self._retained_until_ms = update.as_of_ms + RETENTION_MS
        if update.is_snapshot:
            # The deletions since the previous position are not known, so a reader
            # at an earlier position must read the full table.
            self._row_by_key = self._retained_rows(update.position.era)
            self._restored_by_key = {}
            self._changes_known_since = update.position
        for row in update.rows:
            cached = self._row_by_key.get(row.key)
            if row.is_restored and cached is not None and cached.value != row.value:
                self._restored_by_key[row.key] = row
            else:
                self._restored_by_key.pop(row.key, None)
                self._row_by_key[row.key] = row
                self._deletions += row.is_deleted
        self.position = update.position
        self.as_of_ms = update.as_of_ms
        if self._retains_rows and update.as_of_ms >= self._retained_until_ms:
            self._drop_retained_rows()
        if self._deletions > _MAX_DELETIONS:
            self._forget_deletions()

    def _forget_deletions(self) -> None:
        """Forget the older half of the deletions, if there are too many."""
        era = self.position.era
        deleted = sorted(
            (row for row in self._row_by_key.values() if row.is_deleted),
            key=lambda row: row.position,
        )
        if len(deleted) > _MAX_DELETIONS:
            # A deletion of an earlier era hides the restored row.
            older = [row for row in deleted if row.position.era == era]
            older = older[: len(deleted) // 2]
            for row in older:
                del self._row_by_key[row.key]
                known_since = max(self._changes_known_since, row.position)
                self._changes_known_since = known_since
            deleted = deleted[len(older) :]
        self._deletions = len(deleted)

    def _retained_rows(self, era: int) -> dict[str, TableRow]:
        """Return the cached rows of earlier eras, which the store may have lost."""
        if not self._retains_rows:
            return {}
        cached = self._row_by_key.items()
        return {key: row for key, row in cached if row.position.era < era}

    def _drop_retained_rows(self) -> None:
        """Replace retained rows and deletions by what the store contains."""
        for key in self._retained_rows(self.position.era):
            del self._row_by_key[key]
        self._row_by_key |= self._restored_by_key
        self._restored_by_key = {}

    def all_rows(self) -> tuple[TableRow, ...]:
        """Return all rows that are not deleted."""
        return tuple(row for row in self._row_by_key.values() if not row.is_deleted)

    def rows_of_earlier_eras(self) -> tuple[TableRow, ...]:
        """Return the retained rows, which the store does not contain in this era."""
        era = self.position.era if self.position is not None else 0
        return tuple(row for row in self.all_rows() if row.position.era < era)

    def changes_after(self, position: Position) -> tuple[TableRow, ...] | HistoryLost:
        """Return the rows that changed after a position, in order of position."""
        if position < self._changes_known_since:
            return HistoryLost()
        rows = [row for row in self._row_by_key.values() if row.position > position]
        return tuple(sorted(rows, key=lambda row: row.position))
