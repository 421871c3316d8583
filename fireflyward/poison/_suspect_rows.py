"""Parts with two crashes or more as rows of a table that all nodes follow."""

import logging
import re
from typing import Annotated

import msgspec

from fireflyward.backing import Committed, Position, read_ms, stored_ms
from fireflyward.clock import Clock
from fireflyward.decoding import MAX_INT64, Count, decode_json
from fireflyward.feeds import TableUpdate
from fireflyward.platform import StoreClient

log = logging.getLogger("fireflyward.poison")

_PREFIX = "poison-suspect/"
_PART = re.compile(r"0|-?[1-9a-f][0-9a-f]{0,15}")
# A replica's incarnation id, as messages between nodes encode it.
_IncarnationId = Annotated[int, msgspec.Meta(ge=-(2**31), lt=2**31)]
_MAX_ENDS = 16
# Crashes that lie further apart are not counted together.
_KEPT_MS = 300_000


class SuspectPartRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The incarnation ids of replicas that crashed with a part in flight.

    ``written_store_ms`` is when the row was written by the store's clock, 0 if that is
    unknown.
    """

    ends: Annotated[tuple[_IncarnationId, ...], msgspec.Meta(max_length=_MAX_ENDS)]
    written_store_ms: Count = 0


class SuspectPartRows:
    """Writes the crashes of suspect parts, so that nodes count them without a link.

    Nodes that cannot reach each other would each wait for three crashes of their own,
    and nodes that restart would begin at zero.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_position_by_part",
        "_store",
        "_table",
        "ends",
        "written_ms",
    )

    def __init__(self, *, clock: Clock, store: StoreClient, table: str) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._position_by_part: dict[int, Position] = {}
        self._era = 0
        self.ends: dict[int, frozenset[int]] = {}
        self.written_ms: dict[int, int] = {}

    def on_table_update(self, update: TableUpdate) -> list[int]:
        """Apply changes of the table; return the parts whose crashes are news."""
        self._era = max(self._era, update.position.era)
        if update.is_snapshot:
            self._position_by_part.clear()
            self.ends.clear()
        changed = []
        for row in update.rows:
            part = part_of(row.key, _PREFIX)
            if part is None:
                continue
            self._position_by_part.pop(part, None)
            self.ends.pop(part, None)
            if row.is_deleted:
                continue
            self._position_by_part[part] = row.position
            stored = decode_json(row.value, SuspectPartRow)
            if stored is None:
                log.error("poison: row %s cannot be decoded", row.key)
                continue
            self.ends[part] = frozenset(stored.ends)
            now_ms = self._clock.now_ms()
            written_ms = read_ms(self._store.time, stored.written_store_ms)
            self.written_ms[part] = now_ms if written_ms is None else written_ms
            if now_ms - self.written_ms[part] <= _KEPT_MS:
                changed.append(part)
        # A later row of the same update may have deleted an earlier one.
        return [part for part in changed if part in self.ends]

    def old(self, now_ms: int) -> list[int]:
        """Return the parts whose rows were written a long time ago."""
        return [part for part in self.ends if now_ms - self.written_ms[part] > _KEPT_MS]

    async def add(self, part: int, ends: frozenset[int]) -> bool:
        """Add crashes to the row of a part; return whether it has them."""
        known = self.ends.get(part, frozenset())
        if ends <= known or len(known) >= _MAX_ENDS:
            return True
        merged = frozenset(sorted(known | ends)[:_MAX_ENDS])
        now_ms = self._clock.now_ms()
        store_ms = stored_ms(self._store.time, now_ms)
        row = SuspectPartRow(tuple(sorted(merged)), store_ms)
        if not await self._commit(part, row):
            return False
        self.ends[part] = merged
        self.written_ms[part] = now_ms
        return True

    async def delete(self, part: int) -> bool:
        """Delete the row of a part; return whether there is none."""
        if part not in self._position_by_part:
            return True
        return await self._commit(part, None)

    async def _commit(self, part: int, row: SuspectPartRow | None) -> bool:
        key = f"{_PREFIX}{part:x}"
        position = self._position_by_part.get(part, Position(self._era, 0))
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: position},
            puts={} if row is None else {key: msgspec.json.encode(row)},
            deletes=(key,) if row is None else (),
        )
        if not isinstance(result, Committed):
            log.info("poison: row %s: %s", key, type(result).__name__)
            return False
        if row is None:
            self._position_by_part.pop(part, None)
            self.ends.pop(part, None)
        else:
            self._position_by_part[part] = result.position_of(key)
        return True


def part_of(key: str, prefix: str) -> int | None:
    """Return the part that a row is about, None if it is another kind of row.

    >>> part_of("poison/-1f", "poison/"), part_of("node/a", "poison/")
    (-31, None)

    Messages carry a part in 64 bits, and each part has one key only.

    >>> part_of("poison/" + "f" * 16, "poison/"), part_of("poison/01f", "poison/")
    (None, None)
    """
    if not key.startswith(prefix):
        return None
    digits = key.removeprefix(prefix)
    if not _PART.fullmatch(digits):
        return None
    part = int(digits, 16)
    return part if -MAX_INT64 - 1 <= part <= MAX_INT64 else None
