"""Which node polls which replica, and how the reports reach the others."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from fireflyward.rendezvous import rendezvous_rank
from fireflyward.upstreams import LoadReport

from ._affinity import rendezvous_order
from ._load_codec import LoadCodec, LoadEntry

_LEAST_PERIOD_MS = 250
_MOST_PERIOD_MS = 2_000
_BUDGET_BYTES_PER_MS = 3.0
_POLL_BYTES = 450
_DATAGRAM_BYTES = 140
_ENTRY_BYTES = 13
_MOST_DIRECT = 5
_COLUMNS_IN_PERIOD = 2
_ANSWER_MS = 100
_ENTRIES_IN_DATAGRAM = 64
_WATCHED_OF_MODEL = 8
_TAKEOVER_PERIODS = 2
_MOST_RANK = 3
_CHANGING_AT_ONCE = 4


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask a replica for its load, and give the answer to ``on_polled``."""

    name: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram to some peers."""

    peers: tuple[str, ...]
    update: Any


SharingAction = Poll | Send


@dataclass(frozen=True, slots=True)
class WatchedReplica:
    """A replica as the bundle names it; ``versions`` are those that it wants."""

    name: str
    failure_domain: str
    versions: dict[str, str]


class LoadSharing:
    """Divides polling among the nodes of a failure domain; does no I/O.

    Each replica has one poller by rendezvous hashing. A poller passes what it
    learnt to the nodes of its row in a grid of all nodes, and twice in a period
    each node passes what its row knows down its column, so that news takes two
    steps and about 3√n datagrams a node. Up to five nodes tell each other
    directly. The period grows with the size so that polls and datagrams together
    stay within 3 KB/s, sent and received, but is 2 s at most. Bad news (leaving,
    unreachable, other versions) goes at once.

    If nothing new is known of a replica for longer than its poller could be late,
    the next in rank polls it too; a node that is cut off from its peers ends up
    polling everything that it watches.
    """

    __slots__ = (
        "_codec",
        "_entry_by_name",
        "_failure_domain",
        "_own",
        "_own_new",
        "_peers",
        "_polled_ms_by_name",
        "_rank_by_name",
        "_row_new",
        "_next_change_ms",
        "_next_column_ms",
        "_next_poll_ms",
        "_next_row_ms",
        "_watched",
    )

    def __init__(self, own: str, failure_domain: str) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._codec = LoadCodec()
        self._peers: tuple[str, ...] = (own,)
        self._watched: tuple[str, ...] = ()
        self._rank_by_name: dict[str, int] = {}
        self._entry_by_name: dict[str, LoadEntry] = {}
        self._polled_ms_by_name: dict[str, int] = {}
        self._own_new: set[str] = set()
        self._row_new: set[str] = set()
        self._next_change_ms = 0
        self._next_poll_ms = 0
        self._next_row_ms = 0
        self._next_column_ms = 0

    def __repr__(self) -> str:
        return f"LoadSharing({self._own!r}, {len(self._watched)} replicas)"

    @property
    def watched(self) -> tuple[str, ...]:
        """The replicas of which this node's domain wants to know."""
        return self._watched

    def set_replicas(self, replicas: Iterable[WatchedReplica]) -> None:
        """Take the replicas of a bundle and choose those to watch."""
        known = list(replicas)
        chosen = watch_list(self._failure_domain, known)
        self._watched = tuple(sorted(item.name for item in chosen))
        self._codec.set_wanted({item.name: item.versions for item in chosen})
        for name in set(self._entry_by_name) - set(self._watched):
            del self._entry_by_name[name]
        self._rank()

    def set_peers(self, names: Iterable[str]) -> None:
        """Take the live nodes of this failure domain."""
        peers = tuple(sorted({*names, self._own}))
        if peers != self._peers:
            self._peers = peers
            self._rank()

    def period_ms(self) -> int:
        """Return the time between two polls of one replica."""
        nodes, replicas = len(self._peers), len(self._watched)
        polls = math.ceil(replicas / nodes)
        sends = len(self._row()) + _COLUMNS_IN_PERIOD * len(self._column())
        entries = replicas if nodes > 1 else 0
        passed = sends * _DATAGRAM_BYTES + entries * _ENTRY_BYTES
        cost_bytes = polls * _POLL_BYTES + 2 * passed
        wanted_ms = int(cost_bytes / _BUDGET_BYTES_PER_MS)
        return max(_LEAST_PERIOD_MS, min(_MOST_PERIOD_MS, wanted_ms))

    def tick(self, now_ms: int) -> list[SharingAction]:
        """Return what is due; called several times in a period."""
        period_ms = self.period_ms()
        actions: list[SharingAction] = []
        if now_ms >= self._next_change_ms:
            self._next_change_ms = now_ms + _LEAST_PERIOD_MS
            actions.extend(self._changing(now_ms))
        if now_ms >= self._next_poll_ms:
            self._next_poll_ms = now_ms + period_ms
            self._next_row_ms = now_ms + _ANSWER_MS
            actions.extend(self._polls(now_ms, period_ms))
        if now_ms >= self._next_row_ms:
            self._next_row_ms = now_ms + period_ms
            self._row_new |= self._own_new
            actions.extend(self._sends(now_ms, self._row(), self._own_new))
            self._own_new = set()
        if now_ms >= self._next_column_ms:
            self._next_column_ms = now_ms + period_ms // _COLUMNS_IN_PERIOD
            actions.extend(self._sends(now_ms, self._column(), self._row_new))
            self._row_new = set()
        return actions

    def on_polled(
        self, now_ms: int, name: str, report: LoadReport | None
    ) -> tuple[LoadEntry | None, list[SharingAction]]:
        """Take the answer to a poll, None for none; return the entry to act on."""
        measured_ms = now_ms - (report.age_ms if report else 0)
        shortened = self._codec.shorten(report) if report else None
        entry = LoadEntry(name, measured_ms, shortened)
        before = self._entry_by_name.get(name)
        if not self._keep(entry):
            return None, []
        self._own_new.add(name)
        if not is_bad_news(before, entry):
            return entry, []
        peers = self._row() + self._column()
        return entry, self._sends(now_ms, peers, {name}, urgent=True)

    def on_leaving(self, now_ms: int, name: str) -> list[SharingAction]:
        """Pass on that a replica refused work since it leaves."""
        known = self._entry_by_name.get(name)
        if known is None or known.report is None or known.report.leaving:
            return []
        report = replace(known.report, leaving=True)
        self._entry_by_name[name] = LoadEntry(name, now_ms, report)
        peers = self._row() + self._column()
        return self._sends(now_ms, peers, {name}, urgent=True)

    def on_load_update(
        self, now_ms: int, sender: str, news: Any
    ) -> tuple[list[LoadEntry], list[SharingAction]]:
        """Take a peer's datagram; return the entries that are new to this node."""
        entries = [e for e in self._codec.decode(now_ms, news) if self._keep(e)]
        if sender not in self._row():
            return entries, []
        names = {entry.name for entry in entries}
        if news.urgent:
            return entries, self._sends(now_ms, self._column(), names, urgent=True)
        self._row_new |= names
        return entries, []

    def _keep(self, entry: LoadEntry) -> bool:
        known = self._entry_by_name.get(entry.name)
        if known is not None and known.measured_ms >= entry.measured_ms:
            return False
        self._entry_by_name[entry.name] = entry
        return True

    def _polls(self, now_ms: int, period_ms: int) -> list[SharingAction]:
        due = []
        for name, rank in self._rank_by_name.items():
            known = self._entry_by_name.get(name)
            age_ms = now_ms - known.measured_ms if known else now_ms + period_ms
            if not rank or age_ms > period_ms * (1 + _TAKEOVER_PERIODS * rank):
                due.append(Poll(name))
        return due

    def _changing(self, now_ms: int) -> list[SharingAction]:
        """Poll replicas more often whose versions are about to change.

        While a rollout goes on, a version that routing believes in may be gone;
        the next to be reloaded is not known here, so all with an old one count,
        the longest unheard first.
        """
        entries = [
            entry
            for name, rank in self._rank_by_name.items()
            if not rank and (entry := self._entry_by_name.get(name)) and entry.report
        ]
        changing = [entry for entry in entries if not self._codec.is_wanted(entry)]
        changing.sort(key=lambda entry: entry.measured_ms)
        return [Poll(entry.name) for entry in changing[:_CHANGING_AT_ONCE]]

    def _sends(
        self,
        now_ms: int,
        peers: tuple[str, ...],
        names: set[str],
        *,
        urgent: bool = False,
    ) -> list[SharingAction]:
        if not peers:
            return []
        entries = [self._entry_by_name[name] for name in sorted(names)]
        return [
            Send(peers, self._codec.encode(now_ms, part, urgent=urgent))
            for part in _parts(entries)
        ]

    def _rank(self) -> None:
        """Work out this node's rank among the pollers of each replica."""
        self._rank_by_name = {}
        for name in self._watched:
            own = rendezvous_rank(name, self._own)
            before = sum(
                rendezvous_rank(name, peer) > own
                for peer in self._peers
                if peer != self._own
            )
            self._rank_by_name[name] = min(before, _MOST_RANK)

    def _rows(self) -> list[tuple[str, ...]]:
        count = len(self._peers)
        width = count if count <= _MOST_DIRECT else math.ceil(math.sqrt(count))
        return [self._peers[start : start + width] for start in range(0, count, width)]

    def _row(self) -> tuple[str, ...]:
        row = next(row for row in self._rows() if self._own in row)
        return tuple(name for name in row if name != self._own)

    def _column(self) -> tuple[str, ...]:
        """Return the nodes of other rows that this node tells.

        The last row may be short; its nodes then tell several of each other row.
        """
        rows = self._rows()
        own_row = next(row for row in rows if self._own in row)
        place = own_row.index(self._own)
        return tuple(
            name
            for row in rows
            if row is not own_row
            for index, name in enumerate(row)
            if index % len(own_row) == place
        )


