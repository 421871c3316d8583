"""The task that records replicas' speeds and announces changes to other nodes."""

import logging
from collections.abc import Iterable, Iterator
from functools import partial
from typing import Any

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.peers import Address, PeerLink
from fireflyward.platform import ResponseFacts
from fireflyward.replicas import SPEED_EXPIRY_MS, ReplicaDirectory, ReplicaState

from ._batches import SpeedBatches
from ._pause_times import PauseTimes
from ._speeds_structs import SpeedNews

log = logging.getLogger("fireflyward.speeds")

# To all nodes that are to know; from a node to its aggregator; between aggregators.
_NEWS, _FROM_NODE, _FROM_DOMAIN = "speeds", "speeds of a node", "speeds of a domain"
_KINDS = (_NEWS, _FROM_NODE, _FROM_DOMAIN)
# How many bytes per ms a node may get from its aggregator, an aggregator from the nodes
# of its domain and from the other aggregators, and a node of a small fleet from all
# others. The sums are at most 4, which is the limit for control messages.
_NEWS_BYTES_PER_MS = 2.0
_FROM_NODES_BYTES_PER_MS = 1.5
_FROM_DOMAINS_BYTES_PER_MS = 2.5
_FROM_ALL_BYTES_PER_MS = 4.0
# A replica takes 8 bytes; a datagram has room for 1,400.
_MAX_REPLICAS_PER_DATAGRAM = 140
_ENTRY_BYTES = 8
# Tag, envelope without the kind, and the lengths of the lists.
_DATAGRAM_BYTES = 104
_MAX_PERCENT = 2**15 - 1


