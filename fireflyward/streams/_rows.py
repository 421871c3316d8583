"""Rows of the nodes' table that list a service's software versions."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from fireflyward.backing import Committed, Position
from fireflyward.clock import Clock, within_ms
from fireflyward.decoding import Name, decode_json
from fireflyward.feeds import RETENTION_MS, Changes, TableRow, TableUpdate
from fireflyward.platform import StoreClient

from ._stored import StoredVersions
from ._versions import SoftwareVersions

log = logging.getLogger("fireflyward.streams")

_PREFIX = "software/"
_PERIOD_MS = 1_000
# How often it is checked whether a write is due, while a row differs.
_CHECK_MS = 20
# A node that has just started leaves a new version beside usable ones to others for
# this time. If all nodes start at once, each reads first what was stored before.
_START_PAUSE_MS = 3_000
# How long the node that is last for this duty leaves a write to the others.
_DUTY_TIMEOUT_MS = 3_000
# A caller waits for this read of the rows, and perhaps for the end of an earlier one.
_READ_LIMIT_MS = 300
_READ_WAIT_MS = 400


def is_software_row(key: str) -> bool:
    """Return whether a row of the nodes' table lists software versions.

    >>> is_software_row("software/engines"), is_software_row("node/entry-1")
    (True, False)
    """
    return key.startswith(_PREFIX)


class SoftwareRow(msgspec.Struct, frozen=True):
    """The versions at which streams of a service may have begun."""

    versions: tuple[Name, ...]


class SoftwareRows:
    """Stores the versions of each service's replicas, those of now and of lately.

    A row is written at once when a version appears, since no stream begins there
    before, and again when its streams have ended. Nothing is written in between.

    A node that has just started has not seen the replicas that left before, and if all
    nodes started at the same moment, nobody has. The rows tell them.

    A node adds only versions that it knows at first hand. One that it knows from the
    row stays there until this node forgets it, and is not written again.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_differs_since_ms",
        "_era",
        "_has_recent_list",
        "_node_row",
        "_on_written",
        "_place",
        "_poll_soon",
        "_position",
        "_read_requested",
        "_readers",
        "_started_ms",
        "_store",
        "_stored",
        "_table",
        "_tried_ms_by_service",
        "_unproven_until_ms",
        "_versions",
    )

    def __init__(
        self,
        versions: SoftwareVersions,
        stored: StoredVersions,
        *,
        clock: Clock,
        store: StoreClient,
        table: str,
        node_row: str,
        has_recent_list: Callable[[], bool],
        place: Callable[[], float],
        on_written: Callable[[str, frozenset[str], Position], None],
        poll_soon: Callable[[], None],
    ) -> None:
        """``node_row`` is the key of the row that a node with this node's name writes.

        ``has_recent_list`` returns whether the list of replicas was confirmed lately.
        Without that nothing is removed from a row: others may serve what is missing.

        ``place`` returns this node's place for the duty, from 0 for the first to 1.

        ``on_written`` is called after each write of a row by this node. ``poll_soon``
        lets the table be read at once, if another node was faster with a write.
        """
        self._versions = versions
        self._stored = stored
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._store = store
        self._table = table
        self._node_row = node_row
        self._has_recent_list = has_recent_list
        self._place = place
        self._on_written = on_written
        self._poll_soon = poll_soon
        self._changed = asyncio.Event()
        self._differs_since_ms: dict[str, int] = {}
        self._tried_ms_by_service: dict[str, int] = {}
        self._era = 0
        # The position of the table at the last update of the feed.
        self._position: Position | None = None
        # A store restored from an older snapshot may lack rows until then.
        self._unproven_until_ms = 0
        # Callers that wait for the next read.
        self._readers: list[asyncio.Future[bool]] = []
        self._read_requested = asyncio.Event()

    def on_list(self) -> None:
        """Check soon whether a row differs: the list of replicas has changed."""
        self._changed.set()

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table."""
        self._era = max(self._era, update.position.era)
        self._position = update.position
        if update.is_new_era:
            self._unproven_until_ms = self._clock.now_ms() + RETENTION_MS
        self._apply(
            update.rows,
            is_full=update.is_snapshot,
            has_run=any(row.key == self._node_row for row in update.rows),
        )

    def _apply(
        self, rows: Iterable[TableRow], *, is_full: bool, has_run: bool = False
    ) -> None:
        now_ms = self._clock.now_ms()
        versions_by_service: dict[str, frozenset[str]] = {}
        position_by_service: dict[str, Position] = {}
        for row in rows:
            if not is_software_row(row.key):
                continue
            service = row.key.removeprefix(_PREFIX)
            position_by_service[service] = row.position
            if row.is_deleted:
                versions_by_service.pop(service, None)
                continue
            stored = decode_json(row.value, SoftwareRow)
            if stored is None:
                log.error("streams: row %s cannot be decoded", row.key)
                continue
            versions_by_service[service] = frozenset(stored.versions)
            self._versions.on_told(now_ms, service, stored.versions)
        self._stored.on_read(
            versions_by_service, position_by_service, is_full=is_full, has_run=has_run
        )

    async def read_now(self) -> bool:
        """Read what changed; return whether the rows are known as of this call.

        A read is shared by all calls that came before it was sent. The store answers
        itself: what another node cached is older than the call.
        """
        reader = asyncio.get_running_loop().create_future()
        self._readers.append(reader)
        self._read_requested.set()
        result = await within_ms(self._clock, _READ_WAIT_MS, _result_of(reader))
        return result is True

    async def run_reads(self) -> None:
        """Read for callers who wait, until cancelled.

        A caller that leaves does not end a call to the store.
        """
        while True:
            await self._read_requested.wait()
            self._read_requested.clear()
            readers, self._readers = self._readers, []
            has_read = await self._read_changes()
            for reader in readers:
                if not reader.done():
                    reader.set_result(has_read)

    async def _read_changes(self) -> bool:
        if self._position is None:
            return False
        result = await self._store.changes(
            self._table, after=self._position, wait_ms=0, limit_ms=_READ_LIMIT_MS
        )
        if not isinstance(result, Changes):
            log.info("streams: rows of software could not be read: %s", result)
            return False
        is_older = result.position < self._position
        if is_older or result.position.era != self._position.era:
            # The store was restored, and changes may be missing.
            return False
        self._apply(result.rows, is_full=False)
        return self._clock.now_ms() >= self._unproven_until_ms

    async def run(self) -> None:
        """Write rows that differ from what this node knows, until cancelled."""
        while True:
            untried = self._differs_since_ms.keys() - self._tried_ms_by_service.keys()
            pause_ms = _CHECK_MS if untried else _PERIOD_MS
            await within_ms(self._clock, pause_ms, self._changed.wait())
            self._changed.clear()
            for service, wanted in self.due(self._clock.now_ms()):
                await self._write(service, wanted)

    def due(self, now_ms: int) -> list[tuple[str, frozenset[str]]]:
        """Return the services whose rows to write now; an empty row is deleted."""
        due: list[tuple[str, frozenset[str]]] = []
        if not self._versions.has_read_list:
            return due
        for service in sorted(self._versions.services() | self._stored.services()):
            stored = self._stored.of(service)
            kept = stored & self._versions.recent(now_ms, service)
            wanted = kept | self._versions.first_hand(now_ms, service)
            if stored - wanted and not self._has_recent_list():
                wanted |= stored
            if wanted == stored:
                self._differs_since_ms.pop(service, None)
                self._tried_ms_by_service.pop(service, None)
                continue
            if self._may_write(now_ms, service):
                due.append((service, wanted))
        return due

    def _may_write(self, now_ms: int, service: str) -> bool:
        """Return whether this node writes a row that differs now, or leaves it."""
        since_ms = self._differs_since_ms.setdefault(service, now_ms)
        if now_ms - since_ms < self._place() * _DUTY_TIMEOUT_MS:
            return False
        has_just_started = now_ms - self._started_ms < _START_PAUSE_MS
        if has_just_started and self._stored.begins_at(now_ms, service):
            return False
        tried_ms = self._tried_ms_by_service.get(service)
        return tried_ms is None or now_ms - tried_ms >= _PERIOD_MS

    async def _write(self, service: str, wanted: frozenset[str]) -> None:
        key = _PREFIX + service
        position = self._stored.position_of(service) or Position(self._era, 0)
        row = msgspec.json.encode(SoftwareRow(tuple(sorted(wanted))))
        self._tried_ms_by_service[service] = self._clock.now_ms()
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: position},
            puts={key: row} if wanted else {},
            deletes=() if wanted else (key,),
        )
        if isinstance(result, Committed) and wanted:
            del self._tried_ms_by_service[service]
            self._on_written(service, wanted, result.position_of(key))
        else:
            self._poll_soon()
        names = ", ".join(sorted(wanted))
        log.info("streams: row %s [%s]: %s", key, names, type(result).__name__)


async def _result_of(reader: asyncio.Future[bool]) -> bool:
    return await reader
