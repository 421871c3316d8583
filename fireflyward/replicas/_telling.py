"""Tells the other nodes what this one has under way, and hears of theirs."""

import logging
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.peers import PeerLink

from ._directory import ReplicaDirectory
from ._replicas_structs import UnderWayNews
from ._under_way import PeerUnderWay, Told, UnderWay

log = logging.getLogger("fireflyward.aggregators")


_NEWS, _SUM, _TOTAL = "under way", "under way in a domain", "under way in all"
# How often a node tells of changes: a prompt takes 5 to 100 ms to read, so older
# news would send several nodes' requests to the same replica. An aggregator sums up
# less often than that anyway.
_PERIOD_MS = 25
_TO_AGGREGATOR_PERIOD_MS = 50
# Told again when nothing changes, for datagrams that were lost.
_REPEAT_MS = 700
# How often an aggregator tells its sum and the total: 2 ms for each node that it
# tells, each of which costs some 25 us to send and 150 us to hear.
_SUM_PERIOD_MS = 80
_SUM_MS_PER_NODE = 2.0
_SUM_REPEAT_MS = 500
# An aggregator whose messages take more than this of its link tells less often; a
# full link would hold up the answers that it carries, and the news itself.
_LINK_SHARE = 0.25
_BITS_PER_MS_PER_MBPS = 1_000
# An aggregator speaks at least this often, so that its silence is noticed.
_SIGN_OF_LIFE_MS = 200
# A replica takes 16 bytes; a datagram holds 1,400.
_MOST_IN_DATAGRAM = 75


class SumChanges:
    """Works out what of a sum is to be told now; no I/O.

    >>> changes = SumChanges()
    >>> changes.due(0, {17: UnderWay(5, 5, 1)})
    {17: UnderWay(unread=5, held=5, requests=1)}
    >>> changes.due(80, {17: UnderWay(5, 5, 1)}) is None
    True
    >>> changes.due(160, {})
    {17: UnderWay(unread=0, held=0, requests=0)}
    """

    __slots__ = ("_spoke_ms", "_told", "_whole_ms")

    def __init__(self) -> None:
        self._told: dict[int, UnderWay] = {}
        self._whole_ms: int | None = None
        self._spoke_ms = 0

    @property
    def is_open(self) -> bool:
        """Tell whether something was told that is not taken back yet."""
        return bool(self._told)

    def due(self, now_ms: int, total: dict[int, UnderWay]) -> Told | None:
        """Return what to tell, an empty one as a sign of life, None for nothing."""
        gone = {name: UnderWay() for name in self._told if name not in total}
        if self._whole_ms is None or now_ms - self._whole_ms >= _SUM_REPEAT_MS:
            self._whole_ms = now_ms
            changed = {**total, **gone}
        else:
            known = self._told
            changed = {k: item for k, item in total.items() if known.get(k) != item}
            changed |= gone
        self._told = total
        if not changed and now_ms - self._spoke_ms < _SIGN_OF_LIFE_MS:
            return None
        self._spoke_ms = now_ms
        return changed