class SpeedTask:
    """Records how fast replicas are, and announces changes to other nodes.

    A few nodes announce what they observed to all others. Many nodes announce it to the
    aggregator of their failure domain, which passes on what is new to it. The counters
    are for the metrics page; ``expired`` counts changes that waited too long to send.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        aggregators: Aggregators,
        pauses: PauseTimes,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._aggregators = aggregators
        self._pauses = pauses
        self._batches_by_kind = {kind: SpeedBatches() for kind in _KINDS}
        self._link: PeerLink | None = None
        self.unreadable = 0
        self.announced = 0
        self.received = 0
        self.expired = 0

    def use(self, link: PeerLink) -> None:
        """Send and receive announcements over a link from now on."""
        self._link = link
        for kind, handle in (
            (_NEWS, self._on_news),
            (_FROM_NODE, self._on_news_from_node),
            (_FROM_DOMAIN, self._on_news_from_domain),
        ):
            link.register(kind, SpeedNews, handle, expires=True)

    def on_response(self, replica: ReplicaState, facts: ResponseFacts) -> None:
        """Record the speed that an answer reports."""
        if facts.incarnation != replica.entry.incarnation:
            if facts.is_other_replica or facts.incarnation is not None:
                return
        if facts.invalid_load is not None:
            self._on_unreadable(replica, facts.invalid_load.value)
        elif facts.load is not None and facts.load.work_percent is not None:
            now_ms, percent = self._clock.now_ms(), facts.load.work_percent
            if replica.speed.record(now_ms, percent):
                self._schedule(replica.incarnation_id, self._own_kinds())

    def on_pause(self, replica: ReplicaState, pause_ms: float) -> None:
        """Learn from the time between two parts of a stream."""
        speed = replica.speed
        if speed.percent is not None:
            factor = speed.factor(self._clock.now_ms())
            self._pauses.on_pause(replica.entry.service, pause_ms, factor)

    def _on_unreadable(self, replica: ReplicaState, value: str) -> None:
        """Count a load report that cannot be decoded; log the first of a replica."""
        self.unreadable += 1
        if not replica.speed.has_unreadable_report:
            replica.speed.has_unreadable_report = True
            name = replica.entry.incarnation
            log.warning("speeds: load report of %s is unreadable: %.80r", name, value)

    def _schedule(self, incarnation_id: int, kinds: Iterable[str]) -> None:
        now_ms = self._clock.now_ms()
        for kind in kinds:
            rate = self._bytes_per_ms(kind)
            delay_ms = self._batches_by_kind[kind].add(now_ms, incarnation_id, rate)
            if delay_ms is not None:
                self._clock.call_later_ms(delay_ms, partial(self._send_batch, kind))

    def _own_kinds(self) -> tuple[str, ...]:
        """Return the kinds of message that announce what this node observed."""
        if not self._aggregators.are_needed:
            return (_NEWS,)
        if self._aggregators.own_aggregator(self._clock.now_ms()) is not None:
            return (_FROM_NODE,)
        return (_FROM_DOMAIN, _NEWS)

    def _bytes_per_ms(self, kind: str) -> float:
        """Return how much this node may send; several nodes send to an aggregator."""
        if kind == _FROM_NODE:
            senders = len(self._aggregators.neighbour_addresses())
            return _FROM_NODES_BYTES_PER_MS / max(1, senders)
        if kind == _FROM_DOMAIN:
            senders = len(self._aggregators.other_domains())
            return _FROM_DOMAINS_BYTES_PER_MS / max(1, senders)
        if not self._aggregators.are_needed:
            senders = len(self._aggregators.all_addresses())
            return _FROM_ALL_BYTES_PER_MS / max(1, senders)
        return _NEWS_BYTES_PER_MS

    def _send_batch(self, kind: str) -> None:
        now_ms = self._clock.now_ms()
        batches = self._batches_by_kind[kind]
        states = self._fresh(now_ms, batches.take())
        addresses = self._receivers(now_ms, kind)
        if self._link is None or not addresses:
            return
        for part in _parts(states):
            self._link.send_all(addresses, kind, _encode(now_ms, part))
            self.announced += len(part)
            entries = _ENTRY_BYTES * len(part)
            batches.on_sent(_DATAGRAM_BYTES + len(kind) + entries)

    def _fresh(self, now_ms: int, batch: set[int]) -> list[ReplicaState]:
        """Return the batch's replicas that are still listed and whose figures count."""
        found = map(self._directory.find_incarnation, sorted(batch))
        listed = [state for state in found if state is not None]
        fresh = [state for state in listed if state.speed.left_ms(now_ms)]
        self.expired += len(listed) - len(fresh)
        return fresh

    def _receivers(self, now_ms: int, kind: str) -> list[Address]:
        aggregators = self._aggregators
        if kind == _FROM_NODE:
            members = [aggregators.own_aggregator(now_ms)]
        elif kind == _FROM_DOMAIN:
            domains = aggregators.other_domains()
            members = [aggregators.aggregator_of(now_ms, item) for item in domains]
        elif aggregators.are_needed:
            return aggregators.neighbour_addresses()
        else:
            return aggregators.all_addresses()
        return [member.address for member in members if member is not None]

    async def _on_news(self, sender: str, message: Any) -> None:
        self._apply(message, is_announced=True)

    async def _on_news_from_node(self, sender: str, message: Any) -> None:
        for incarnation_id in self._apply(message):
            self._schedule(incarnation_id, (_FROM_DOMAIN, _NEWS))

    async def _on_news_from_domain(self, sender: str, message: Any) -> None:
        for incarnation_id in self._apply(message):
            self._schedule(incarnation_id, (_NEWS,))

    def _apply(self, message: Any, *, is_announced: bool = False) -> list[int]:
        """Record received figures; return the replicas whose figure was news here.

        Without ``is_announced``, the nodes of this domain haven't received them.
        """
        now_ms, news = self._clock.now_ms(), []
        columns = (message.replicas, message.percents, message.ages_ms)
        for incarnation_id, percent, age_ms in zip(*columns, strict=False):
            state = self._directory.find_incarnation(incarnation_id)
            if state is None or percent <= 0:
                continue
            self.received += 1
            as_of_ms = now_ms - max(0, age_ms)
            if state.speed.record(as_of_ms, percent, is_announced=is_announced):
                news.append(incarnation_id)
        return news


def _parts(states: list[ReplicaState]) -> Iterator[list[ReplicaState]]:
    for first in range(0, len(states), _MAX_REPLICAS_PER_DATAGRAM):
        yield states[first : first + _MAX_REPLICAS_PER_DATAGRAM]


def _encode(now_ms: int, states: list[ReplicaState]) -> Any:
    speeds = [state.speed for state in states]
    return SpeedNews(
        replicas=[state.incarnation_id for state in states],
        percents=[min(speed.percent, _MAX_PERCENT) for speed in speeds],
        ages_ms=[min(now_ms - speed.as_of_ms, SPEED_EXPIRY_MS) for speed in speeds],
    )
