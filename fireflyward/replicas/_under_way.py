"""Tokens under way at replicas, as the nodes tell each other."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import PeerLink, load_structs

from ._directory import ReplicaDirectory

UnderWayNews = load_structs(Path(__file__).parent, "replicas").UnderWayNews

_KIND = "under way"
# How often a node tells of changes: a prompt takes 5 to 100 ms to read, so older
# news would send several nodes' requests to the same replica.
_PERIOD_MS = 30
# Many nodes tell less often, so that what one node hears in a second stays at about
# 250 datagrams: each costs some 60 us to read.
_PERIOD_PER_NODE_MS = 4
_FEW_NODES = 12
# Told again when nothing changes; a node not heard of for longer is forgotten.
_REPEAT_MS = 700
_FORGET_MS = 2_000


@dataclass(frozen=True, slots=True)
class UnderWay:
    """Tokens under way at a replica.

    ``unread`` are of prompts without a first token yet: whoever comes next waits
    for them. ``held`` are of all ``requests`` there, which fill its memory.
    """

    unread: int = 0
    held: int = 0
    requests: int = 0


_NOTHING = UnderWay()


class PeerUnderWay:
    """What the other nodes have under way, by replica; no I/O.

    >>> peers = PeerUnderWay()
    >>> peers.take(0, "entry-2", {"r1": UnderWay(900, 1_200, 1)})
    >>> peers.at(500, "r1").unread, peers.at(2_000, "r1").unread
    (900, 0)
    """

    __slots__ = ("_by_node", "_total_by_incarnation")

    def __init__(self) -> None:
        self._by_node: dict[str, tuple[int, dict[str, UnderWay]]] = {}
        self._total_by_incarnation: dict[str, UnderWay] = {}

    def take(self, now_ms: int, node: str, told: dict[str, UnderWay]) -> None:
        """Replace what one node has under way."""
        self._remove(node)
        if told:
            self._by_node[node] = now_ms, told
            self._add(told, 1)

    def at(self, now_ms: int, incarnation: str) -> UnderWay:
        """Return what other nodes have under way at a replica."""
        silent = [
            node
            for node, (told_ms, _) in self._by_node.items()
            if now_ms - told_ms >= _FORGET_MS
        ]
        for node in silent:
            self._remove(node)
        return self._total_by_incarnation.get(incarnation, _NOTHING)

    def _remove(self, node: str) -> None:
        known = self._by_node.pop(node, None)
        if known is not None:
            self._add(known[1], -1)

    def _add(self, told: dict[str, UnderWay], sign: int) -> None:
        totals = self._total_by_incarnation
        for incarnation, more in told.items():
            total = totals.get(incarnation, _NOTHING)
            totals[incarnation] = UnderWay(
                total.unread + sign * more.unread,
                total.held + sign * more.held,
                total.requests + sign * more.requests,
            )
            if totals[incarnation] == _NOTHING:
                del totals[incarnation]


def _period_ms(peers: int) -> int:
    """Return how often a node with so many others tells.

    >>> _period_ms(8), _period_ms(77)
    (30, 308)
    """
    return _PERIOD_MS if peers <= _FEW_NODES else _PERIOD_PER_NODE_MS * peers


class UnderWayTask:
    """Tells the other nodes what this one has under way, and hears of theirs."""

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        peers: PeerUnderWay,
        peer_addresses: Callable[[], list[tuple[str, int]]],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._peer_addresses = peer_addresses
        self._told: dict[str, UnderWay] = {}
        self._told_ms = 0

    async def run(self, link: PeerLink) -> None:
        """Speak over a link until cancelled."""
        link.register(_KIND, UnderWayNews, self._on_news)
        while True:
            addresses = self._peer_addresses()
            period_ms = _period_ms(len(addresses))
            await self._clock.sleep_ms(period_ms)
            self._tell(link, addresses)

    def _tell(self, link: PeerLink, addresses: list[tuple[str, int]]) -> None:
        now_ms = self._clock.now_ms()
        own = {
            state.entry.incarnation: UnderWay(
                int(state.unread_tokens), int(state.held_tokens), state.in_flight
            )
            for state in self._directory.all()
            if state.in_flight
        }
        is_due = bool(own) and now_ms - self._told_ms >= _REPEAT_MS
        if own == self._told and not is_due:
            return
        self._told, self._told_ms = own, now_ms
        news = UnderWayNews(
            incarnations=list(own),
            unread=[item.unread for item in own.values()],
            held=[item.held for item in own.values()],
            requests=[item.requests for item in own.values()],
        )
        link.send_all(addresses, _KIND, news)

    async def _on_news(self, sender: str, news: Any) -> None:
        counts = zip(news.unread, news.held, news.requests, strict=False)
        items = [UnderWay(*item) for item in counts]
        told = dict(zip(news.incarnations, items, strict=False))
        self._peers.take(self._clock.now_ms(), sender, told)
