"""Tells the other nodes what this one has under way, and hears of theirs."""

import logging
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

from fireflyward.aggregators import Aggregators, Member
from fireflyward.clock import Clock
from fireflyward.peers import PeerLink

from ._directory import ReplicaDirectory
from ._replicas_structs import UnderWayNews, UnderWaySum
from ._under_way import PeerUnderWay, Told, UnderWay

log = logging.getLogger("fireflyward.aggregators")


_NEWS, _SUM = "under way", "under way in all"
# How often a node tells of changes: a prompt takes 5 to 100 ms to read, so older
# news would send several nodes' requests to the same replica.
_PERIOD_MS = 25
# Told again when nothing changes, for datagrams that were lost.
_REPEAT_MS = 700
# How often an aggregator tells its sums: a ms for each node that it tells, each of
# which costs some 25 us to send, and not more often than nodes tell it of changes.
_SUM_PERIOD_MS = 40
_SUM_MS_PER_NODE = 1.0
_SUM_REPEAT_MS = 500
# An aggregator whose messages take more than this of its link tells less often; a
# full link would hold up the answers that it carries, and the news itself.
_LINK_SHARE = 0.25
_BITS_PER_MS_PER_MBPS = 1_000
# An aggregator speaks at least this often, so that its silence is noticed.
_SIGN_OF_LIFE_MS = 200
# A replica takes some 30 bytes; a datagram holds 1,400.
_MOST_IN_DATAGRAM = 28


