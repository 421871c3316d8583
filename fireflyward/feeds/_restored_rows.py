"""Detects rows that were already in a table in an earlier era."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from fireflyward.backing import Position

from ._messages import TableRow

# The store is restored to a state a few seconds old, and a row seldom changes more than
# once a second.
_MAX_WRITES_PER_KEY = 16
# Rows that were removed long ago need not be recognized. Each key uses half a kilobyte
# of memory.
_MAX_KEYS = 4_000


@dataclass(frozen=True, slots=True)
class _Write:
    position: Position
    value_hash: int


class RestoredRowDetector:
    """Distinguishes restored rows from rows that were written in the new era; no I/O.

    If a row of a full read has the same version and value as in an earlier era, it was
    written before the snapshot from which the store was restored. A newer row for that
    key, if this node had read one, was lost only by the store and remains valid. Any
    other row was written in the new era, and so was every row of the changes: a row
    that is written again may be assigned the same version as before.

    >>> detector = RestoredRowDetector()
    >>> row = TableRow("k", b"1", Position(1, 7))
    >>> [detector.mark([row])[0].is_restored, detector.mark([row])[0].is_restored]
    [False, False]
    >>> [detector.mark([TableRow("k", b"1", Position(2, 7))])[0].is_restored]
    [True]
    """

    __slots__ = ("_writes_by_key",)

    def __init__(self) -> None:
        self._writes_by_key: OrderedDict[str, deque[_Write]] = OrderedDict()

    def mark(self, rows: Iterable[TableRow]) -> tuple[TableRow, ...]:
        """Return all rows of a full read, with rows of earlier eras as restored."""
        return tuple(self._mark(row) for row in rows)

    def record(self, changes: Iterable[TableRow]) -> None:
        """Record rows that were written in the era in which they were read."""
        for row in changes:
            if row.is_deleted:
                continue
            writes, write = self._writes_for(row.key), _write_from(row)
            same = _find_same(writes, write)
            if same is not None:
                writes.remove(same)
            writes.append(write)

    def _mark(self, row: TableRow) -> TableRow:
        writes, write = self._writes_for(row.key), _write_from(row)
        same = _find_same(writes, write)
        if same is None:
            writes.append(write)
            return row
        return replace(row, is_restored=same.position.era < write.position.era)

    def _writes_for(self, key: str) -> deque[_Write]:
        writes = self._writes_by_key.setdefault(key, deque(maxlen=_MAX_WRITES_PER_KEY))
        self._writes_by_key.move_to_end(key)
        while len(self._writes_by_key) > _MAX_KEYS:
            self._writes_by_key.popitem(last=False)
        return writes


def _write_from(row: TableRow) -> _Write:
    return _Write(row.position, hash(row.value))


def _find_same(writes: Iterable[_Write], write: _Write) -> _Write | None:
    """Return the first write with the same version and value, in any era."""
    for other in writes:
        is_same_version = other.position.version == write.position.version
        if is_same_version and other.value_hash == write.value_hash:
            return other
    return None
