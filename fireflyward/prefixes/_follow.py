"""The task that follows the events of one store of KV cache."""

import logging
from collections.abc import Callable
from typing import Protocol

from fireflyward.clock import Clock

from ._index import KvNews, StoreIndex

log = logging.getLogger("fireflyward.prefixes")

_WAIT_MS = 1_000
_LIMIT_MS = 700
_PAUSE_MS = 500
# A store holds a dozen waiting calls at once and refuses more. Up to this many nodes
# wait all the time; with more of them each asks in turns, for a short wait.
_WAITERS = 9
_SHORT_WAIT_MS = 250


def polling(nodes: int) -> tuple[int, int]:
    """Return how long a call waits and how long the pause after it is, in ms.

    >>> polling(9), polling(90)
    ((1000, 0), (250, 2250))
    """
    if nodes <= _WAITERS:
        return _WAIT_MS, 0
    return _SHORT_WAIT_MS, _SHORT_WAIT_MS * (nodes - _WAITERS) // _WAITERS


class KvReader(Protocol):
    """What a follower needs of a store; None stands for no answer."""

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvNews | None: ...

    async def kv_list(self, address: str, *, limit_ms: float) -> KvNews | None: ...


class StoreFollower:
    """Keeps one ``StoreIndex`` up to date."""

    def __init__(
        self,
        index: StoreIndex,
        *,
        reader: KvReader,
        clock: Clock,
        nodes: Callable[[], int],
    ) -> None:
        self._nodes = nodes
        self._index = index
        self._reader = reader
        self._clock = clock

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            _, pause_ms = polling(self._nodes())
            if not await self.step():
                pause_ms = max(_PAUSE_MS, pause_ms)
            if pause_ms:
                await self._clock.sleep_ms(pause_ms)

    async def step(self) -> bool:
        """Make one call; return whether the store answered."""
        index = self._index
        wait_ms, pause_ms = polling(self._nodes())
        news = await self._reader.kv_events(
            index.address,
            since=index.next_event,
            wait_ms=wait_ms,
            limit_ms=_LIMIT_MS,
        )
        if news is None:
            return self._silent()
        if news.epoch != index.epoch and index.epoch is not None:
            log.info("prefixes: store %s restarted and is empty", index.address)
            index.next_event = 0
            # Until every node has asked once more, some believe in the old parts.
            unseen_ms = _LIMIT_MS + 2 * (wait_ms + pause_ms)
            index.hold_saves(self._clock.now_ms() + unseen_ms)
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
