"""How many nodes share the deployment's budgets."""

import logging

from fireflyward.backing import Committed, Unavailable
from fireflyward.clock import Clock
from fireflyward.platform import StoreClient

log = logging.getLogger("fireflyward.peers")

_TABLE = "fireflyward-nodes"
_PERIOD_MS = 10_000
_SOON_MS = 1_000


class PeerCount:
    """Counts nodes by the rows that each writes once.

    Rows of nodes that are gone stay, so the count errs upwards and the nodes
    together stay within the budget.
    """

    __slots__ = ("_clock", "_is_written", "_node", "_nodes", "_store", "period_ms")

    def __init__(self, store: StoreClient, node: str, *, clock: Clock) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self._nodes = 1
        self._is_written = False
        self.period_ms = _SOON_MS

    async def count(self) -> int:
        """Return the number of nodes as far as the store tells."""
        found = await self._store.rows(_TABLE)
        if isinstance(found, Unavailable):
            return self._nodes
        names = {row.key for row in found.rows}
        self._nodes = len(names | {self._node})
        if self._node in names:
            self._is_written = True
        if not self._is_written:
            result = await self._store.write(
                table=_TABLE,
                part="",
                expected={self._node: 0},
                puts={self._node: b"1"},
            )
            self._is_written = isinstance(result, Committed)
            self.period_ms = _SOON_MS
        else:
            self.period_ms = _PERIOD_MS
        return self._nodes
