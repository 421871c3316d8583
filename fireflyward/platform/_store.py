"""Calls to the platform's store: rows, conditional writes, the feed."""

import base64
import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from fireflyward.backing import (
    Committed,
    Conflict,
    Eras,
    Position,
    Unavailable,
    Uncertain,
)
from fireflyward.clock import Clock
from fireflyward.feeds import Changes, HistoryLost, Snapshot, TableRow
from fireflyward.http1 import (
    ConnectionPool,
    FullResponse,
    NoResponse,
    NotConnected,
    read_full_response,
)

from ._decoding import decoded

log = logging.getLogger("fireflyward.platform")

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
WEIGHTS_PREFIX = "version/"
EVACUATION_PREFIX = "evacuate/"
REPLICA_TABLE = "servers"
READINESS_PATH = "/-/readyz"

_GET = "/-/rows-get"
_FEED = "/-/rows-feed"
_WRITE = "/-/rows-tx"
_GONE = 410
_CONDITION_FAILED = 412
_CONNECT_MS = 500
_ERA = "store-era"
_ERA_DIGITS = 9
_EARLIER_ERA = "an answer of an earlier era"


class _Row(msgspec.Struct, rename="kebab"):
    key: str = ""
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _Rows(msgspec.Struct, rename="kebab"):
    rows: list[_Row] = []
    has_more: bool = False
    ver: int = 0
    now_ms: float = 0


@dataclass(frozen=True, slots=True)
class _Page:
    rows: tuple[TableRow, ...]
    position: Position
    has_more: bool

    @property
    def era(self) -> int:
        return self.position.era


@dataclass(frozen=True, slots=True)
class _Answer:
    """A response of the store, with the era in which it was given."""

    status: int
    body: bytes
    era: int


