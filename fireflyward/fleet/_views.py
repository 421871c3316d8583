"""Turns news of the platform's tables into what this node believes."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fireflyward.clock import Clock
from fireflyward.deployment import Configuration, ReplicaEntry
from fireflyward.feeds import RETENTION_MS, TableRow, TableUpdate
from fireflyward.forwarding import WeightVersions
from fireflyward.http1 import ConnectionPool
from fireflyward.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    WEIGHTS_PREFIX,
    decode_configuration,
    decode_evacuation,
    decode_replica,
    decode_weight_target,
)
from fireflyward.replicas import ReplicaDirectory, ReplicaState
from fireflyward.routes import RouteTable

log = logging.getLogger("fireflyward.views")

# Entries that went within this time of an outage may have lapsed in it.
_AFTER_OUTAGE_MS = 2_000


class OperatorView:
    """Takes what operators write: configuration, versions of weights, evacuations."""

    def __init__(
        self,
        *,
        clock: Clock,
        routes: RouteTable,
        weights: WeightVersions,
        directory: ReplicaDirectory,
        failure_domains: tuple[str, ...],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._on_configuration = on_configuration
        self._has_begun = False
        self._clock = clock
        self._routes = routes
        self._weights = weights
        self._directory = directory
        self._failure_domains = failure_domains
        # Evacuations that an older copy of the table lacks, and until when they hold.
        self._carried: set[str] = set()
        self._carried_until_ms = 0

    def on_news(self, news: TableUpdate) -> None:
        """Put newer rows in force and note how fresh the configuration is."""
        for row in news.rows:
            if not row.is_deleted:
                self._take(row, at_start=not self._has_begun)
        self._take_evacuations(news)
        self._has_begun = True
        self._routes.confirm(news.as_of_ms)

    def _take(self, row: TableRow, *, at_start: bool) -> None:
        if row.key == CONFIGURATION_KEY:
            self._take_configuration(row)
        elif row.key.startswith(WEIGHTS_PREFIX):
            self._take_target(row, at_start=at_start)

    def _take_evacuations(self, news: TableUpdate) -> None:
        """Stop or resume sending to failure domains as their rows come and go."""
        before = self._directory.evacuated
        now_ms = self._clock.now_ms()
        if news.is_new_era:
            self._carried = set(before)
            self._carried_until_ms = now_ms + RETENTION_MS
        # Of a whole table, what has no row any more was taken back unseen.
        evacuated = self._carried & before if news.is_snapshot else set(before)
        for row in news.rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            domain = row.key.removeprefix(EVACUATION_PREFIX)
            if row.is_restored:
                if domain in before:
                    evacuated.add(domain)
                    self._carried.discard(domain)
                continue
            evacuated.discard(domain)
            if row.position.era == news.position.era:
                self._carried.discard(domain)
            else:
                self._carried.add(domain)
                self._carried_until_ms = now_ms + RETENTION_MS
            if row.is_deleted:
                continue
            if decode_evacuation(domain, row.value) is None:
                log.error("views: row %s is not understood", row.key)
                continue
            evacuated.add(domain)
            if domain not in self._failure_domains:
                log.error("views: no failure domain %s to evacuate is known", domain)
        if now_ms >= self._carried_until_ms:
            # Removed in the new era before this node read the table.
            evacuated -= self._carried
            self._carried.clear()
        if evacuated == before:
            return
        for domain in evacuated - before:
            log.info("views: failure domain %s is evacuated", domain)
        for domain in before - evacuated:
            log.info("views: failure domain %s is evacuated no more", domain)
        self._directory.set_evacuated(now_ms, frozenset(evacuated))

    def _take_configuration(self, row: TableRow) -> None:
        configuration = decode_configuration(row.value)
        if configuration is None:
            # The store takes only valid rows, so this one is of a newer format;
            # what is in force stays.
            log.error("views: row %s is not understood", row.key)
        elif self._routes.apply(configuration):
            log.info("views: configuration %d in force", configuration.version)
            self._on_configuration(configuration)

    def _take_target(self, row: TableRow, *, at_start: bool) -> None:
        target = decode_weight_target(row.value)
        if target is None:
            log.error("views: row %s is not understood", row.key)
        elif self._weights.set_target(self._clock.now_ms(), target, at_start=at_start):
            log.info("views: %s named for %s", target.version, target.model)


class ReplicaView:
    """Takes the list of replicas."""

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        pool: ConnectionPool,
        on_removed: Callable[[ReplicaState], None],
    ) -> None:
        self._clock = clock
        self._on_removed = on_removed
        self._directory = directory
        self._pool = pool
        self._outage_end_ms: int | None = None
        self.is_known = False

    def on_news(self, news: TableUpdate) -> None:
        """Bring the directory up to date."""
        now_ms = self._clock.now_ms()
        if news.unavailable_ms or news.is_new_era:
            self._outage_end_ms = now_ms
        found = _sorted_out(row for row in news.rows if not row.is_restored)
        copied = _sorted_out(row for row in news.rows if row.is_restored).entries
        if news.is_new_era:
            # This node may not have seen the row of before the replica said so.
            copied += [entry for entry in found.entries if self._unsays_leaving(entry)]
        after_outage = (
            self._outage_end_ms is not None
            and now_ms - self._outage_end_ms < _AFTER_OUTAGE_MS
        )
        if news.is_snapshot:
            gone = self._directory.on_full_read(
                now_ms,
                found.entries,
                restored=copied,
                after_outage=after_outage,
            )
        else:
            gone = self._directory.on_changes(
                now_ms, found.entries, found.removed, after_outage=after_outage
            )
        gone += self._directory.drop(found.foreign)
        self.is_known = True
        for state in [*gone, *self._directory.expire(now_ms)]:
            self._pool.forget(state.entry.address)
            self._on_removed(state)

    def _unsays_leaving(self, entry: ReplicaEntry) -> bool:
        """Tell whether an entry is from before its start was known to leave."""
        state = self._directory.find_incarnation(entry.number)
        return state is not None and state.is_leaving and not entry.is_leaving


@dataclass(frozen=True, slots=True)
class _SortedOut:
    """Entries of replicas, removed names, and names of unknown writers."""

    entries: list[ReplicaEntry] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    foreign: list[str] = field(default_factory=list)


def _sorted_out(rows: Iterable[TableRow]) -> _SortedOut:
    found = _SortedOut()
    for row in rows:
        entry = None if row.is_deleted else decode_replica(row.key, row.value)
        if entry is not None:
            found.entries.append(entry)
        elif row.is_deleted:
            found.removed.append(row.key)
        else:
            log.error("views: entry of %s names no replica", row.key)
            found.foreign.append(row.key)
    return found
