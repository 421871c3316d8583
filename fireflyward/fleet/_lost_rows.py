"""Rows of operators that an older copy of the store lacks, as other nodes know them."""

import asyncio
import logging
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.feeds import SharedTables, TableUpdate

log = logging.getLogger("fireflyward.feeds")

# Others answer once they have read the new era themselves, and a node that starts has
# its link to them after some 300 ms.
_PAUSES_MS = (0, 300, 700)


class LostRows:
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
        on_news: Callable[[TableUpdate], None],
    ) -> None:
        self._table = table
        self._tables = tables
        self._clock = clock
        self._on_news = on_news
        self._era = 0
        self._is_wanted = asyncio.Event()

    def heard_by(self, news: TableUpdate) -> None:
        """Take news of the table, and look once for what each era may lack."""
        self._on_news(news)
        if news.position.era > self._era:
            self._era = news.position.era
            self._is_wanted.set()

    async def run(self) -> None:
        """Ask when an era was first seen, until cancelled."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            for pause_ms in _PAUSES_MS:
                await self._clock.sleep_ms(pause_ms)
                await self._ask()

    async def _ask(self) -> None:
        for news in await self._tables.fetch_retained_rows(self._table):
            keys = ", ".join(row.key for row in news.rows)
            log.info("feeds: %s has rows that the store lacks: %s", self._table, keys)
            self._on_news(news)