class StoreClient:
    """One client for all calls; each has its own connection while it lasts.

    Every answer other than the wanted one is a value: ``Unavailable`` means that
    nothing was done, ``Uncertain`` that a write may have taken effect, also later.

    ``eras`` hears of the era of each answer; a late one is ``Unavailable`` or
    ``Uncertain``.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_pool",
        "_suspects_silence",
        "_unread_era",
        "calls",
        "eras",
    )

    def __init__(self, address: str, *, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._pool = ConnectionPool(clock)
        self._suspects_silence = False
        self._unread_era: str | None = ""
        self.calls = 0
        self.eras = Eras()

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable:
        """Read a whole table's part, page after page."""
        rows: list[TableRow] = []
        first = None
        start = ""
        while True:
            query = {"table": table, "part": part}
            if start:
                query["from"] = start
            page = await self._read(_GET, query, limit_ms)
            if isinstance(page, Unavailable):
                return page
            if isinstance(page, HistoryLost):
                return Unavailable("no history, though rows were asked for")
            first = first or page
            if page.era != first.era:
                return Unavailable("the era changed between two pages")
            rows += page.rows
            if not page.has_more or not page.rows:
                break
            # The next page starts behind the last key: the least text above it.
            start = page.rows[-1].key + "\0"
        # Later pages may be newer; the feed is read on from the first one's version.
        return Snapshot(tuple(rows), first.position)

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait up to ``wait_ms`` for rows that changed after a position.

        In another era than that of ``after`` the rows are not all that changed.
        """
        query = {"table": table, "after": str(after.version), "wait-ms": str(wait_ms)}
        page = await self._read(_FEED, query, wait_ms + limit_ms)
        if isinstance(page, Unavailable | HistoryLost):
            return page
        return Changes(page.rows, page.position)

    async def write(
        self,
        *,
        table: str,
        part: str,
        expected: Mapping[str, Position],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        limit_ms: float = 1_000,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        """Write all or nothing, if each key of ``expected`` stands as it was read.

        Version 0 is that of a row which is not there. A condition of an earlier era
        may hold by chance, since versions are given out again: it is not sent, and a
        write that met another era than its conditions is ``Uncertain``.
        """
        if self.eras.may_hold_by_chance(expected.values()):
            return Conflict()
        where = {"table": table, "part": part}
        body = {
            "expected-revision": [
                {**where, "key": key, "ver": read.version}
                for key, read in expected.items()
            ],
            "writes": [
                {**where, "key": key, "value": base64.b64encode(value).decode()}
                for key, value in puts.items()
            ],
            "remove": [{**where, "key": key} for key in deletes],
        }
        answer = await self._call("POST", _WRITE, msgspec.json.encode(body), limit_ms)
        if isinstance(answer, Unavailable | Uncertain):
            return answer
        if answer.status not in (200, _CONDITION_FAILED):
            return _refused(answer)
        if any(answer.era != read.era for read in expected.values()):
            return Uncertain(f"conditions were met in another era, {answer.era}")
        if self.eras.is_late(answer.era):
            return Uncertain(_EARLIER_ERA)
        page = decoded(answer.body, _Rows)
        if page is None:
            return Uncertain("unreadable answer")
        if answer.status == _CONDITION_FAILED:
            return Conflict({row.key: row.ver for row in page.rows})
        return Committed(dict.fromkeys(puts, page.ver), answer.era)

    async def _read(
        self, path: str, query: Mapping[str, str], limit_ms: float
    ) -> _Page | HistoryLost | Unavailable:
        target = f"{path}?{urlencode(query)}"
        answer = await self._call("GET", target, b"", limit_ms)
        if isinstance(answer, Uncertain):
            return Unavailable(answer.detail)
        if isinstance(answer, Unavailable):
            return answer
        if self.eras.is_late(answer.era):
            return Unavailable(_EARLIER_ERA)
        if answer.status == _GONE:
            return HistoryLost()
        if answer.status != 200:
            return _refused(answer)
        page = decoded(answer.body, _Rows)
        if page is None:
            return Unavailable("unreadable answer")
        rows = tuple(_table_row(row, answer.era) for row in page.rows)
        return _Page(rows, Position(answer.era, page.ver), page.has_more)

    async def _call(
        self, method: str, target: str, body: bytes, limit_ms: float
    ) -> _Answer | Unavailable | Uncertain:
        self.calls += 1
        connection = await self._pool.acquire(
            self._address, connect_ms=_CONNECT_MS, fresh=self._suspects_silence
        )
        if isinstance(connection, NotConnected):
            return Unavailable(connection.detail)
        headers = [("Host", self._address)]
        if body:
            headers.append(("Content-Type", "application/json"))
        connection.send(method, target, headers, body)
        answer = await read_full_response(
            connection, clock=self._clock, limit_ms=limit_ms
        )
        self._suspects_silence = isinstance(answer, NoResponse)
        if isinstance(answer, NoResponse):
            return Uncertain(answer.detail)
        self._pool.release(connection)
        return _Answer(answer.status, answer.body, self._era_of(answer))

    def _era_of(self, answer: FullResponse) -> int:
        told = next((text for name, text in answer.headers if name == _ERA), "")
        if told.isascii() and told.isdigit() and len(told) <= _ERA_DIGITS:
            self._unread_era = None
            return self.eras.of_answer(int(told))
        if told != self._unread_era:
            # Once for each change, and not at all where no answer ever told one.
            self._unread_era = told
            log.warning("platform: an answer tells no era: %r", told[:80])
        return self.eras.of_answer(None)


def _refused(answer: _Answer) -> Unavailable:
    text = answer.body[:80].decode("utf-8", "replace")
    return Unavailable(f"status {answer.status}: {text}")


def _table_row(row: _Row, era: int) -> TableRow:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # No bytes at all are no row of any table; the rows beside it hold.
        log.warning("platform: row %s of %s is unreadable", row.key, row.table)
        value = b""
    return TableRow(row.key, value, Position(era, row.ver), row.deleted)
