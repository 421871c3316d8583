"""Measures how long it takes until an accepted bundle is in force at every node.

The ``BundleFollower`` objects of all nodes run on one faked clock. Reads and
announcements arrive after fixed delays, and a fixed share of the announcements is
lost. The platform and the network are not modelled beyond that.
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
_SAME_REGION_DELAY_MS = 1
_OTHER_REGION_DELAY_MS = 40
_TABLE_READ_MS = 10
_STORE_READ_MS = 40
_VERIFY_MS = 5
_SETTLING_MS = 10_000
_BETWEEN_CHANGES_MS = 3_700
_OUTAGE_MS = 60_000
_REGIONS = 3
_ACCEPTANCES = 3


@dataclass(slots=True)
class _Counts:
    head_reads: int = 0
    store_reads: int = 0
    peer_fetches: int = 0
    announcements: int = 0


class SpreadSimulation:
    """Nodes, the bundle number of the head and the deliveries in flight.

    ``lost_share`` is the share of announcements that are lost. The nodes of
    ``partitioned_domains`` reach neither the platform nor other failure domains.
    """

    def __init__(
        self, nodes: int, domains: int, *, seed: int, lost_share: float = 0.0
    ) -> None:
        self.now_ms = 0
        self.head_number = 1
        self.counts = _Counts()
        self.partitioned_domains: set[int] = set()
        self.lost_share = lost_share
        self._random = random.Random(seed)
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, Any]] = []
        self.domain_by_name = {f"node-{i}": i % domains for i in range(nodes)}
        self.follower_by_name = {
            name: BundleFollower(poll_ms=_POLL_MS, seed=seed * 1_000 + index)
            for index, name in enumerate(self.domain_by_name)
        }
        self._names = list(self.domain_by_name)
        for name in self._names:
            self._schedule(self._random.randrange(_SETTLING_MS // 2), self._tick, name)

    def run(self, duration_ms: int) -> None:
        """Run all events that are due within ``duration_ms``."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, (handler, arguments) = heapq.heappop(self._events)
            handler(*arguments)
        self.now_ms = until_ms

    def run_until_in_force(self, names: list[str], limit_ms: int) -> int:
        """Return the time until all of ``names`` serve under the head's number."""
        started_ms = self.now_ms
        pending = set(names)
        while self._events and self.now_ms - started_ms < limit_ms:
            self.now_ms, _, (handler, arguments) = heapq.heappop(self._events)
            handler(*arguments)
            if self._has_head(arguments[0]):
                pending.discard(arguments[0])
            if not pending:
                return self.now_ms - started_ms
        return limit_ms

    def names_in(self, domain: int) -> list[str]:
        return [name for name in self._names if self.domain_by_name[name] == domain]

    def _has_head(self, name: str) -> bool:
        return self.follower_by_name[name].number >= self.head_number

    def _schedule(self, after_ms: int, handler: Any, *arguments: Any) -> None:
        event = (self.now_ms + after_ms, next(self._sequence), (handler, arguments))
        heapq.heappush(self._events, event)

    def _tick(self, name: str) -> None:
        follower = self.follower_by_name[name]
        self._perform_all(name, follower.on_tick(self.now_ms, self._names))
        self._schedule(_TICK_MS, self._tick, name)

    def _perform_all(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            self._perform(action, name)

    @singledispatchmethod
    def _perform(self, action: Any, name: str) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_perform.register
    def _(self, action: ReadHead, name: str) -> None:
        self.counts.head_reads += 1
        if self.domain_by_name[name] not in self.partitioned_domains:
            self._schedule(_TABLE_READ_MS, self._on_head, name, self.head_number)

    @_perform.register
    def _(self, action: FetchFromStore, name: str) -> None:
        self.counts.store_reads += 1
        if self.domain_by_name[name] not in self.partitioned_domains:
            after_ms = _STORE_READ_MS + _VERIFY_MS
            self._schedule(after_ms, self._on_fetched, name, self.head_number)

    @_perform.register
    def _(self, action: FetchFromPeer, name: str) -> None:
        self.counts.peer_fetches += 1
        if self._is_reachable(name, action.peer):
            number = self.follower_by_name[action.peer].number
            after_ms = 4 * self._delay_ms(name, action.peer) + _VERIFY_MS
            self._schedule(after_ms, self._on_fetched, name, number)

    @_perform.register
    def _(self, action: AnnounceNumber, name: str) -> None:
        self.counts.announcements += 1
        is_lost = self._random.random() < self.lost_share
        if not is_lost and self._is_reachable(name, action.peer):
            after_ms = self._delay_ms(name, action.peer)
            self._schedule(
                after_ms, self._on_announcement, action.peer, name, action.number
            )

    def _on_head(self, name: str, number: int) -> None:
        self._perform_all(
            name, self.follower_by_name[name].on_head(self.now_ms, number)
        )

    def _on_announcement(self, name: str, peer: str, number: int) -> None:
        self._perform_all(
            name, self.follower_by_name[name].on_peer_number(self.now_ms, peer, number)
        )

    def _on_fetched(self, name: str, number: int) -> None:
        follower = self.follower_by_name[name]
        self._perform_all(name, follower.on_applied(self.now_ms, number, self._names))

    def _is_reachable(self, name: str, peer: str) -> bool:
        one, other = self.domain_by_name[name], self.domain_by_name[peer]
        return one == other or not {one, other} & self.partitioned_domains

    def _delay_ms(self, name: str, peer: str) -> int:
        one, other = self.domain_by_name[name], self.domain_by_name[peer]
        return (
            _SAME_REGION_DELAY_MS
            if one % _REGIONS == other % _REGIONS
            else _OTHER_REGION_DELAY_MS
        )


def _run() -> list[Figure]:
    figures = []
    for nodes, domains in ((9, 3), (35, 4), (350, 10)):
        figures += _figures_of(nodes, domains)
    figures += _partition_figures(350, 10)
    return figures


def _figures_of(nodes: int, domains: int) -> list[Figure]:
    spread = SpreadSimulation(nodes, domains, seed=nodes)
    spread.run(_SETTLING_MS)
    spread.counts = _Counts()
    started_ms = spread.now_ms
    in_force_ms = 0
    for _ in range(_ACCEPTANCES):
        spread.head_number += 1
        duration_ms = spread.run_until_in_force(list(spread.follower_by_name), 60_000)
        in_force_ms = max(in_force_ms, duration_ms)
        spread.run(_BETWEEN_CHANGES_MS)
    counts, elapsed_s = spread.counts, (spread.now_ms - started_ms) / 1_000
    without_announcements = SpreadSimulation(nodes, domains, seed=nodes, lost_share=1.0)
    without_announcements.run(_SETTLING_MS)
    without_announcements.head_number += 1
    polling_only_ms = without_announcements.run_until_in_force(
        list(without_announcements.follower_by_name), 60_000
    )
    prefix = f"bundle_spread.nodes_{nodes}"
    return [
        Figure(f"{prefix}.in_force_ms", in_force_ms, "ms"),
        Figure(f"{prefix}.in_force_by_polling_alone_ms", polling_only_ms, "ms"),
        Figure(f"{prefix}.table_reads_per_s", counts.head_reads / elapsed_s, "1/s"),
        Figure(
            f"{prefix}.store_reads_per_change", counts.store_reads / _ACCEPTANCES, ""
        ),
        Figure(
            f"{prefix}.news_per_node_s", counts.announcements / elapsed_s / nodes, "1/s"
        ),
    ]


def _partition_figures(nodes: int, domains: int) -> list[Figure]:
    """Partition a domain, accept a bundle, and reconnect the domain after a minute."""
    spread = SpreadSimulation(nodes, domains, seed=nodes + 1)
    spread.run(_SETTLING_MS)
    spread.partitioned_domains = {0}
    inside = set(spread.names_in(0))
    outside = [name for name in spread.follower_by_name if name not in inside]
    spread.head_number += 1
    outside_ms = spread.run_until_in_force(outside, 60_000)
    spread.run(_OUTAGE_MS - outside_ms)
    updated_inside = sum(spread.follower_by_name[name].number > 1 for name in inside)
    spread.partitioned_domains = set()
    after_healing_ms = spread.run_until_in_force(list(inside), 60_000)
    prefix = "bundle_spread.cut_off"
    return [
        Figure(f"{prefix}.others_in_force_ms", outside_ms, "ms"),
        Figure(f"{prefix}.in_force_after_healing_ms", after_healing_ms, "ms"),
        Figure(f"{prefix}.nodes_inside_ahead_of_their_time", updated_inside, ""),
    ]


BENCH = Bench("bundle_spread", _run, is_count=True)
