"""Prompt tokens on their way to replicas, as the nodes tell each other."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import PeerLink, load_structs

from ._directory import ReplicaDirectory

PendingNews = load_structs(Path(__file__).parent, "replicas").PendingNews

_KIND = "pending"
# How often a node tells of changes: a prompt takes 5 to 100 ms to read, so older
# news would send several nodes' requests to the same replica.
_PERIOD_MS = 30
# Many nodes tell less often, so that what one node hears in a second stays the
# same: about 300 datagrams.
_PERIOD_PER_NODE_MS = 3
# Told again when nothing changes; a node not heard of for longer is forgotten.
_REPEAT_MS = 400
_FORGET_MS = 1_000


class PeerPending:
    """What the other nodes have pending, by replica; no I/O.

    >>> pending = PeerPending()
    >>> pending.take(0, "entry-2", {"r1": 900})
    >>> pending.tokens(500, "r1"), pending.tokens(1_000, "r1")
    (900, 0)
    """

    __slots__ = ("_by_node", "_total_by_incarnation")

    def __init__(self) -> None:
        self._by_node: dict[str, tuple[int, dict[str, int]]] = {}
        self._total_by_incarnation: dict[str, int] = {}

    def take(self, now_ms: int, node: str, tokens: dict[str, int]) -> None:
        """Replace what one node has pending."""
        self._remove(node)
        if tokens:
            self._by_node[node] = now_ms, tokens
            self._add(tokens, 1)

    def tokens(self, now_ms: int, incarnation: str) -> int:
        """Return the tokens that other nodes have pending at a replica."""
        silent = [
            node
            for node, (told_ms, _) in self._by_node.items()
            if now_ms - told_ms >= _FORGET_MS
        ]
        for node in silent:
            self._remove(node)
        return self._total_by_incarnation.get(incarnation, 0)

    def _remove(self, node: str) -> None:
        known = self._by_node.pop(node, None)
        if known is not None:
            self._add(known[1], -1)

    def _add(self, tokens: dict[str, int], sign: int) -> None:
        for incarnation, count in tokens.items():
            total = self._total_by_incarnation.get(incarnation, 0) + sign * count
            if total > 0:
                self._total_by_incarnation[incarnation] = total
            else:
                self._total_by_incarnation.pop(incarnation, None)


class PendingTask:
    """Tells the other nodes what this one has pending, and hears of theirs."""

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        pending: PeerPending,
        peer_addresses: Callable[[], list[tuple[str, int]]],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._pending = pending
        self._peer_addresses = peer_addresses
        self._told: dict[str, int] = {}
        self._told_ms = 0

    async def run(self, link: PeerLink) -> None:
        """Speak over a link until cancelled."""
        link.register(_KIND, PendingNews, self._on_news)
        while True:
            addresses = self._peer_addresses()
            period_ms = max(_PERIOD_MS, _PERIOD_PER_NODE_MS * len(addresses))
            await self._clock.sleep_ms(period_ms)
            self._tell(link, addresses)

    def _tell(self, link: PeerLink, addresses: list[tuple[str, int]]) -> None:
        now_ms = self._clock.now_ms()
        own = {
            state.entry.incarnation: int(state.pending_tokens)
            for state in self._directory.all()
            if state.pending_tokens >= 1
        }
        is_due = bool(own) and now_ms - self._told_ms >= _REPEAT_MS
        if own == self._told and not is_due:
            return
        self._told, self._told_ms = own, now_ms
        news = PendingNews(incarnations=list(own), tokens=list(own.values()))
        for address in addresses:
            link.send(address, _KIND, news)

    async def _on_news(self, sender: str, news: Any) -> None:
        tokens = dict(zip(news.incarnations, news.tokens, strict=False))
        self._pending.take(self._clock.now_ms(), sender, tokens)