class SumChanges:
    """Works out what of a sum is to be told now; no I/O.

    >>> changes = SumChanges()
    >>> changes.due(0, {"r1": UnderWay(5, 5, 1)})
    {'r1': UnderWay(unread=5, held=5, requests=1)}
    >>> changes.due(40, {"r1": UnderWay(5, 5, 1)}) is None
    True
    >>> changes.due(80, {})
    {'r1': UnderWay(unread=0, held=0, requests=0)}
    """

    __slots__ = ("_spoke_ms", "_told", "_whole_ms")

    def __init__(self) -> None:
        self._told: dict[str, UnderWay] = {}
        self._whole_ms: int | None = None
        self._spoke_ms = 0

    @property
    def is_open(self) -> bool:
        """Tell whether something was told that is not taken back yet."""
        return bool(self._told)

    def due(self, now_ms: int, total: dict[str, UnderWay]) -> Told | None:
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
        self._told: dict[str, UnderWay] = {}
        self._told_ms = 0
        self._told_to: Member | None = None
        self._changes = SumChanges()
        self._next_sum_ms = 0
        self._bytes_before = 0

    async def run(self, link: PeerLink) -> None:
        """Speak and listen until cancelled."""
        self.listen(link)
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            self.tell(link)

    def listen(self, link: PeerLink) -> None:
        """Hear what others tell over a link."""

        async def on_sum(sender: str, news: Any) -> None:
            self._hear_sum(link, sender, news)

        link.register(_NEWS, UnderWayNews, self._hear_news)
        link.register(_SUM, UnderWaySum, on_sum)

    def tell(self, link: PeerLink) -> None:
        """Tell what changed since the last call."""
        if self._aggregators.are_needed:
            self._tell_aggregator(link)
        else:
            self._tell_everyone(link)

    def _own(self) -> dict[str, UnderWay]:
        return {
            state.entry.incarnation: UnderWay(
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
        own = self._own()
        if self._is_due(self._clock.now_ms(), own):
            link.send_all(self._aggregators.everyone(), _NEWS, _news(own))

    def _tell_aggregator(self, link: PeerLink) -> None:
        now_ms, own = self._clock.now_ms(), self._own()
        aggregator = self._aggregators.own(now_ms)
        if aggregator != self._told_to:
            self._change_aggregator(link, now_ms, aggregator)
        if aggregator is not None and self._is_due(now_ms, own):
            link.send(aggregator.address, _NEWS, _news(own))
            self._aggregators.on_spoken_to(now_ms, aggregator.name)
            self._peers.on_told_own(now_ms, own)
        # Once nobody tells this node any more it takes back what it told last.
        if aggregator is None or self._peers.is_told or self._changes.is_open:
            self._tell_sums(link, now_ms, own if aggregator is None else {})

    def _change_aggregator(
        self, link: PeerLink, now_ms: int, aggregator: Member | None
    ) -> None:
        """Take back what the last one was told, lest this node counts twice."""
        name = aggregator.name if aggregator is not None else "this node"
        log.info("aggregators: %s sums up for %s", name, self._failure_domain)
        if self._told_to is not None:
            link.send(self._told_to.address, _NEWS, _news({}))
        self._told_to, self._told = aggregator, {}
        self._peers.on_told_own(now_ms, {})

    def _tell_sums(self, link: PeerLink, now_ms: int, own: Told) -> None:
        if now_ms < self._next_sum_ms - _PERIOD_MS / 2:
            return
        neighbours = self._aggregators.neighbours()
        self._next_sum_ms = now_ms + self._sum_period_ms(link, len(neighbours))
        total = self._peers.told(now_ms)
        for incarnation, more in own.items():
            total[incarnation] = total.get(incarnation, UnderWay()).plus(more)
        told = self._changes.due(now_ms, total)
        if told is None:
            return
        for part in _parts(told):
            link.send_all(neighbours, _SUM, _sum(self._node, part, pass_on=False))
            news = _sum(self._node, part, pass_on=True)
            self._tell_other_domains(link, now_ms, news)

    def _sum_period_ms(self, link: PeerLink, neighbours: int) -> float:
        """Return when to tell next: when the link has carried the last sums."""
        sent = link.bytes_sent - self._bytes_before
        self._bytes_before = link.bytes_sent
        carrying_ms = sent * 8 / (self._link_mbps * _BITS_PER_MS_PER_MBPS)
        least_ms = max(_SUM_PERIOD_MS, _SUM_MS_PER_NODE * neighbours)
        return max(least_ms, carrying_ms / _LINK_SHARE)

    def _tell_other_domains(self, link: PeerLink, now_ms: int, news: Any) -> None:
        for domain in self._aggregators.other_domains():
            aggregator = self._aggregators.of(now_ms, domain)
            if aggregator is not None:
                link.send(aggregator.address, _SUM, news)
                self._aggregators.on_spoken_to(now_ms, aggregator.name)

    async def _hear_news(self, sender: str, news: Any) -> None:
        self._aggregators.on_heard(sender)
        self._peers.take(self._clock.now_ms(), sender, _decoded(news))

    def _hear_sum(self, link: PeerLink, sender: str, news: Any) -> None:
        self._aggregators.on_heard(sender)
        if news.aggregator == self._node:
            return
        told = _decoded(news)
        self._peers.take_sum(self._clock.now_ms(), news.aggregator, told)
        if news.pass_on:
            copy = _sum(news.aggregator, told, pass_on=False)
            link.send_all(self._aggregators.neighbours(), _SUM, copy)


def _parts(told: Told) -> Iterator[Told]:
    """Cut what is told into pieces that fit into a datagram, one at least."""
    items = iter(told.items())
    yield dict(islice(items, _MOST_IN_DATAGRAM))
    while part := dict(islice(items, _MOST_IN_DATAGRAM)):
        yield part


def _columns(told: Told) -> dict[str, Iterable[Any]]:
    return {
        "incarnations": list(told),
        "unread": [item.unread for item in told.values()],
        "held": [item.held for item in told.values()],
        "requests": [item.requests for item in told.values()],
    }


def _sum(aggregator: str, told: Told, *, pass_on: bool) -> Any:
    return UnderWaySum(aggregator=aggregator, pass_on=pass_on, **_columns(told))


def _news(own: Told) -> Any:
    return UnderWayNews(**_columns(own))


def _decoded(news: Any) -> dict[str, UnderWay]:
    counts = zip(news.unread, news.held, news.requests, strict=False)
    items = [UnderWay(*item) for item in counts]
    return dict(zip(news.incarnations, items, strict=False))
