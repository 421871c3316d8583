"""Applies updates of the platform's tables to the state of this node."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fireflyward.backing import Position
from fireflyward.clock import Clock, Standstills
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
from fireflyward.replicas import (
    ListConfirmation,
    ReplicaDirectory,
    ReplicaState,
    StoreOutages,
)
from fireflyward.routes import RouteTable

log = logging.getLogger("fireflyward.views")

# The store is taken to have been away if at least this many calls failed, while this
# process ran for at least this time.
_OUTAGE_CALLS = 2
_OUTAGE_MS = 5_000
# An era above this one begins with a restore from an older snapshot.
_FIRST_ERA = 1


class OperatorView:
    """Applies the rows of operators: configuration, weight versions, evacuations."""

    def __init__(
        self,
        *,
        clock: Clock,
        routes: RouteTable,
        weights: WeightVersions,
        directory: ReplicaDirectory,
        failure_domains: tuple[str, ...],
        on_configuration: Callable[[Configuration], None],
        standstills: Standstills,
        on_named: Callable[[str, Position], None] = lambda model, position: None,
    ) -> None:
        """``on_named`` gets a model with a newer version, and its row's position."""
        self._on_configuration = on_configuration
        self._on_named = on_named
        self._standstills = standstills
        self._has_read_table = False
        self._unproven_until_ms = 0
        self._clock = clock
        self._routes = routes
        self._weights = weights
        self._directory = directory
        self._failure_domains = failure_domains
        # Evacuations that a restored table lacks, and until when they stay in force.
        self._retained_evacuations: set[str] = set()
        self._retained_until_ms = 0

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply newer rows and record when the configuration was last confirmed."""
        self._skip_outage(update)
        for row in update.rows:
            if not row.is_deleted:
                self._apply_row(row, update)
        self._update_evacuations(update)
        self._routes.confirm(update.as_of_ms)
        self._confirm_weights(update)
        self._has_read_table = True

    def _skip_outage(self, update: TableUpdate) -> None:
        """Do not count the time in which the store was not available to this node.

        The time that a version allows to older weights does not include disruptions. A
        standstill of this node makes its calls fail too, and counts. Before the first
        reading nothing is known of the time in which a version was named.
        """
        now_ms = self._clock.now_ms()
        before_ms = self._weights.history.confirmed_ms
        if before_ms is None or update.failed_calls < _OUTAGE_CALLS:
            return
        lost_ms = self._standstills.lost_ms(now_ms, since_ms=before_ms)
        if now_ms - before_ms - lost_ms >= _OUTAGE_MS:
            self._weights.on_outage_ended(update.as_of_ms)

    def _confirm_weights(self, update: TableUpdate) -> None:
        """Record that the newest versions known now were the newest at the update.

        A store that was restored from an older snapshot may lack a version until the
        operators have written it again. A node that starts cannot know how long ago the
        store was restored.
        """
        is_first = not self._has_read_table and update.position.era > _FIRST_ERA
        if update.is_new_era or is_first:
            self._unproven_until_ms = self._clock.now_ms() + RETENTION_MS
        retained = any(
            row.position.era < update.position.era and not row.is_restored
            for row in update.rows
        )
        if not retained and self._clock.now_ms() >= self._unproven_until_ms:
            self._weights.confirm(update.as_of_ms)

    def _apply_row(self, row: TableRow, update: TableUpdate) -> None:
        if row.key == CONFIGURATION_KEY:
            self._apply_configuration(row)
        elif row.key.startswith(WEIGHTS_PREFIX):
            self._apply_weight_target(row, update)

    def _update_evacuations(self, update: TableUpdate) -> None:
        """Stop or resume sending to failure domains as their rows change."""
        before = self._directory.evacuated
        now_ms = self._clock.now_ms()
        if update.is_new_era:
            self._retained_evacuations = set(before)
            self._retained_until_ms = now_ms + RETENTION_MS
        # A snapshot without the row means that the evacuation was withdrawn unobserved.
        evacuated = (
            self._retained_evacuations & before if update.is_snapshot else set(before)
        )
        for row in update.rows:
            if not row.key.startswith(EVACUATION_PREFIX):
                continue
            domain = row.key.removeprefix(EVACUATION_PREFIX)
            if row.is_restored:
                if domain in before:
                    evacuated.add(domain)
                    self._retained_evacuations.discard(domain)
                continue
            evacuated.discard(domain)
            if row.position.era == update.position.era:
                self._retained_evacuations.discard(domain)
            else:
                self._retained_evacuations.add(domain)
                self._retained_until_ms = now_ms + RETENTION_MS
            if row.is_deleted:
                continue
            if decode_evacuation(domain, row.value) is None:
                log.error("views: row %s cannot be decoded", row.key)
                continue
            evacuated.add(domain)
            if domain not in self._failure_domains:
                log.error("views: the failure domain %s to evacuate is unknown", domain)
        if now_ms >= self._retained_until_ms:
            # These were removed in the new era before this node read the table.
            evacuated -= self._retained_evacuations
            self._retained_evacuations.clear()
        if evacuated == before:
            return
        for domain in evacuated - before:
            log.info("views: failure domain %s is evacuated", domain)
        for domain in before - evacuated:
            log.info("views: failure domain %s is evacuated no more", domain)
        self._directory.set_evacuated(now_ms, frozenset(evacuated))

    def _apply_configuration(self, row: TableRow) -> None:
        configuration = decode_configuration(row.value)
        if configuration is None:
            # The store accepts only valid rows, so this one has a newer format. The
            # current configuration stays in force.
            log.error("views: row %s cannot be decoded", row.key)
        elif self._routes.apply(configuration):
            log.info("views: configuration %d in force", configuration.version)
            self._on_configuration(configuration)

    def _apply_weight_target(self, row: TableRow, update: TableUpdate) -> None:
        target = decode_weight_target(row.value)
        if target is None:
            log.error("views: row %s cannot be decoded", row.key)
            return
        now_ms = self._clock.now_ms()
        if not self._weights.set_target(now_ms, target):
            return
        before_ms = self._weights.history.confirmed_ms
        log.info(
            "views: %s named for %s",
            target.version,
            target.model,
            extra={
                "source": update.source,
                "read_as_of_ms": now_ms - update.as_of_ms,
                "read_before_ms": None if before_ms is None else now_ms - before_ms,
                "lost_ms": self._standstills.lost_ms(now_ms, since_ms=before_ms or 0),
                "failed_calls": update.failed_calls,
            },
        )
        self._on_named(target.model, row.position)


class ReplicaView:
    """Applies the list of replicas to the directory.

    ``heartbeat_ms`` is the interval at which replicas renew their entries.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        pool: ConnectionPool,
        heartbeat_ms: int,
        on_removed: Callable[[ReplicaState], None],
        on_updated: Callable[[], None] = lambda: None,
    ) -> None:
        """``on_updated`` is called after each change of the directory."""
        self._clock = clock
        self._on_updated = on_updated
        self._on_removed = on_removed
        self._directory = directory
        self._pool = pool
        self._outages = StoreOutages(heartbeat_ms=heartbeat_ms)
        self._keeps_entries = asyncio.Event()
        self.has_read_table = False

    async def run(self) -> None:
        """Remove kept entries when their time ends, also if no update follows."""
        while True:
            await self._keeps_entries.wait()
            times_ms = self._directory.expiry_times_ms()
            if not times_ms:
                self._keeps_entries.clear()
                continue
            await self._clock.sleep_ms(min(times_ms) - self._clock.now_ms())
            self._handle_removed(self._directory.expire(self._clock.now_ms()))

    def on_table_update(self, update: TableUpdate) -> None:
        """Update the directory."""
        now_ms = self._clock.now_ms()
        self._directory.confirmation = ListConfirmation(update.as_of_ms, update.source)
        self._outages.on_answer(
            now_ms,
            unavailable_ms=update.unavailable_ms,
            failed_calls=update.failed_calls,
        )
        if update.is_new_era:
            self._outages.on_restored(now_ms)
        found = _classify_rows(row for row in update.rows if not row.is_restored)
        restored_entries = _classify_rows(
            row for row in update.rows if row.is_restored
        ).entries
        if update.is_new_era:
            # This node may never have read the row that the replica had written before
            # it announced that it leaves.
            restored_entries += [
                entry for entry in found.entries if self._predates_leaving(entry)
            ]
        keep_until_ms = self._outages.keep_until_ms(now_ms)
        if update.is_snapshot:
            gone = self._directory.on_full_read(
                now_ms,
                found.entries,
                restored=restored_entries,
                keep_until_ms=keep_until_ms,
            )
        else:
            gone = self._directory.on_changes(
                now_ms, found.entries, found.removed, keep_until_ms=keep_until_ms
            )
        gone += self._directory.drop(found.malformed)
        self.has_read_table = True
        self._handle_removed([*gone, *self._directory.expire(now_ms)])
        if self._directory.expiry_times_ms():
            self._keeps_entries.set()

    def _handle_removed(self, states: Iterable[ReplicaState]) -> None:
        for state in states:
            self._pool.close_idle(state.entry.address)
            self._on_removed(state)
        self._on_updated()

    def _predates_leaving(self, entry: ReplicaEntry) -> bool:
        """Return whether a leaving incarnation's entry doesn't show that it leaves."""
        state = self._directory.find_incarnation(entry.incarnation_id)
        return state is not None and state.is_leaving and not entry.is_leaving


@dataclass(frozen=True, slots=True)
class _ClassifiedRows:
    """Valid entries, and the keys of removed and of malformed rows."""

    entries: list[ReplicaEntry] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    malformed: list[str] = field(default_factory=list)


def _classify_rows(rows: Iterable[TableRow]) -> _ClassifiedRows:
    found = _ClassifiedRows()
    for row in rows:
        entry = None if row.is_deleted else decode_replica(row.key, row.value)
        if entry is not None:
            found.entries.append(entry)
        elif row.is_deleted:
            found.removed.append(row.key)
        else:
            log.error("views: entry of %s is malformed", row.key)
            found.malformed.append(row.key)
    return found
