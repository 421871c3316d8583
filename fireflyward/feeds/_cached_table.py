"""A copy of one table, for nodes that ask this one in place of the store."""

from fireflyward.backing import Position

from ._follower import TableUpdate
from ._messages import HistoryLost, TableRow

# For so long after the store came back from an older copy a row that it lacks may still
# be written again; whatever is not there by then was removed before it was read.
RETENTION_MS = 10_000


class TableCopy:
    """Rows and the positions between which their changes are known; no I/O.

    >>> copy = TableCopy()
    >>> row = TableRow("k", b"1", Position(1, 4))
    >>> copy.take(TableUpdate((row,), True, 1_000, position=Position(1, 5)))
    >>> copy.after(Position(1, 5)), copy.after(Position(1, 4))
    ((), HistoryLost())

    With ``retains_rows`` rows of an earlier era hold until they are written again, or could
    have been, for nodes that start meanwhile: of a table whose writers write again what
    an older copy of the store lacks, and whose rows do not lapse.
    """

    __slots__ = (
        "_behind_by_key",
        "_carried_until_ms",
        "_carries",
        "_row_by_key",
        "_since",
        "as_of_ms",
        "position",
    )

    def __init__(self, *, retains_rows: bool = False) -> None:
        self._carries = retains_rows
        self._carried_until_ms = 0
        self._row_by_key: dict[str, TableRow] = {}
        # Rows of the store that are older than what is carried.
        self._behind_by_key: dict[str, TableRow] = {}
        self._since = Position(0, 0)
        self.position: Position | None = None
        self.as_of_ms = 0

    def take(self, news: TableUpdate) -> None:
        """Bring the copy up to date; deleted rows stay, marked as such."""
        if news.is_new_era or self.position is None:
            self._carried_until_ms = news.as_of_ms + RETENTION_MS
        if news.is_snapshot:
            # What was deleted in the gap before is not known, so nobody who was
            # behind it may go on from here.
            self._row_by_key = self._carried(news.position.era)
            self._behind_by_key = {}
            self._since = news.position
        for row in news.rows:
            known = self._row_by_key.get(row.key)
            if row.is_restored and known is not None and known.value != row.value:
                self._behind_by_key[row.key] = row
            else:
                self._behind_by_key.pop(row.key, None)
                self._row_by_key[row.key] = row
        self.position = news.position
        self.as_of_ms = news.as_of_ms
        if self._carries and news.as_of_ms >= self._carried_until_ms:
            self._drop_carried()

    def _carried(self, era: int) -> dict[str, TableRow]:
        """Return what is known of earlier eras and may have been lost by the store."""
        if not self._carries:
            return {}
        known = self._row_by_key.items()
        return {key: row for key, row in known if row.position.era < era}

    def _drop_carried(self) -> None:
        """Go by what the store has, also of what was known to be deleted."""
        for key in self._carried(self.position.era):
            del self._row_by_key[key]
        self._row_by_key |= self._behind_by_key
        self._behind_by_key = {}

    def whole(self) -> tuple[TableRow, ...]:
        """Return all rows that there are."""
        return tuple(row for row in self._row_by_key.values() if not row.is_deleted)

    def of_earlier_eras(self) -> tuple[TableRow, ...]:
        """Return the rows that hold though the store has not again what they say."""
        era = self.position.era if self.position is not None else 0
        return tuple(row for row in self.whole() if row.position.era < era)

    def after(self, position: Position) -> tuple[TableRow, ...] | HistoryLost:
        """Return the rows that changed after a position, in order."""
        if position < self._since:
            return HistoryLost()
        rows = [row for row in self._row_by_key.values() if row.position > position]
        return tuple(sorted(rows, key=lambda row: row.position))
