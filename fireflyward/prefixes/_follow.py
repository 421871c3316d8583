"""The task that follows the events of one store of KV cache."""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Protocol

from fireflyward.clock import Clock, within_ms

from ._index import KvUpdate, StoreIndex

log = logging.getLogger("fireflyward.prefixes")

# A call of events ends after its wait; one that lasts this much longer is lost.
_LIMIT_MS = 700
_PAUSE_MS = 500
_WAIT_MS = 1_000
# Between the calls of an aggregator, which follows every store for its domain: with
# twenty stores it makes some 130 calls a second, each of which costs 0.3 ms.
_AGGREGATOR_PAUSE_MS = 150
# A listener asks the store by itself after this long without word of it. Calls that
# wait less than 200 ms are charged as probes.
_UNHEARD_MS = 1_600
_SHORT_WAIT_MS = 250
# The way to the aggregator and back with one lost packet; a whole list is some 150 KB.
NEIGHBOUR_LIMIT_MS = 600
# After a restart of a store saves wait until every node knows of it: the aggregator
# by its own call, a listener that misses its word by a call of the aggregator after
# that, and of the store where this fails.
_UNSEEN_MS = (
    _WAIT_MS + _LIMIT_MS + _UNHEARD_MS + NEIGHBOUR_LIMIT_MS + _SHORT_WAIT_MS + _LIMIT_MS
)


class Following(enum.Enum):
    """How a node learns of a store's events."""

    BY_ITSELF = "by itself"
    FOR_OTHERS = "for others"
    FROM_AGGREGATOR = "from the aggregator"


class KvReader(Protocol):
    """What a follower needs of a store; None stands for no answer."""

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvUpdate | None: ...

    async def kv_list(self, address: str, *, limit_ms: float) -> KvUpdate | None: ...


class StoreFollower:
    """Keeps one ``StoreIndex`` up to date.

    A few nodes each wait at the store. A store lets about a dozen callers wait, so
    of many nodes only the aggregators do, and tell the others what they read. A
    listener that hears nothing, or misses something, asks once; its reader passes the
    question to the aggregator (``SharedStoreReader``).
    """

    def __init__(
        self,
        index: StoreIndex,
        *,
        reader: KvReader,
        clock: Clock,
        mode: Callable[[], Following],
        on_read: Callable[[str, KvUpdate], None] = lambda address, news: None,
    ) -> None:
        self._index = index
        self._reader = reader
        self._clock = clock
        self._mode = mode
        self._on_read = on_read
        self._missed = asyncio.Event()
        self._heard_ms = -_UNHEARD_MS

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            mode = self._mode()
            if mode is Following.FROM_AGGREGATOR and not self._must_ask():
                await within_ms(self._clock, _UNHEARD_MS, self._missed.wait())
                continue
            pause_ms = _AGGREGATOR_PAUSE_MS if mode is Following.FOR_OTHERS else 0
            if not await self.step():
                pause_ms = _PAUSE_MS
            if pause_ms:
                await self._clock.sleep_ms(pause_ms)

    async def step(self) -> bool:
        """Make one call; return whether the store answered."""
        index = self._index
        self._missed.clear()
        waits_long = self._mode() is not Following.FROM_AGGREGATOR
        news = await self._reader.kv_events(
            index.address,
            since=index.next_event,
            wait_ms=_WAIT_MS if waits_long else _SHORT_WAIT_MS,
            limit_ms=_LIMIT_MS,
        )
        if news is None:
            return self._silent()
        if news.epoch != index.epoch:
            self._begin(news.epoch)
            if news.since != 0:
                return True
        if not index.take(news):
            whole = await self._reader.kv_list(index.address, limit_ms=_LIMIT_MS)
            if whole is None:
                return self._silent()
            news = index.difference(whole)
            index.take(whole)
        self._on_read(index.address, news)
        self._heard_ms = self._clock.now_ms()
        return True

    def hear(self, news: KvUpdate) -> None:
        """Take what an aggregator read, if it follows on what is known here."""
        index = self._index
        if news.epoch != index.epoch and news.since == 0:
            self._begin(news.epoch)
        if news.epoch != index.epoch or news.since > index.next_event:
            self._missed.set()
            return
        self._heard_ms = self._clock.now_ms()
        if index.next_event < news.next_event:
            # What is known already is taken once more, up to where the news leads.
            index.take(news)

    def _must_ask(self) -> bool:
        silent_ms = self._clock.now_ms() - self._heard_ms
        return self._missed.is_set() or silent_ms >= _UNHEARD_MS

    def _begin(self, epoch: int) -> None:
        """Begin with a life of the store, in which it was empty at first.

        A node that starts cannot know whether that life is new to the others.
        """
        if self._index.epoch is not None:
            log.info("prefixes: store %s restarted and is empty", self._index.address)
        self._index.restart(epoch, no_saves_until_ms=self._clock.now_ms() + _UNSEEN_MS)

    def _silent(self) -> bool:
        if self._index.is_up:
            log.warning("prefixes: store %s does not answer", self._index.address)
        self._index.on_silence()
        return False
