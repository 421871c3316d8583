"""Publishes the events of stores from an aggregator to its failure domain."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.peers import PeerLink

from ._encoding import decode, encode
from ._follow import FollowMode, StoreFollower
from ._index import KvUpdate
from ._prefixes_structs import StoresNews

_KIND = "stores"
# How often an aggregator publishes the events that it read. A prompt that is repeated
# sooner than this is prefilled again, which is rare.
_PERIOD_MS = 100
# A node that is no aggregator has nothing to publish, and only checks whether it has
# become one.
_IDLE_PERIOD_MS = 500
# The aggregator publishes an update of every store at least this often, even without
# events, which shows a listener that it has missed none. After 1.6 s without an
# update, a listener makes a call of its own.
_KEEPALIVE_MS = 500
# Encoded sizes without the texts. A datagram holds 1,400 bytes, some 120 of which the
# envelope takes. A message that turns out larger is not sent at all, and then every
# neighbour has to call for the events of every store in it.
_STORE_BYTES = 74
_SALT_BYTES = 4
_EVENT_BYTES = 12
_MAX_MESSAGE_BYTES = 1_150


class StorePublisher:
    """Publishes the updates that followers read, and passes received ones to them."""

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
        self._unpublished: list[tuple[str, KvUpdate]] = []
        self._last_by_address: dict[str, tuple[int, KvUpdate]] = {}

    def mode(self) -> FollowMode:
        """Return how this node currently follows stores."""
        if not self._aggregators.are_needed:
            return FollowMode.INDEPENDENT
        if self._aggregators.own_aggregator(self._clock.now_ms()) is None:
            return FollowMode.AS_AGGREGATOR
        return FollowMode.FROM_AGGREGATOR

    def on_read(self, address: str, update: KvUpdate) -> None:
        """Keep an update that was read from a store until it is published."""
        if self.mode() is not FollowMode.AS_AGGREGATOR:
            self._last_by_address.pop(address, None)
            return
        last = self._last_by_address.get(address)
        published_ms = last[0] if last else 0
        # The event numbers also advance over events that never arrive. A listener that
        # did not receive such an update would treat the next one as a gap.
        has_advanced = update.next_event != update.since
        if has_advanced or self._clock.now_ms() - published_ms >= _KEEPALIVE_MS:
            self._unpublished.append((address, update))
            published_ms = self._clock.now_ms()
        self._last_by_address[address] = published_ms, update

    async def run(self, link: PeerLink) -> None:
        """Publish and receive updates until cancelled."""
        self.use(link)
        while True:
            publishes = self.mode() is FollowMode.AS_AGGREGATOR
            await self._clock.sleep_ms(_PERIOD_MS if publishes else _IDLE_PERIOD_MS)
            self.publish(link)

    def use(self, link: PeerLink) -> None:
        """Register the handler for the aggregator's updates on a link."""
        link.register(
            _KIND,
            StoresNews,
            self._on_store_events,
            expires=True,
            handle_delayed=self._on_delayed_events,
        )

    def publish(self, link: PeerLink) -> None:
        """Send the neighbours the updates that were read since the last call."""
        unpublished, self._unpublished = self._unpublished, []
        neighbours = self._aggregators.neighbour_addresses()
        for group in _split(unpublished):
            message = StoresNews(stores=[encode(*item) for item in group])
            link.send_all(neighbours, _KIND, message)

    async def _on_store_events(self, sender: str, message: Any) -> None:
        self._apply(message, has_waited=False)

    async def _on_delayed_events(self, sender: str, message: Any) -> None:
        self._apply(message, has_waited=True)

    def _apply(self, message: Any, *, has_waited: bool) -> None:
        follower_by_address = dict(self._followers())
        for store_events in message.stores:
            follower = follower_by_address.get(store_events.address)
            update = decode(store_events)
            if follower is not None and update is not None:
                follower.on_update(update, has_waited=has_waited)


def encoded_bytes(address: str, update: KvUpdate) -> int:
    """Return the size of an update in a message."""
    salts = {event.key.salt for event in update.events}
    return (
        _STORE_BYTES
        + len(address)
        + sum(_SALT_BYTES + len(salt) for salt in salts)
        + sum(_EVENT_BYTES + len(event.key.part_id) for event in update.events)
    )


def _split(
    unpublished: list[tuple[str, KvUpdate]],
) -> Iterator[list[tuple[str, KvUpdate]]]:
    """Split the updates into groups that fit into a datagram.

    The events of one update stay together. If one update alone is too large for a
    datagram it is not sent, and listeners detect the gap when they receive the next.
    """
    group: list[tuple[str, KvUpdate]] = []
    size = 0
    for address, update in unpublished:
        update_bytes = encoded_bytes(address, update)
        if group and size + update_bytes > _MAX_MESSAGE_BYTES:
            yield group
            group, size = [], 0
        group.append((address, update))
        size += update_bytes
    if group:
        yield group
