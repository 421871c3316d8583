"""Many nodes read events of KV stores from the aggregator of their domain."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.peers import CallFailed, PeerLink

from ._encoding import decoded, encoded
from ._follow import NEIGHBOUR_LIMIT_MS, KvReader
from ._index import KvEvent, KvNews, StoreIndex
from ._prefixes_structs import StoreAnswer, StoreAsk

log = logging.getLogger("fireflyward.prefixes")

_KIND = "store events"
_EVENTS, _LOST, _WHOLE, _UNABLE = "events", "lost", "whole", "unable"
# The last calls whose events an aggregator keeps for each store: at 150 ms a call and
# more, ten seconds, which is longer than any datagram or pause of a node that goes on.
_CALLS_KEPT = 64
_MS_PER_SECOND = 1_000


class RecentEvents:
    """The last events of one store, as they were read; no I/O.

    >>> recent = RecentEvents()
    >>> recent.take(KvNews(7, (), 12, since=10))
    >>> recent.take(KvNews(7, (), 15, since=12))
    >>> recent.after(11).next_event, recent.after(3) is None
    (15, True)
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: deque[KvNews] = deque(maxlen=_CALLS_KEPT)

    def take(self, news: KvNews) -> None:
        """Take what one call read; a gap or another life of the store ends the rest."""
        last = self._calls[-1] if self._calls else None
        if last is not None:
            if news.since != last.next_event or news.epoch != last.epoch:
                self._calls.clear()
            elif news.next_event == last.next_event:
                return
        self._calls.append(news)

    def after(self, since: int) -> KvNews | None:
        """Return all events after a number, None if they are not all kept.

        To whoever knows more than this node nothing is new; what it has seen freed
        must not come back to it.
        """
        if not self._calls or self._calls[0].since > since:
            return None
        last = self._calls[-1]
        if since >= last.next_event:
            return KvNews(last.epoch, (), since, since=since)
        events: list[KvEvent] = []
        for news in self._calls:
            if news.next_event > since:
                events += news.events
        return KvNews(last.epoch, tuple(events), last.next_event, since=since)


class SharedEvents:
    """Reads stores through the aggregator, and from the store where that fails.

    A store lets about a dozen callers wait and turns others away. When one datagram
    of an aggregator was lost, or too large to be sent, all its neighbours asked the
    store at once and again each half second: with 195 nodes and 15 stores 690 calls a
    second that were refused or charged, while prompts were read again that the stores
    held. Asked for, the aggregator tells what it has read itself.
    """

    def __init__(
        self,
        reader: KvReader,
        *,
        clock: Clock,
        aggregators: Aggregators,
        index_of: Callable[[str], StoreIndex | None],
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._aggregators = aggregators
        self._index_of = index_of
        self._link: PeerLink | None = None
        self._recent_by_address: dict[str, RecentEvents] = {}

    def use(self, link: PeerLink) -> None:
        """Ask and answer over a link from now on."""
        self._link = link
        link.register(_KIND, StoreAsk, self._answer)

    def on_read(self, address: str, news: KvNews) -> None:
        """Keep what this node read of a store, for those that miss it."""
        self._recent_by_address.setdefault(address, RecentEvents()).take(news)

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvNews | None:
        """Return the events after ``since``; an aggregator answers at once."""
        ask = StoreAsk(address=address, since=since, is_whole=False)
        answer = await self._ask(ask)
        if answer is None:
            return await self._reader.kv_events(
                address, since=since, wait_ms=wait_ms, limit_ms=limit_ms
            )
        return _news(answer)

    async def kv_list(self, address: str, *, limit_ms: float) -> KvNews | None:
        """Return all that a store holds."""
        answer = await self._ask(StoreAsk(address=address, since=0, is_whole=True))
        if answer is None:
            return await self._reader.kv_list(address, limit_ms=limit_ms)
        return _news(answer)

    def _asked(self) -> Member | None:
        if self._link is None or not self._aggregators.are_needed:
            return None
        return self._aggregators.own_aggregator(self._clock.now_ms())

    async def _ask(self, ask: Any) -> Any | None:
        """Return the aggregator's answer, None where the store is to be asked."""
        aggregator = self._asked()
        if self._link is None or aggregator is None:
            return None
        answer = await self._link.call(
            aggregator.address,
            _KIND,
            ask,
            StoreAnswer,
            limit_s=NEIGHBOUR_LIMIT_MS / _MS_PER_SECOND,
        )
        if isinstance(answer, CallFailed):
            log.info("prefixes: %s not by %s: %s", ask.address, aggregator.name, answer)
            return None
        return answer

    async def _answer(self, sender: str, ask: Any) -> Any:
        """Answer a neighbour by what this node has read of a store."""
        index = self._index_of(ask.address)
        if index is None or index.epoch is None or not index.is_up:
            return StoreAnswer(outcome=_UNABLE)
        if ask.is_whole:
            return StoreAnswer(
                outcome=_WHOLE, events=encoded(ask.address, index.whole())
            )
        recent = self._recent_by_address.get(ask.address)
        news = None if recent is None else recent.after(ask.since)
        if news is None or news.epoch != index.epoch:
            lost = KvNews(index.epoch, (), index.next_event, since=ask.since)
            return StoreAnswer(outcome=_LOST, events=encoded(ask.address, lost))
        return StoreAnswer(outcome=_EVENTS, events=encoded(ask.address, news))


def _news(answer: Any) -> KvNews | None:
    if answer.outcome == _UNABLE or answer.events is None:
        return None
    return decoded(
        answer.events,
        is_whole=answer.outcome == _WHOLE,
        was_lost=answer.outcome == _LOST,
    )
