"""The task that follows the events of one store of KV cache."""

import logging
from typing import Protocol

from fireflyward.clock import Clock

from ._index import KvNews, StoreIndex

log = logging.getLogger("fireflyward.prefixes")

_WAIT_MS = 1_000
_LIMIT_MS = 700
_PAUSE_MS = 500


class KvReader(Protocol):
    """What a follower needs of a store; None stands for no answer."""

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvNews | None: ...

    async def kv_list(self, address: str, *, limit_ms: float) -> KvNews | None: ...


class StoreFollower:
    """Keeps one ``StoreIndex`` up to date."""

    def __init__(self, index: StoreIndex, *, reader: KvReader, clock: Clock) -> None:
        self._index = index
        self._reader = reader
        self._clock = clock

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self.step():
                await self._clock.sleep_ms(_PAUSE_MS)

    async def step(self) -> bool:
        """Make one call; return whether the store answered."""
        index = self._index
        news = await self._reader.kv_events(
            index.address,
            since=index.next_event,
            wait_ms=_WAIT_MS,
            limit_ms=_LIMIT_MS,
        )
        if news is None:
            return self._silent()
        if news.epoch != index.epoch and index.epoch is not None:
            log.info("prefixes: store %s restarted and is empty", index.address)
            index.next_event = 0
        if index.take(news):
            return True
        whole = await self._reader.kv_list(index.address, limit_ms=_LIMIT_MS)
        if whole is None:
            return self._silent()
        index.take(whole)
        return True

    def _silent(self) -> bool:
        if self._index.is_up:
            log.warning("prefixes: store %s does not answer", self._index.address)
        self._index.on_silence()
        return False
