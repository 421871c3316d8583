"""Which rows of a table stood there in earlier eras."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from fireflyward.backing import Position

from ._messages import TableRow

# A copy is some seconds old; a row seldom changes more than once a second.
_MOST_WRITES = 16
# Rows that were removed long ago are of no interest. Each takes half a kilobyte.
_MOST_KEYS = 4_000


@dataclass(frozen=True, slots=True)
class _Write:
    position: Position
    digest: int


class SeenRows:
    """Tells rows of an older copy from rows that were written since; no I/O.

    A row that has the same version and value as in an earlier era was there before the
    copy was made, and whatever was known to come after it has been lost by the store
    alone. Any other row is news.

    >>> seen = SeenRows()
    >>> row = TableRow("k", b"1", Position(1, 7))
    >>> [seen.marked([row])[0].is_copied, seen.marked([row])[0].is_copied]
    [False, False]
    >>> [seen.marked([TableRow("k", b"1", Position(2, 7))])[0].is_copied]
    [True]
    """

    __slots__ = ("_writes_by_key",)

    def __init__(self) -> None:
        self._writes_by_key: OrderedDict[str, deque[_Write]] = OrderedDict()

    def marked(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Return rows with those marked that an earlier era had, and keep them all."""
        return tuple(self._marked(row) for row in rows)

    def _marked(self, row: TableRow) -> TableRow:
        if row.is_deleted:
            return row
        writes = self._writes_by_key.setdefault(row.key, deque(maxlen=_MOST_WRITES))
        self._writes_by_key.move_to_end(row.key)
        while len(self._writes_by_key) > _MOST_KEYS:
            self._writes_by_key.popitem(last=False)
        write = _Write(row.position, hash(row.value))
        for earlier in writes:
            is_same = earlier.position.version == write.position.version
            if is_same and earlier.digest == write.digest:
                is_copied = earlier.position.era < write.position.era
                return replace(row, is_copied=is_copied)
        writes.append(write)
        return row
