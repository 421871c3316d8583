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

    A row of a whole table that has the same version and value as in an earlier era was
    there before the copy was made, and whatever was known to come after it has been
    lost by the store alone. Any other row is news, and so is every change: what is
    written again may be given the version that it had.

    >>> seen = SeenRows()
    >>> row = TableRow("k", b"1", Position(1, 7))
    >>> [seen.marked([row])[0].is_restored, seen.marked([row])[0].is_restored]
    [False, False]
    >>> [seen.marked([TableRow("k", b"1", Position(2, 7))])[0].is_restored]
    [True]
    """

    __slots__ = ("_writes_by_key",)

    def __init__(self) -> None:
        self._writes_by_key: OrderedDict[str, deque[_Write]] = OrderedDict()

    def marked(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Return a whole table with the rows marked that an earlier era had."""
        return tuple(self._marked(row) for row in rows)

    def note(self, changes: Iterable[TableRow]) -> None:
        """Keep rows that were written in the era in which they were read."""
        for row in changes:
            if row.is_deleted:
                continue
            writes, write = self._writes_of(row.key), _write_of(row)
            same = _same(writes, write)
            if same is not None:
                writes.remove(same)
            writes.append(write)

    def _marked(self, row: TableRow) -> TableRow:
        writes, write = self._writes_of(row.key), _write_of(row)
        same = _same(writes, write)
        if same is None:
            writes.append(write)
            return row
        return replace(row, is_restored=same.position.era < write.position.era)

    def _writes_of(self, key: str) -> deque[_Write]:
        writes = self._writes_by_key.setdefault(key, deque(maxlen=_MOST_WRITES))
        self._writes_by_key.move_to_end(key)
        while len(self._writes_by_key) > _MOST_KEYS:
            self._writes_by_key.popitem(last=False)
        return writes


def _write_of(row: TableRow) -> _Write:
    return _Write(row.position, hash(row.value))


def _same(writes: Iterable[_Write], write: _Write) -> _Write | None:
    """Return a write of the same version and value, of whatever era."""
    for other in writes:
        is_same_version = other.position.version == write.position.version
        if is_same_version and other.digest == write.digest:
            return other
    return None
