"""Held parts as rows of a table that all nodes follow."""

import logging
from dataclasses import replace
from typing import Annotated

import msgspec

from fireflyward.backing import Committed, Position, read_ms, stored_ms
from fireflyward.clock import Clock
from fireflyward.decoding import Count, decode_json
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.platform import StoreClient

from ._held_parts import HeldParts, PartHold
from ._suspect_rows import part_of

log = logging.getLogger("fireflyward.poison")

_PREFIX = "poison/"
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000)]


class HeldPartRow(msgspec.Struct, frozen=True):
    """How many replicas ended under a part, and how often it was tried since.

    ``held_store_ms`` is when it was held, or tried last, by the store's clock; 0 if
    that is unknown. A row that does not say so counts as provisional.
    """

    crashes: _Count
    trials: _Count = 0
    had_answers: bool = False
    is_provisional: bool = True
    held_store_ms: Count = 0


class HeldPartRows:
    """Writes held parts, each if its row is still as this node read it.

    The row keeps a part held when nodes restart, or when they cannot reach each other.
    A trial is a write too, so that only one node makes it. The time until the next
    trial goes on while no node runs. A store that was restored from an older snapshot
    takes no hold back; the node that wrote a lost row writes it again.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_held",
        "_own",
        "_position_by_part",
        "_store",
        "_table",
    )

    def __init__(
        self, held: HeldParts, *, clock: Clock, store: StoreClient, table: str
    ) -> None:
        self._held = held
        self._clock = clock
        self._store = store
        self._table = table
        self._position_by_part: dict[int, Position] = {}
        self._own: set[int] = set()
        self._era = 0

    def on_table_update(self, update: TableUpdate) -> list[int]:
        """Apply changes of the table; return the parts whose rows to write again."""
        self._era = max(self._era, update.position.era)
        lost = []
        if update.is_snapshot:
            listed = {part_of(row.key, _PREFIX) for row in update.rows}
            for part in self._position_by_part.keys() - listed:
                if self._position_by_part[part] > update.position:
                    continue
                del self._position_by_part[part]
                if not update.is_new_era:
                    self._held.clear(part)
                elif part in self._own:
                    lost.append(part)
        for row in update.rows:
            part = part_of(row.key, _PREFIX)
            if part is not None:
                self._apply(part, row)
        return lost

    async def write(self, part: int) -> bool:
        """Write or delete the row of a part; return whether the table has it so."""
        hold = self._held.by_part.get(part)
        if hold is None:
            if part not in self._position_by_part:
                return True
            return await self._commit(part, None)
        return await self._commit(part, self._row_of(hold))

    async def begin_trial(self, part: int) -> bool:
        """Count a trial of a part; return whether this node may make it."""
        hold = self._held.by_part.get(part)
        if hold is None:
            return False
        tried = replace(hold, trials=hold.trials + 1, held_ms=self._clock.now_ms())
        if not await self._commit(part, self._row_of(tried)):
            return False
        self._held.hold(
            tried.held_ms,
            part,
            crashes=hold.crashes,
            trials=tried.trials,
            is_provisional=hold.is_provisional,
        )
        return True

    async def _commit(self, part: int, row: HeldPartRow | None) -> bool:
        key = f"{_PREFIX}{part:x}"
        position = self._position_by_part.get(part, Position(self._era, 0))
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: position},
            puts={} if row is None else {key: msgspec.json.encode(row)},
            deletes=(key,) if row is None else (),
        )
        log.info("poison: row %s %s: %s", key, row, type(result).__name__)
        if not isinstance(result, Committed):
            return False
        if row is None:
            self._position_by_part.pop(part, None)
            self._own.discard(part)
        else:
            self._position_by_part[part] = result.position_of(key)
            self._own.add(part)
        return True

    def _apply(self, part: int, row: TableRow) -> None:
        known = self._position_by_part.get(part)
        if known is not None and row.position <= known:
            return
        if row.is_deleted:
            if known is not None:
                del self._position_by_part[part]
                self._held.clear(part)
            return
        self._position_by_part[part] = row.position
        if row.is_restored:
            return
        stored = decode_json(row.value, HeldPartRow)
        if stored is None:
            log.error("poison: row %s cannot be decoded", row.key)
            return
        self._held.hold(
            self._clock.now_ms(),
            part,
            crashes=stored.crashes,
            trials=stored.trials,
            had_answers=stored.had_answers,
            is_provisional=stored.is_provisional,
            held_ms=read_ms(self._store.time, stored.held_store_ms),
        )

    def _row_of(self, hold: PartHold) -> HeldPartRow:
        return HeldPartRow(
            hold.crashes,
            hold.trials,
            hold.had_answers,
            hold.is_provisional,
            stored_ms(self._store.time, hold.held_ms),
        )
