"""Decides which node polls which replica and which nodes it sends the reports to."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from fireflyward.rendezvous import rendezvous_rank
from fireflyward.upstreams import LoadReport

from ._affinity import rendezvous_order
from ._load_codec import LoadCodec, LoadEntry

_MIN_PERIOD_MS = 250
_MAX_PERIOD_MS = 2_000
_BUDGET_BYTES_PER_MS = 3.0
_POLL_BYTES = 450
_DATAGRAM_OVERHEAD_BYTES = 140
_ENTRY_BYTES = 13
_MAX_DIRECT_NODES = 5
_COLUMN_SENDS_PER_PERIOD = 2
_POLL_ANSWER_DELAY_MS = 100
_MAX_ENTRIES_PER_DATAGRAM = 64
_MIN_WATCHED_PER_MODEL = 8
_TAKEOVER_PERIODS = 2
_MAX_POLLER_RANK = 3
_MAX_ROLLOUT_POLLS = 4


@dataclass(frozen=True, slots=True)
class Poll:
    """Request the load of a replica and pass the answer to ``on_polled``."""

    name: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a load update to the given nodes in one datagram each."""

    peers: tuple[str, ...]
    update: Any


SharingAction = Poll | Send


@dataclass(frozen=True, slots=True)
class WatchedReplica:
    """A replica of the bundle, with the versions that the bundle specifies for it."""

    name: str
    failure_domain: str
    versions: dict[str, str]


