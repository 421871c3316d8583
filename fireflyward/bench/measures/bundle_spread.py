"""How long an accepted bundle takes to be in force everywhere.

The decisions of every node (``BundleFollower``) run on one faked clock; between
them stands only a delivery with fixed times and losses. Nothing of the platform
or of the network is modelled beyond that.
"""

import heapq
import itertools
import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from fireflyward.bench import Bench, Figure
from fireflyward.bundles import (
    AnnounceNumber,
    BundleFollower,
    FetchFromPeer,
    FetchFromStore,
    ReadHead,
)

_POLL_MS = 2_000
_TICK_MS = 250
_NEAR_MS = 1
_FAR_MS = 40
_TABLE_MS = 10
_STORE_MS = 40
_VERIFY_MS = 5
_SETTLED_MS = 10_000
_WINDOW_MS = 3_700
_CUT_MS = 60_000
_REGIONS = 3
_ACCEPTANCES = 3


@dataclass(slots=True)
class _Counts:
    head_reads: int = 0
    store_reads: int = 0
    peer_fetches: int = 0
    news: int = 0


class Spread:
    """Nodes, the head's number and the deliveries under way.

    ``lost_share`` of the news is lost; ``cut_domains`` reach neither the platform
    nor other failure domains.
    """

    def __init__(
        self, nodes: int, domains: int, *, seed: int, lost_share: float = 0.0
    ) -> None:
        self.now_ms = 0
        self.head_number = 1
        self.counts = _Counts()
        self.cut_domains: set[int] = set()
        self.lost_share = lost_share
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[int, int, Any]] = []
        self.domain_by_name = {f"node-{i}": i % domains for i in range(nodes)}
        self.follower_by_name = {
            name: BundleFollower(poll_ms=_POLL_MS, seed=seed * 1_000 + index)
            for index, name in enumerate(self.domain_by_name)
        }
        self._names = list(self.domain_by_name)
        for name in self._names:
            self._later(self._random.randrange(_SETTLED_MS // 2), self._tick, name)

    def run(self, duration_ms: int) -> None:
        """Deliver everything that falls due within ``duration_ms``."""
        ends_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= ends_ms:
            self.now_ms, _, (deliver, arguments) = heapq.heappop(self._events)
            deliver(*arguments)
        self.now_ms = ends_ms

    def run_until_in_force(self, names: list[str], limit_ms: int) -> int:
        """Return after how long all of ``names`` serve by the head's number."""
        began_ms = self.now_ms
        waiting = set(names)
        while self._events and self.now_ms - began_ms < limit_ms:
            self.now_ms, _, (deliver, arguments) = heapq.heappop(self._events)
            deliver(*arguments)
            if self._has_head(arguments[0]):
                waiting.discard(arguments[0])
            if not waiting:
                return self.now_ms - began_ms
        return limit_ms

    def names_in(self, domain: int) -> list[str]:
        return [name for name in self._names if self.domain_by_name[name] == domain]

    def _has_head(self, name: str) -> bool:
        return self.follower_by_name[name].number >= self.head_number

    def _later(self, after_ms: int, deliver: Any, *arguments: Any) -> None:
        event = (self.now_ms + after_ms, next(self._order), (deliver, arguments))
        heapq.heappush(self._events, event)

    def _tick(self, name: str) -> None:
        follower = self.follower_by_name[name]
        self._do(name, follower.on_tick(self.now_ms, self._names))
        self._later(_TICK_MS, self._tick, name)

    def _do(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            self._act(action, name)

    @singledispatchmethod
    def _act(self, action: Any, name: str) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_act.register
    def _(self, action: ReadHead, name: str) -> None:
        self.counts.head_reads += 1
        if self.domain_by_name[name] not in self.cut_domains:
            self._later(_TABLE_MS, self._on_head, name, self.head_number)

    @_act.register
    def _(self, action: FetchFromStore, name: str) -> None:
        self.counts.store_reads += 1
        if self.domain_by_name[name] not in self.cut_domains:
            after_ms = _STORE_MS + _VERIFY_MS
            self._later(after_ms, self._on_taken, name, self.head_number)

    @_act.register
    def _(self, action: FetchFromPeer, name: str) -> None:
        self.counts.peer_fetches += 1
        if self._reaches(name, action.peer):
            number = self.follower_by_name[action.peer].number
            after_ms = 4 * self._delay_ms(name, action.peer) + _VERIFY_MS
            self._later(after_ms, self._on_taken, name, number)

    @_act.register
    def _(self, action: AnnounceNumber, name: str) -> None:
        self.counts.news += 1
        is_lost = self._random.random() < self.lost_share
        if not is_lost and self._reaches(name, action.peer):
            after_ms = self._delay_ms(name, action.peer)
            self._later(after_ms, self._on_news, action.peer, name, action.number)

    def _on_head(self, name: str, number: int) -> None:
        self._do(name, self.follower_by_name[name].on_head(self.now_ms, number))

    def _on_news(self, name: str, peer: str, number: int) -> None:
        self._do(
            name, self.follower_by_name[name].on_peer_number(self.now_ms, peer, number)
        )

    def _on_taken(self, name: str, number: int) -> None:
        follower = self.follower_by_name[name]
        self._do(name, follower.on_applied(self.now_ms, number, self._names))

    def _reaches(self, name: str, peer: str) -> bool:
        one, other = self.domain_by_name[name], self.domain_by_name[peer]
        return one == other or not {one, other} & self.cut_domains

    def _delay_ms(self, name: str, peer: str) -> int:
        one, other = self.domain_by_name[name], self.domain_by_name[peer]
        return _NEAR_MS if one % _REGIONS == other % _REGIONS else _FAR_MS


def _run() -> list[Figure]:
    figures = []
    for nodes, domains in ((9, 3), (35, 4), (350, 10)):
        figures += _figures_of(nodes, domains)
    figures += _cut_figures(350, 10)
    return figures


def _figures_of(nodes: int, domains: int) -> list[Figure]:
    spread = Spread(nodes, domains, seed=nodes)
    spread.run(_SETTLED_MS)
    spread.counts = _Counts()
    began_ms = spread.now_ms
    in_force_ms = 0
    for _ in range(_ACCEPTANCES):
        spread.head_number += 1
        took_ms = spread.run_until_in_force(list(spread.follower_by_name), 60_000)
        in_force_ms = max(in_force_ms, took_ms)
        spread.run(_WINDOW_MS)
    counts, took_s = spread.counts, (spread.now_ms - began_ms) / 1_000
    silent = Spread(nodes, domains, seed=nodes, lost_share=1.0)
    silent.run(_SETTLED_MS)
    silent.head_number += 1
    alone_ms = silent.run_until_in_force(list(silent.follower_by_name), 60_000)
    prefix = f"bundle_spread.nodes_{nodes}"
    return [
        Figure(f"{prefix}.in_force_ms", in_force_ms, "ms"),
        Figure(f"{prefix}.in_force_by_polling_alone_ms", alone_ms, "ms"),
        Figure(f"{prefix}.table_reads_per_s", counts.head_reads / took_s, "1/s"),
        Figure(
            f"{prefix}.store_reads_per_change", counts.store_reads / _ACCEPTANCES, ""
        ),
        Figure(f"{prefix}.news_per_node_s", counts.news / took_s / nodes, "1/s"),
    ]


def _cut_figures(nodes: int, domains: int) -> list[Figure]:
    """Accept while one failure domain is cut off, and heal after a minute."""
    spread = Spread(nodes, domains, seed=nodes + 1)
    spread.run(_SETTLED_MS)
    spread.cut_domains = {0}
    inside = set(spread.names_in(0))
    outside = [name for name in spread.follower_by_name if name not in inside]
    spread.head_number += 1
    outside_ms = spread.run_until_in_force(outside, 60_000)
    spread.run(_CUT_MS - outside_ms)
    early = sum(spread.follower_by_name[name].number > 1 for name in inside)
    spread.cut_domains = set()
    healed_ms = spread.run_until_in_force(list(inside), 60_000)
    prefix = "bundle_spread.cut_off"
    return [
        Figure(f"{prefix}.others_in_force_ms", outside_ms, "ms"),
        Figure(f"{prefix}.in_force_after_healing_ms", healed_ms, "ms"),
        Figure(f"{prefix}.nodes_inside_ahead_of_their_time", early, ""),
    ]


BENCH = Bench("bundle_spread", _run, is_count=True)
