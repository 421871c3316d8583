"""Rows of operators that an older copy of the store lacks, as other nodes know them."""

import asyncio
import logging
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.feeds import Followed, SharedTables

log = logging.getLogger("fireflyward.feeds")

# Others answer once they have read the new era themselves, and a node that starts has
# its link to them after some 300 ms.
_FETCH_PAUSES_MS = (0, 300, 700)


class LostRowRecovery:
    """Asks other nodes for what operators wrote shortly before a drill.

    A node that starts, or ends a cut, while operators have not written again reads the
    copy and knows nothing newer: it would accept a key that was withdrawn, and send to
    a failure domain that is evacuated. Others hold what they knew.
    """

    def __init__(
        self,
        table: str,
        *,
        tables: SharedTables,
        clock: Clock,
        on_update: Callable[[Followed], None],
    ) -> None:
        self._table = table
        self._tables = tables
        self._clock = clock
        self._on_update = on_update
        self._era = 0
        self._is_fetch_pending = asyncio.Event()

    def on_table_update(self, update: Followed) -> None:
        """Take news of the table, and look once for what each era may lack."""
        self._on_update(update)
        if update.position.era > self._era:
            self._era = update.position.era
            self._is_fetch_pending.set()

    async def run(self) -> None:
        """Ask when an era was first seen, until cancelled."""
        while True:
            await self._is_fetch_pending.wait()
            self._is_fetch_pending.clear()
            for pause_ms in _FETCH_PAUSES_MS:
                await self._clock.sleep_ms(pause_ms)
                await self._fetch()

    async def _fetch(self) -> None:
        for update in await self._tables.carried(self._table):
            keys = ", ".join(row.key for row in update.rows)
            log.info("feeds: %s has rows that the store lacks: %s", self._table, keys)
            self._on_update(update)
