"""Rows of the nodes' table that list a service's software versions."""

import logging
from collections.abc import Callable

import msgspec

from fireflyward.backing import Committed, Position
from fireflyward.clock import Clock
from fireflyward.feeds import TableUpdate
from fireflyward.platform import StoreClient

from ._versions import SoftwareVersions

log = logging.getLogger("fireflyward.streams")

_PREFIX = "software/"
_PERIOD_MS = 1_000
# How long the other nodes leave a write to the one that is first for this duty.
_DUTY_TIMEOUT_MS = 3_000


class SoftwareRow(msgspec.Struct, frozen=True):
    """The versions at which streams of a service may have begun."""

    versions: tuple[str, ...]


class SoftwareRows:
    """Stores the versions of each service that has several, now or lately.

    A node that has just started has not seen the replicas that left before. It would
    take the only version in the list for that of all streams. The rows tell it of the
    others, also if all nodes started at the same moment. A service whose replicas all
    have one version has no row.

    A node adds only versions that it knows at first hand. One that it knows from the
    row stays there until this node forgets it, and is not written again.
    """

    __slots__ = (
        "_clock",
        "_differs_since_ms",
        "_era",
        "_is_first",
        "_position_by_service",
        "_store",
        "_stored",
        "_table",
        "_versions",
    )

    def __init__(
        self,
        versions: SoftwareVersions,
        *,
        clock: Clock,
        store: StoreClient,
        table: str,
        is_first: Callable[[], bool],
    ) -> None:
        """``is_first`` returns whether this node is to write the rows."""
        self._versions = versions
        self._clock = clock
        self._store = store
        self._table = table
        self._is_first = is_first
        self._stored: dict[str, frozenset[str]] = {}
        self._position_by_service: dict[str, Position] = {}
        self._differs_since_ms: dict[str, int] = {}
        self._era = 0

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table."""
        now_ms = self._clock.now_ms()
        self._era = max(self._era, update.position.era)
        if update.is_snapshot:
            self._stored.clear()
            self._position_by_service.clear()
        for row in update.rows:
            if not row.key.startswith(_PREFIX):
                continue
            service = row.key.removeprefix(_PREFIX)
            self._position_by_service[service] = row.position
            self._stored.pop(service, None)
            if row.is_deleted:
                del self._position_by_service[service]
                continue
            try:
                stored = msgspec.json.decode(row.value, type=SoftwareRow)
            except msgspec.MsgspecError as error:
                log.error("streams: row %s cannot be decoded: %s", row.key, error)
                continue
            self._stored[service] = frozenset(stored.versions)
            self._versions.on_told(now_ms, service, stored.versions)

    async def run(self) -> None:
        """Write rows that differ from what this node knows, until cancelled."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            for service, wanted in self.due(self._clock.now_ms()):
                await self._write(service, wanted)

    def due(self, now_ms: int) -> list[tuple[str, frozenset[str]]]:
        """Return the services whose rows to write now; an empty row is deleted."""
        due = []
        for service in sorted(self._versions.services() | self._stored.keys()):
            stored = self._stored.get(service, frozenset())
            kept = stored & self._versions.recent(now_ms, service)
            wanted = kept | self._versions.first_hand(now_ms, service)
            if len(wanted) < 2:
                wanted = frozenset()
            if wanted == stored:
                self._differs_since_ms.pop(service, None)
                continue
            since_ms = self._differs_since_ms.setdefault(service, now_ms)
            if self._is_first() or now_ms - since_ms >= _DUTY_TIMEOUT_MS:
                due.append((service, wanted))
        return due

    async def _write(self, service: str, wanted: frozenset[str]) -> None:
        key = _PREFIX + service
        position = self._position_by_service.get(service, Position(self._era, 0))
        row = msgspec.json.encode(SoftwareRow(tuple(sorted(wanted))))
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: position},
            puts={key: row} if wanted else {},
            deletes=() if wanted else (key,),
        )
        if isinstance(result, Committed):
            self._stored[service] = wanted
            if wanted:
                self._position_by_service[service] = result.position_of(key)
            else:
                self._position_by_service.pop(service, None)
        names = ", ".join(sorted(wanted))
        log.info("streams: row %s [%s]: %s", key, names, type(result).__name__)
