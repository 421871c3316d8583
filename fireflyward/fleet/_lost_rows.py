"""Fetches operators' rows that a restored store lacks from other nodes."""

import asyncio
import logging
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.feeds import SharedTables, TableUpdate

log = logging.getLogger("fireflyward.feeds")

# Other nodes respond once they have read the new era themselves, and a node has its
# link to them some 300 ms after it starts.
_FETCH_PAUSES_MS = (0, 300, 700)


class LostRowRecovery:
    """Fetches rows that operators wrote after the snapshot that was restored.

    A node that starts, or reconnects, before operators have written these rows again
    reads only the older snapshot. It would accept a key that was withdrawn, and send
    requests to a failure domain that is evacuated. Other nodes still have the rows.
    """

    def __init__(
        self,
        table: str,
        *,
        tables: SharedTables,
        clock: Clock,
        on_update: Callable[[TableUpdate], None],
    ) -> None:
        self._table = table
        self._tables = tables
        self._clock = clock
        self._on_update = on_update
        self._era = 0
        self._is_fetch_pending = asyncio.Event()

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply an update of the table; request the lost rows once for each new era."""
        self._on_update(update)
        if update.position.era > self._era:
            self._era = update.position.era
            self._is_fetch_pending.set()

    async def run(self) -> None:
        """Fetch lost rows after each new era, until cancelled."""
        while True:
            await self._is_fetch_pending.wait()
            era = self._era
            for pause_ms in _FETCH_PAUSES_MS:
                await self._clock.sleep_ms(pause_ms)
                await self._fetch()
            # A fetch that fails leaves the event set, so that the next run repeats it.
            if era == self._era:
                self._is_fetch_pending.clear()

    async def _fetch(self) -> None:
        for update in await self._tables.fetch_retained_rows(self._table):
            keys = ", ".join(row.key for row in update.rows)
            log.info("feeds: %s has rows that the store lacks: %s", self._table, keys)
            self._on_update(update)