class UnderWayTask:
    """Speaks over a link, to all nodes or to the aggregator of its domain."""

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peers: PeerUnderWay,
        aggregators: Aggregators,
        node: str,
        failure_domain: str,
        link_mbps: float,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._aggregators = aggregators
        self._node = node
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._told: dict[int, UnderWay] = {}
        self._told_ms = 0
        self._told_to: Member | None = None
        self._sum_changes = SumChanges()
        self._total_changes = SumChanges()
        self._next_sum_ms = 0
        self._bytes_before = 0

    async def run(self, link: PeerLink) -> None:
        """Speak and listen until cancelled."""
        self.listen(link)
        while True:
            is_few = not self._aggregators.are_needed
            await self._clock.sleep_ms(
                _PERIOD_MS if is_few else _TO_AGGREGATOR_PERIOD_MS
            )
            self.tell(link)

    def listen(self, link: PeerLink) -> None:
        """Hear what others tell over a link."""
        link.register(_NEWS, UnderWayNews, self._hear_news)
        link.register(_SUM, UnderWayNews, self._hear_sum)
        link.register(_TOTAL, UnderWayNews, self._hear_total)

    def tell(self, link: PeerLink) -> None:
        """Tell what changed since the last call."""
        if self._aggregators.are_needed:
            self._tell_aggregator(link)
        else:
            self._tell_everyone(link)

    def _own(self) -> dict[int, UnderWay]:
        return {
            state.number: UnderWay(
                int(state.unread_tokens), int(state.held_tokens), state.in_flight
            )
            for state in self._directory.all()
            if state.in_flight or state.waiting_late
        }

    def _is_due(self, now_ms: int, own: Told) -> bool:
        """Tell whether own work changed or is to be told again; note it as told."""
        is_repeat = bool(own) and now_ms - self._told_ms >= _REPEAT_MS
        if own == self._told and not is_repeat:
            return False
        self._told, self._told_ms = dict(own), now_ms
        return True

    def _tell_everyone(self, link: PeerLink) -> None:
        self._peers.follow(None)
        own = self._own()
        if self._is_due(self._clock.now_ms(), own):
            link.send_all(self._aggregators.all_addresses(), _NEWS, _message(own))

    def _tell_aggregator(self, link: PeerLink) -> None:
        now_ms, own = self._clock.now_ms(), self._own()
        aggregator = self._aggregators.own_aggregator(now_ms)
        if aggregator != self._told_to:
            self._change_aggregator(link, now_ms, aggregator)
        self._peers.follow(aggregator.name if aggregator is not None else None)
        if aggregator is not None and self._is_due(now_ms, own):
            link.send(aggregator.address, _NEWS, _message(own))
            self._aggregators.on_sent_to(now_ms, aggregator.name)
            self._peers.on_told_own(now_ms, own)
        # Once nobody tells this node any more it takes back what it told last.
        if aggregator is None or self._peers.is_told or self._sum_changes.is_open:
            self._tell_sums(link, now_ms, own if aggregator is None else {})

    def _change_aggregator(
        self, link: PeerLink, now_ms: int, aggregator: Member | None
    ) -> None:
        """Take back what the last one was told, lest this node counts twice."""
        name = aggregator.name if aggregator is not None else "this node"
        log.info("aggregators: %s sums up for %s", name, self._failure_domain)
        if self._told_to is not None:
            link.send(self._told_to.address, _NEWS, _message({}))
        self._told_to, self._told = aggregator, {}
        self._peers.on_told_own(now_ms, {})

    def _tell_sums(self, link: PeerLink, now_ms: int, own: Told) -> None:
        if now_ms < self._next_sum_ms - _PERIOD_MS / 2:
            return
        neighbours = self._aggregators.neighbour_addresses()
        self._next_sum_ms = now_ms + self._sum_period_ms(link, len(neighbours))
        self._tell_other_aggregators(link, now_ms, _plus(self._peers.told(now_ms), own))
        total = _plus(self._peers.total(now_ms), own)
        for part in _parts(self._total_changes.due(now_ms, total)):
            link.send_all(neighbours, _TOTAL, _message(part))

    def _sum_period_ms(self, link: PeerLink, neighbours: int) -> float:
        """Return when to tell next: when the link has carried the last sums."""
        sent = link.bytes_sent - self._bytes_before
        self._bytes_before = link.bytes_sent
        carrying_ms = sent * 8 / (self._link_mbps * _BITS_PER_MS_PER_MBPS)
        least_ms = max(_SUM_PERIOD_MS, _SUM_MS_PER_NODE * neighbours)
        return max(least_ms, carrying_ms / _LINK_SHARE)

    def _tell_other_aggregators(
        self, link: PeerLink, now_ms: int, own_sum: dict[int, UnderWay]
    ) -> None:
        """Tell the sum of what nodes told this one to whoever makes a total of it.

        Two nodes of a domain may both be told for a while, by nodes that take
        different ones for silent. Whoever hears a sum of both tells both its own.
        """
        telling = self._peers.telling_sums(now_ms)
        others = self._aggregators.publishing_nodes(now_ms, telling)
        addresses = [member.address for member in others]
        parts = _parts(self._sum_changes.due(now_ms, own_sum))
        for part in parts:
            link.send_all(addresses, _SUM, _message(part))
        for member in others if parts else ():
            self._aggregators.on_sent_to(now_ms, member.name)

    async def _hear_news(self, sender: str, news: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.take(self._clock.now_ms(), sender, _decoded(news))

    async def _hear_sum(self, sender: str, news: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.take_sum(self._clock.now_ms(), sender, _decoded(news))

    async def _hear_total(self, sender: str, news: Any) -> None:
        self._aggregators.on_received_from(sender)
        self._peers.take_total(self._clock.now_ms(), sender, _decoded(news))


def _plus(total: dict[int, UnderWay], own: Told) -> dict[int, UnderWay]:
    """Add what is this node's own to a sum."""
    for replica, more in own.items():
        total[replica] = total.get(replica, UnderWay()).plus(more)
    return total


def _parts(told: Told | None) -> list[Told]:
    """Cut what is told into pieces that fit into a datagram; none for None.

    >>> _parts(None), _parts({})
    ([], [{}])
    """
    if told is None:
        return []
    items = list(told.items())
    return [
        dict(items[first : first + _MOST_IN_DATAGRAM])
        for first in range(0, max(1, len(items)), _MOST_IN_DATAGRAM)
    ]


def _message(told: Told) -> Any:
    """Return a message of columns: a replica's number and what is under way there."""
    return UnderWayNews(
        replicas=list(told),
        unread=[item.unread for item in told.values()],
        held=[item.held for item in told.values()],
        requests=[item.requests for item in told.values()],
    )


def _decoded(news: Any) -> dict[int, UnderWay]:
    counts = zip(news.unread, news.held, news.requests, strict=False)
    items = [UnderWay(*item) for item in counts]
    return dict(zip(news.replicas, items, strict=False))