class LoadSharing:
    """Divides polling among the nodes of a failure domain; does no I/O.

    Rendezvous hashing assigns each replica one node that polls it. All nodes form a
    grid. A node sends the entries that it polled to the nodes of its row, and twice
    per period it sends the entries of its row to the nodes of its column. An entry
    therefore reaches all nodes in two hops, with about 3√n datagrams per node. Up to
    five nodes send each other their entries directly.

    The period between two polls grows with the number of nodes and replicas, so that
    polls and datagrams together stay within 3 KB/s, sent and received, but it is 2 s
    at most. Urgent changes (leaving, unreachable, other versions) are sent at once.

    If the last entry of a replica is older than a delay of its poller explains, the
    node next in rank polls the replica too. A node that receives nothing from other
    nodes therefore eventually polls all replicas that it watches.
    """

    __slots__ = (
        "_codec",
        "_entry_by_name",
        "_failure_domain",
        "_own",
        "_unsent_own",
        "_peers",
        "_polled_ms_by_name",
        "_rank_by_name",
        "_unsent_from_row",
        "_next_rollout_poll_ms",
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
        self._unsent_own: set[str] = set()
        self._unsent_from_row: set[str] = set()
        self._next_rollout_poll_ms = 0
        self._next_poll_ms = 0
        self._next_row_ms = 0
        self._next_column_ms = 0

    def __repr__(self) -> str:
        return f"LoadSharing({self._own!r}, {len(self._watched)} replicas)"

    @property
    def watched(self) -> tuple[str, ...]:
        """The names of the replicas whose load this failure domain collects."""
        return self._watched

    def set_replicas(self, replicas: Iterable[WatchedReplica]) -> None:
        """Set the replicas of a bundle and choose those to watch."""
        listed = list(replicas)
        chosen = watch_list(self._failure_domain, listed)
        self._watched = tuple(sorted(item.name for item in chosen))
        self._codec.set_target_versions({item.name: item.versions for item in chosen})
        for name in set(self._entry_by_name) - set(self._watched):
            del self._entry_by_name[name]
        self._update_ranks()

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the live nodes of this failure domain."""
        peers = tuple(sorted({*names, self._own}))
        if peers != self._peers:
            self._peers = peers
            self._update_ranks()

    def period_ms(self) -> int:
        """Return the time between two polls of one replica."""
        nodes, replicas = len(self._peers), len(self._watched)
        polls = math.ceil(replicas / nodes)
        sends = len(self._row()) + _COLUMN_SENDS_PER_PERIOD * len(self._column())
        entries = replicas if nodes > 1 else 0
        sent_bytes = sends * _DATAGRAM_OVERHEAD_BYTES + entries * _ENTRY_BYTES
        cost_bytes = polls * _POLL_BYTES + 2 * sent_bytes
        budget_ms = int(cost_bytes / _BUDGET_BYTES_PER_MS)
        return max(_MIN_PERIOD_MS, min(_MAX_PERIOD_MS, budget_ms))

    def tick(self, now_ms: int) -> list[SharingAction]:
        """Return the due polls and datagrams; called several times per period."""
        period_ms = self.period_ms()
        actions: list[SharingAction] = []
        if now_ms >= self._next_rollout_poll_ms:
            self._next_rollout_poll_ms = now_ms + _MIN_PERIOD_MS
            actions.extend(self._rollout_polls(now_ms))
        if now_ms >= self._next_poll_ms:
            self._next_poll_ms = now_ms + period_ms
            self._next_row_ms = now_ms + _POLL_ANSWER_DELAY_MS
            actions.extend(self._due_polls(now_ms, period_ms))
        if now_ms >= self._next_row_ms:
            self._next_row_ms = now_ms + period_ms
            self._unsent_from_row |= self._unsent_own
            actions.extend(self._sends(now_ms, self._row(), self._unsent_own))
            self._unsent_own = set()
        if now_ms >= self._next_column_ms:
            self._next_column_ms = now_ms + period_ms // _COLUMN_SENDS_PER_PERIOD
            actions.extend(self._sends(now_ms, self._column(), self._unsent_from_row))
            self._unsent_from_row = set()
        return actions

    def on_polled(
        self, now_ms: int, name: str, report: LoadReport | None
    ) -> tuple[LoadEntry | None, list[SharingAction]]:
        """Record the answer to a poll; ``report`` is None if none arrived.

        Returns the new entry, or None if a newer one was already recorded.
        """
        measured_ms = now_ms - (report.age_ms if report else 0)
        shortened = self._codec.shorten(report) if report else None
        entry = LoadEntry(name, measured_ms, shortened)
        before = self._entry_by_name.get(name)
        if not self._store_if_newer(entry):
            return None, []
        self._unsent_own.add(name)
        if not is_urgent_change(before, entry):
            return entry, []
        peers = self._row() + self._column()
        return entry, self._sends(now_ms, peers, {name}, urgent=True)

    def on_leaving(self, now_ms: int, name: str) -> list[SharingAction]:
        """Announce that a replica is leaving and rejected a run for that reason."""
        current = self._entry_by_name.get(name)
        if current is None or current.report is None or current.report.leaving:
            return []
        report = replace(current.report, leaving=True)
        self._entry_by_name[name] = LoadEntry(name, now_ms, report)
        peers = self._row() + self._column()
        return self._sends(now_ms, peers, {name}, urgent=True)

    def on_load_update(
        self, now_ms: int, sender: str, update: Any
    ) -> tuple[list[LoadEntry], list[SharingAction]]:
        """Handle another node's load update; return the entries that are new here."""
        entries = [
            e for e in self._codec.decode(now_ms, update) if self._store_if_newer(e)
        ]
        if sender not in self._row():
            return entries, []
        names = {entry.name for entry in entries}
        if update.urgent:
            return entries, self._sends(now_ms, self._column(), names, urgent=True)
        self._unsent_from_row |= names
        return entries, []

    def _store_if_newer(self, entry: LoadEntry) -> bool:
        current = self._entry_by_name.get(entry.name)
        if current is not None and current.measured_ms >= entry.measured_ms:
            return False
        self._entry_by_name[entry.name] = entry
        return True

    def _due_polls(self, now_ms: int, period_ms: int) -> list[SharingAction]:
        due = []
        for name, rank in self._rank_by_name.items():
            current = self._entry_by_name.get(name)
            age_ms = now_ms - current.measured_ms if current else now_ms + period_ms
            if not rank or age_ms > period_ms * (1 + _TAKEOVER_PERIODS * rank):
                due.append(Poll(name))
        return due

    def _rollout_polls(self, now_ms: int) -> list[SharingAction]:
        """Return extra polls of replicas whose versions are about to change.

        During a rollout, a version that routing still uses may be replaced at any
        time. This node does not know which replica is reloaded next, so it polls all
        replicas whose versions are not those of the bundle, oldest entry first.
        """
        entries = [
            entry
            for name, rank in self._rank_by_name.items()
            if not rank and (entry := self._entry_by_name.get(name)) and entry.report
        ]
        changing = [
            entry for entry in entries if not self._codec.has_target_versions(entry)
        ]
        changing.sort(key=lambda entry: entry.measured_ms)
        return [Poll(entry.name) for entry in changing[:_MAX_ROLLOUT_POLLS]]

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
            for part in _split_into_datagrams(entries)
        ]

    def _update_ranks(self) -> None:
        """Calculate this node's rank among the possible pollers of each replica."""
        self._rank_by_name = {}
        for name in self._watched:
            own = rendezvous_rank(name, self._own)
            before = sum(
                rendezvous_rank(name, peer) > own
                for peer in self._peers
                if peer != self._own
            )
            self._rank_by_name[name] = min(before, _MAX_POLLER_RANK)

    def _rows(self) -> list[tuple[str, ...]]:
        count = len(self._peers)
        width = count if count <= _MAX_DIRECT_NODES else math.ceil(math.sqrt(count))
        return [self._peers[start : start + width] for start in range(0, count, width)]

    def _row(self) -> tuple[str, ...]:
        row = next(row for row in self._rows() if self._own in row)
        return tuple(name for name in row if name != self._own)

    def _column(self) -> tuple[str, ...]:
        """Return the nodes of other rows to which this node sends its row's entries.

        If the last row is shorter, its nodes send to several nodes of each other row.
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
    """Return the replicas whose load a failure domain collects.

    These are the domain's own replicas and, for each model, as many replicas of other
    domains as are needed for eight in total, but at least one. All nodes of a domain
    choose the same replicas. Domains choose different ones, so that no replica is
    polled from all domains.
    """
    replica_by_name = {item.name: item for item in replicas}
    local = [item for item in replicas if item.failure_domain == failure_domain]
    watched = {item.name for item in local}
    for model in sorted({model for item in replicas for model in item.versions}):
        local_count = sum(model in item.versions for item in local)
        remote = [
            item.name
            for item in replicas
            if model in item.versions and item.failure_domain != failure_domain
        ]
        count = max(1, _MIN_WATCHED_PER_MODEL - local_count)
        watched.update(rendezvous_order(failure_domain, remote)[:count])
    return [replica_by_name[name] for name in sorted(watched)]


def is_urgent_change(before: LoadEntry | None, after: LoadEntry) -> bool:
    """Return whether other nodes must receive a change before the next period."""
    if before is None:
        return False
    if before.report is None or after.report is None:
        return before.report is not after.report
    return (
        after.report.leaving != before.report.leaving
        or after.report.version_by_model != before.report.version_by_model
    )


def _split_into_datagrams(entries: list[LoadEntry]) -> list[list[LoadEntry]]:
    return [
        entries[start : start + _MAX_ENTRIES_PER_DATAGRAM]
        for start in range(0, len(entries), _MAX_ENTRIES_PER_DATAGRAM)
    ]
