"""Events of stores, as an aggregator tells the nodes of its failure domain."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.peers import PeerLink

from ._encoding import decoded, encoded
from ._follow import Following, StoreFollower
from ._index import KvNews
from ._prefixes_structs import StoresNews

_KIND = "stores"
# How often an aggregator tells what it read; a prompt that comes back sooner is read
# again, which is rare.
_PERIOD_MS = 100
# A node that reads no store for others has nothing to tell, and looks only whether it
# has become the one that does.
_IDLE_PERIOD_MS = 500
# Every store is named at least this often, so that a listener knows that it misses
# nothing; it asks by itself after 1.6 s.
_SIGN_OF_LIFE_MS = 500
# An event takes some 20 bytes and a store some 60; a datagram holds 1,400.
_EVENT_BYTES = 22
_STORE_BYTES = 70
_MOST_BYTES = 1_150


class StoreTelling:
    """Collects what followers read, tells it, and gives followers what is told."""

    def __init__(
        self,
        *,
        clock: Clock,
        aggregators: Aggregators,
        followers: Callable[[], Iterable[tuple[str, StoreFollower]]],
    ) -> None:
        self._clock = clock
        self._aggregators = aggregators
        self._followers = followers
        self._unsaid: list[tuple[str, KvNews]] = []
        self._last_by_address: dict[str, tuple[int, KvNews]] = {}

    def way(self) -> Following:
        """Return how this node follows stores now."""
        if not self._aggregators.are_needed:
            return Following.BY_ITSELF
        if self._aggregators.own_aggregator(self._clock.now_ms()) is None:
            return Following.FOR_OTHERS
        return Following.FROM_AGGREGATOR

    def on_read(self, address: str, news: KvNews) -> None:
        """Keep what was read from a store until it is told."""
        if self.way() is not Following.FOR_OTHERS:
            self._last_by_address.pop(address, None)
            return
        known = self._last_by_address.get(address)
        told_ms = known[0] if known else 0
        # Numbers go on also over events that never arrive; a listener that was not
        # told of those would take the next news for a gap.
        goes_on = news.next_event != news.since
        if goes_on or self._clock.now_ms() - told_ms >= _SIGN_OF_LIFE_MS:
            self._unsaid.append((address, news))
            told_ms = self._clock.now_ms()
        self._last_by_address[address] = told_ms, news

    async def run(self, link: PeerLink) -> None:
        """Tell and listen until cancelled."""
        self.listen(link)
        while True:
            tells = self.way() is Following.FOR_OTHERS
            await self._clock.sleep_ms(_PERIOD_MS if tells else _IDLE_PERIOD_MS)
            self.tell(link)

    def listen(self, link: PeerLink) -> None:
        """Hear what the aggregator tells over a link."""
        link.register(_KIND, StoresNews, self._hear)

    def tell(self, link: PeerLink) -> None:
        """Tell what was read since the last call."""
        unsaid, self._unsaid = self._unsaid, []
        neighbours = self._aggregators.neighbour_addresses()
        for group in _groups(unsaid):
            news = StoresNews(stores=[encoded(*item) for item in group])
            link.send_all(neighbours, _KIND, news)

    async def _hear(self, sender: str, news: Any) -> None:
        follower_by_address = dict(self._followers())
        for told in news.stores:
            follower = follower_by_address.get(told.address)
            if follower is not None:
                follower.hear(decoded(told))


def _groups(unsaid: list[tuple[str, KvNews]]) -> Iterator[list[tuple[str, KvNews]]]:
    """Cut what is to be told into what fits into a datagram.

    What one call read stays together. If that alone is too much it is not sent, and
    listeners find that they miss something by the next one.
    """
    group: list[tuple[str, KvNews]] = []
    size = 0
    for address, news in unsaid:
        more = _STORE_BYTES + _EVENT_BYTES * len(news.events)
        if group and size + more > _MOST_BYTES:
            yield group
            group, size = [], 0
        group.append((address, news))
        size += more
    if group:
        yield group
