"""The table that leases use, in rows of the platform's store."""

from collections.abc import Mapping

from fireflyward.backing import (
    Committed,
    Conflict,
    Missing,
    Position,
    Row,
    Unavailable,
    Uncertain,
)
from fireflyward.feeds import TableRow

from ._store import StoreClient

_TABLE = "fireflyward"


class LeaseTable:
    """This system's own table; each key has its own part, which spreads the writes."""

    __slots__ = ("_store",)

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def get(self, key: str) -> Row | Missing | Unavailable:
        """Return one row."""
        found = await self._store.rows(_TABLE, part=key)
        if isinstance(found, Unavailable):
            return found
        for row in found.rows:
            if row.key == key:
                return _row(row)
        return Missing(key, found.position.era)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        """Return the rows of the part whose name is the prefix."""
        found = await self._store.rows(_TABLE, part=prefix)
        if isinstance(found, Unavailable):
            return found
        return tuple(map(_row, found.rows))

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] = (),
        era: int = 0,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Write atomically if each key of ``expected`` has the given version."""
        part = next(iter(puts or expected))
        return await self._store.write(
            table=_TABLE,
            part=part,
            expected={key: Position(era, ver) for key, ver in expected.items()},
            puts=puts,
            deletes=deletes,
        )


def _row(row: TableRow) -> Row:
    return Row(row.key, row.value, row.position.version, row.position.era)
