"""The replica incarnations that may get new requests."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from fireflyward.deployment import ReplicaEntry, Service

from ._backpressure import Backpressure
from ._state import ReplicaState

log = logging.getLogger("fireflyward.replicas")

# An entry that its replica does not renew expires after three heartbeats of a second.
_ENTRY_EXPIRY_MS = 6_000
# Maximum number of removed incarnations whose backpressure is retained.
_MAX_RETAINED = 1_000


@dataclass(frozen=True, slots=True)
class _UnconfirmedEntry:
    """An entry from an older snapshot, of an incarnation that was already removed."""

    entry: ReplicaEntry
    until_ms: int


@dataclass(frozen=True, slots=True)
class ListConfirmation:
    """The latest time for which the list is known to be current, and by whom.

    ``as_of_ms`` is None until the list was read. ``source`` is the node that answered,
    or the store.
    """

    as_of_ms: int | None = None
    source: str = ""

    def age_ms(self, now_ms: int) -> int:
        """Return how old the list is, 0 before it was read."""
        return 0 if self.as_of_ms is None else max(0, now_ms - self.as_of_ms)


class ReplicaDirectory:
    """The list of replicas as this node last received it; no I/O.

    An entry that is missing after an outage of the store may have expired only because
    its replica could not renew it; see ``StoreOutages``. If it were dropped at once, a
    service would have no replicas just when the store is available again, so it stays
    until its replica had the time to write it again. These get no new requests: a
    replica whose entry says that it is leaving, one whose entry is removed otherwise,
    and one in an evacuated failure domain. If a replica says in an answer that it is
    leaving, its entry cannot revoke that, because the list is out of date while the
    store is unavailable. The backpressure of an incarnation is retained when its entry
    is removed: a network fault between the replica and the store alone can remove it
    while the replica goes on serving.

    A store that was restored from an older snapshot lists older entries than this node
    knows. Such an entry cannot revoke that an incarnation is leaving, nor that it was
    removed. If the store still lists a removed incarnation when its entry would have
    expired, then the replica renews the entry, and this node lists it again.
    """

    __slots__ = (
        "_backpressure_by_incarnation_id",
        "_by_service",
        "_lost_within_ms",
        "_unconfirmed_by_name",
        "_service_by_name",
        "_state_by_name",
        "_state_by_incarnation_id",
        "confirmation",
        "evacuated",
        "relayed",
        "unreachable",
        "without_path",
    )

    def __init__(
        self, *, lost_within_ms: Callable[[float], int] = lambda duration_ms: 0
    ) -> None:
        """``lost_within_ms`` returns how long no code ran in a time that ends now."""
        self._lost_within_ms = lost_within_ms
        self._state_by_name: dict[str, ReplicaState] = {}
        self._state_by_incarnation_id: dict[int, ReplicaState] = {}
        self._by_service: dict[str, list[ReplicaState]] = {}
        self._unconfirmed_by_name: dict[str, _UnconfirmedEntry] = {}
        self._backpressure_by_incarnation_id: dict[int, Backpressure] = {}
        self._service_by_name: Mapping[str, Service] | None = None
        self.confirmation = ListConfirmation()
        self.evacuated: frozenset[str] = frozenset()
        self.relayed: frozenset[str] = frozenset()
        self.unreachable: frozenset[str] = frozenset()
        self.without_path: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._state_by_name)

    def of_service(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that may get new requests."""
        return self._by_service.get(service, [])

    def set_services(self, service_by_name: Mapping[str, Service]) -> None:
        """Set the existing services; entries of other services are not replicas."""
        self._service_by_name = service_by_name
        self._rebuild_indexes()

    def set_evacuated(self, now_ms: int, domains: frozenset[str]) -> None:
        """Set the failure domains whose replicas get no new requests.

        Replicas of a domain that is no longer evacuated may have become cold in the
        meantime, which their entries report up to a heartbeat later. If this node
        assumed until then that they are warm, all nodes would send all new requests to
        them because they are idle, and they would crash.
        """
        returned, left = self.evacuated - domains, domains - self.evacuated
        self.evacuated = domains
        for state in self._state_by_name.values():
            if state.entry.failure_domain in left:
                state.backpressure.changes += 1
            if state.entry.failure_domain in returned:
                state.on_cold(now_ms, self._cold_start_ms(state))
        self._rebuild_indexes()

    def set_unreachable(
        self, domain: str, *, is_unreachable: bool, is_relayed: bool = False
    ) -> None:
        """Record whether this node can reach a failure domain.

        With ``is_relayed`` it reaches the domain through other nodes only. A domain
        that is unreachable twice in a row is in ``without_path``: a single probe fails
        too if this process stood still for a moment.
        """
        was_unreachable = domain in self.unreachable
        self.relayed = _with(self.relayed, domain, is_relayed)
        self.unreachable = _with(self.unreachable, domain, is_unreachable)
        self.without_path = _with(
            self.without_path, domain, is_unreachable and was_unreachable
        )

    def is_suspect(self, now_ms: int, state: ReplicaState) -> bool:
        """Return whether sends to a replica or to its failure domain probably fail."""
        is_unreachable = state.entry.failure_domain in self.unreachable
        return is_unreachable or state.is_suspect(now_ms)

    def cold_per_second(self, state: ReplicaState) -> float:
        """Return the requests per second a cold replica sustains, 0 for no limit."""
        service = (self._service_by_name or {}).get(state.entry.service)
        return service.cold_per_second if service is not None else 0.0

    def expiry_times_ms(self) -> list[int]:
        """Return until when each replica is kept that the list lacks."""
        states = self._state_by_name.values()
        times_ms = (state.expires_at_ms for state in states)
        return [time_ms for time_ms in times_ms if time_ms is not None]

    def all(self) -> list[ReplicaState]:
        """Return every listed replica, including those that are leaving."""
        return list(self._state_by_incarnation_id.values())

    def used_weights(self) -> dict[tuple[str, int], set[int]]:
        """Return the ids of the incarnations that may use each (model, version)."""
        used: dict[tuple[str, int], set[int]] = {}
        for state in self.all():
            for weights in state.possible_weights():
                used.setdefault(weights, set()).add(state.incarnation_id)
        return used

    def find(self, name: str) -> ReplicaState | None:
        """Return the replica that is listed under a name, or None."""
        return self._state_by_name.get(name)

    def find_incarnation(self, incarnation_id: int) -> ReplicaState | None:
        """Return the listed replica with this incarnation id, or None."""
        return self._state_by_incarnation_id.get(incarnation_id)

    def on_full_read(
        self,
        now_ms: int,
        entries: Iterable[ReplicaEntry],
        *,
        keep_until_ms: int | None = None,
        restored: Iterable[ReplicaEntry] = (),
    ) -> list[ReplicaState]:
        """Replace the whole list; return the states of the removed replicas.

        Replicas that are missing stay until ``keep_until_ms``, if it is given. Entries
        in ``restored`` come from an older snapshot of the list.
        """
        old = {entry.incarnation: entry for entry in restored}
        listed = {entry.incarnation: entry for entry in entries}
        names = listed.keys() | old.keys()
        listed = {name: entry for name, entry in listed.items() if name not in old}
        missing = [name for name in self._state_by_name if name not in names]
        dropped = self._add(
            now_ms, [*listed.values(), *self._new_in_snapshot(now_ms, old)]
        )
        dropped += self._remove(now_ms, missing, keep_until_ms)
        self._rebuild_indexes()
        return dropped

    def on_changes(
        self,
        now_ms: int,
        entries: Iterable[ReplicaEntry],
        removed: Iterable[str],
        *,
        keep_until_ms: int | None = None,
    ) -> list[ReplicaState]:
        """Apply changes of the list; return the states of the removed replicas.

        Replicas that were removed stay until ``keep_until_ms``, if it is given.
        """
        dropped = self._add(now_ms, entries)
        dropped += self._remove(now_ms, removed, keep_until_ms)
        self._rebuild_indexes()
        return dropped

    def on_leaving(self, state: ReplicaState) -> None:
        """Record that a replica is leaving, by its answer or another node's report."""
        state.backpressure.is_leaving = True
        state.backpressure.changes += 1
        self._rebuild_indexes()

    def drop(self, names: Iterable[str]) -> list[ReplicaState]:
        """Drop entries that no longer describe a replica; return their states."""
        dropped = [
            self._drop(name, "its entry does not describe a replica")
            for name in names
            if name in self._state_by_name
        ]
        if dropped:
            self._rebuild_indexes()
        return dropped

    def expire(self, now_ms: int) -> list[ReplicaState]:
        """Drop entries that were not renewed in time after an outage."""
        due = [
            name
            for name, state in self._state_by_name.items()
            if state.expires_at_ms is not None and now_ms >= state.expires_at_ms
        ]
        dropped = [self._drop(name, "not renewed after an outage") for name in due]
        renewed = [
            unconfirmed.entry
            for unconfirmed in self._unconfirmed_by_name.values()
            if self._is_list_known_at(now_ms, unconfirmed.until_ms)
        ]
        dropped += self._add(now_ms, renewed)
        if dropped or renewed:
            self._rebuild_indexes()
        return dropped

    def _is_list_known_at(self, now_ms: int, at_ms: int) -> bool:
        """Return whether a time has passed, and this node knows the list of then."""
        as_of_ms = self.confirmation.as_of_ms
        return now_ms >= at_ms and (as_of_ms is None or as_of_ms >= at_ms)

    def _new_in_snapshot(
        self, now_ms: int, restored_by_name: Mapping[str, ReplicaEntry]
    ) -> list[ReplicaEntry]:
        """Return the entries of an older snapshot that this node does not know."""
        new = []
        unconfirmed_by_name = {}
        for name, entry in restored_by_name.items():
            known = self._state_by_name.get(name)
            if known is not None:
                if known.incarnation_id == entry.incarnation_id and entry.is_leaving:
                    new.append(entry)
            elif entry.incarnation_id in self._backpressure_by_incarnation_id:
                unconfirmed = self._unconfirmed_by_name.get(name)
                if unconfirmed is None:
                    log.info("replicas: %s went, and an older copy lists it", name)
                    unconfirmed = _UnconfirmedEntry(entry, now_ms + _ENTRY_EXPIRY_MS)
                unconfirmed_by_name[name] = unconfirmed
            else:
                new.append(entry)
        self._unconfirmed_by_name = unconfirmed_by_name
        return new

    def _add(self, now_ms: int, entries: Iterable[ReplicaEntry]) -> list[ReplicaState]:
        """Add or update entries; return the states of incarnations they replace."""
        replaced = []
        for entry in entries:
            self._unconfirmed_by_name.pop(entry.incarnation, None)
            known = self._state_by_name.get(entry.incarnation)
            if known is not None and not _is_same_process(known.entry, entry):
                # The replica restarted under the same name and is empty. Its old
                # weights, slowdown and in-flight requests no longer exist: with the old
                # state it would get requests for a cache that it lacks, and would be
                # avoided for failures of the former incarnation. Entries arrive in the
                # order in which they were written, so this incarnation is the newer
                # one whatever its clock says.
                replaced.append(self._drop(entry.incarnation, "it restarted"))
                known = None
            if known is None:
                kept = self._backpressure_by_incarnation_id.pop(
                    entry.incarnation_id, None
                )
                state = ReplicaState(entry, kept, lost_within_ms=self._lost_within_ms)
                state.on_cold(now_ms, entry.cold_ms)
                self._state_by_name[entry.incarnation] = state
                log.info(
                    "replicas: %s of %s listed with software %s",
                    entry.incarnation,
                    entry.service,
                    entry.software,
                )
            else:
                _update(now_ms, known, entry)
        return replaced

    def _remove(
        self, now_ms: int, names: Iterable[str], keep_until_ms: int | None
    ) -> list[ReplicaState]:
        dropped = []
        for name in names:
            self._unconfirmed_by_name.pop(name, None)
            state = self._state_by_name.get(name)
            if state is None:
                continue
            if keep_until_ms is not None and not state.is_leaving:
                if state.expires_at_ms is None:
                    state.expires_at_ms = keep_until_ms
                    log.info(
                        "replicas: %s of %s kept for %d ms without an entry, which "
                        "may have expired in an outage",
                        name,
                        state.entry.service,
                        keep_until_ms - now_ms,
                    )
            else:
                dropped.append(self._drop(name, "removed"))
        return dropped

    def _drop(self, name: str, why: str) -> ReplicaState:
        state = self._state_by_name.pop(name)
        state.backpressure.changes += 1
        self._retain_backpressure(state)
        log.info("replicas: %s of %s gone: %s", name, state.entry.service, why)
        return state

    def _retain_backpressure(self, state: ReplicaState) -> None:
        """Retain an incarnation's backpressure; answers may still be in flight."""
        kept = self._backpressure_by_incarnation_id
        kept[state.incarnation_id] = state.backpressure
        while len(kept) > _MAX_RETAINED:
            del kept[next(iter(kept))]

    def _rebuild_indexes(self) -> None:
        self._by_service = {}
        self._state_by_incarnation_id = {}
        for state in self._state_by_name.values():
            service = state.entry.service
            known = self._service_by_name
            if known is not None and service not in known:
                continue
            self._state_by_incarnation_id[state.incarnation_id] = state
            is_evacuated = state.entry.failure_domain in self.evacuated
            if not state.is_leaving and not is_evacuated:
                self._by_service.setdefault(service, []).append(state)

    def _cold_start_ms(self, state: ReplicaState) -> int:
        service = (self._service_by_name or {}).get(state.entry.service)
        return service.cold_start_ms if service is not None else 0


def _with(domains: frozenset[str], domain: str, is_member: bool) -> frozenset[str]:
    return domains | {domain} if is_member else domains - {domain}


def _is_same_process(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    return known.started_ms == entry.started_ms and known.address == entry.address


def _update(now_ms: int, known: ReplicaState, entry: ReplicaEntry) -> None:
    if entry.is_leaving and not known.is_leaving:
        log.info("replicas: %s of %s is leaving", entry.incarnation, entry.service)
        known.backpressure.changes += 1
    if entry.cold_ms != known.entry.cold_ms:
        # A full read repeats unchanged entries, whose remaining time is out of date.
        known.on_cold(now_ms, entry.cold_ms)
    known.update_entry(entry)