def watch_list(
    failure_domain: str, replicas: list[WatchedReplica]
) -> list[WatchedReplica]:
    """Return the replicas of which a failure domain wants to know.

    These are its own and, of each model, so many of other domains that there are
    eight in all, and at least one. All nodes of a domain choose the same, and
    domains choose differently, so that no replica is watched by all.
    """
    chosen = {item.name: item for item in replicas}
    local = [item for item in replicas if item.failure_domain == failure_domain]
    wanted = {item.name for item in local}
    for model in sorted({model for item in replicas for model in item.versions}):
        here = sum(model in item.versions for item in local)
        away = [
            item.name
            for item in replicas
            if model in item.versions and item.failure_domain != failure_domain
        ]
        count = max(1, _WATCHED_OF_MODEL - here)
        wanted.update(rendezvous_order(failure_domain, away)[:count])
    return [chosen[name] for name in sorted(wanted)]


def is_bad_news(before: LoadEntry | None, after: LoadEntry) -> bool:
    """Tell whether routing elsewhere must not wait for the next period."""
    if before is None:
        return False
    if before.report is None or after.report is None:
        return before.report is not after.report
    return (
        after.report.leaving != before.report.leaving
        or after.report.version_by_model != before.report.version_by_model
    )


def _parts(entries: list[LoadEntry]) -> list[list[LoadEntry]]:
    return [
        entries[start : start + _ENTRIES_IN_DATAGRAM]
        for start in range(0, len(entries), _ENTRIES_IN_DATAGRAM)
    ]
