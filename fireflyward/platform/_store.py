"""Client of the platform's store: reads, conditional writes and change feeds."""

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
    StoreTime,
    Unavailable,
    Uncertain,
)
from fireflyward.clock import Clock
from fireflyward.decoding import Count, NonNegativeNumber, decode_json
from fireflyward.feeds import Changes, HistoryLost, Snapshot, TableRow
from fireflyward.http1 import (
    ConnectionPool,
    FullResponse,
    NoResponse,
    NotConnected,
    ReadMemory,
    read_full_response,
)

log = logging.getLogger("fireflyward.platform")

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
WEIGHTS_PREFIX = "version/"
EVACUATION_PREFIX = "evacuate/"
REPLICA_TABLE = "servers"
READINESS_PATH = "/-/readyz"

_READ_PATH = "/-/rows-get"
_FEED_PATH = "/-/rows-feed"
_WRITE_PATH = "/-/rows-tx"
# A read returns rows of 1 MB at most, before their encoding. A call to the feed returns
# all rows that have changed.
_MAX_RESPONSE_BYTES = 16 << 20
# Rows of one part of a table. A deployment's largest table lists its replicas.
_MAX_ROWS = 100_000
_GONE = 410
_CONDITION_FAILED = 412
_CONNECT_TIMEOUT_MS = 500
_ERA_HEADER = "store-era"
_MAX_ERA_DIGITS = 9
_EARLIER_ERA_DETAIL = "response of an earlier era"


class _Row(msgspec.Struct, rename="kebab"):
    key: str = ""
    table: str = ""
    part: str = ""
    value: str = ""
    ver: Count = 0
    deleted: bool = False


class _Rows(msgspec.Struct, rename="kebab"):
    rows: list[_Row] = []
    has_more: bool = False
    ver: Count = 0
    now_ms: NonNegativeNumber = 0


@dataclass(frozen=True, slots=True)
class _Page:
    rows: tuple[TableRow, ...]
    position: Position
    has_more: bool

    @property
    def era(self) -> int:
        return self.position.era


@dataclass(frozen=True, slots=True)
class _Response:
    """A response of the store, with the era in which the store sent it."""

    status: int
    body: bytes
    era: int
    sent_ms: int


class StoreClient:
    """Client for all calls to the store; each call in flight has its own connection.

    Failures are returned as values: ``Unavailable`` means that nothing was done,
    ``Uncertain`` that a write may have taken effect or may still do so.

    The client records the era of each response in ``eras``. For a late response of
    an earlier era it returns ``Unavailable`` or ``Uncertain``. ``time`` is a reading of
    the store's clock, None before the first response about rows.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_pool",
        "_invalid_era_text",
        "calls",
        "eras",
        "time",
    )

    def __init__(
        self, address: str, *, clock: Clock, memory: ReadMemory | None = None
    ) -> None:
        """``memory`` bounds the responses that are read."""
        self._address = address
        self._clock = clock
        self._pool = ConnectionPool(clock, memory=memory)
        self._invalid_era_text: str | None = ""
        self.calls = 0
        self.eras = Eras()
        self.time: StoreTime | None = None

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def rows(
        self, table: str, *, part: str = "", limit_ms: float = 1_000
    ) -> Snapshot | Unavailable:
        """Read one part of a table completely, page by page."""
        rows: list[TableRow] = []
        first = None
        start = ""
        while True:
            query = {"table": table, "part": part}
            if start:
                query["from"] = start
            page = await self._read(_READ_PATH, query, limit_ms)
            if isinstance(page, Unavailable):
                return page
            if isinstance(page, HistoryLost):
                return Unavailable("lost history reported for a read of rows")
            first = first or page
            if page.era != first.era:
                return Unavailable("the era changed between two pages")
            rows += page.rows
            if not page.has_more or not page.rows:
                break
            # The next page starts at the smallest key after the last one.
            last, start = start, page.rows[-1].key + "\0"
            if start <= last or len(rows) > _MAX_ROWS:
                log.warning("platform: %d rows of %s without end", len(rows), table)
                return Unavailable(f"{len(rows)} rows without end")
        # Later pages may be newer, so the feed continues from the first page's version.
        return Snapshot(tuple(rows), first.position)

    async def changes(
        self, table: str, *, after: Position, wait_ms: int, limit_ms: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait up to ``wait_ms`` for rows that changed after a position.

        If the result is of another era than ``after``, it may lack changed rows.
        """
        query = {"table": table, "after": str(after.version), "wait-ms": str(wait_ms)}
        page = await self._read(_FEED_PATH, query, wait_ms + limit_ms)
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
        """Write atomically if each key of ``expected`` still has the version read.

        A missing row has version 0. Each era assigns the same version numbers again,
        so a condition of an earlier era may hold by chance: such a write is not sent,
        and a write that met another era than that of its conditions is ``Uncertain``.
        """
        if self.eras.may_match_reused_version(expected.values()):
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
        response = await self._call(
            "POST", _WRITE_PATH, msgspec.json.encode(body), limit_ms
        )
        if isinstance(response, Unavailable | Uncertain):
            return response
        if response.status not in (200, _CONDITION_FAILED):
            return _rejected(response)
        if any(response.era != read.era for read in expected.values()):
            return Uncertain(
                f"the store checked the conditions in another era, {response.era}"
            )
        if self.eras.is_outdated(response.era):
            return Uncertain(_EARLIER_ERA_DETAIL)
        page = decode_json(response.body, _Rows)
        if page is None:
            return Uncertain("malformed response")
        self._read_time(page, response.sent_ms)
        if response.status == _CONDITION_FAILED:
            return Conflict({row.key: row.ver for row in page.rows})
        return Committed(dict.fromkeys(puts, page.ver), response.era)

    async def _read(
        self, path: str, query: Mapping[str, str], limit_ms: float
    ) -> _Page | HistoryLost | Unavailable:
        target = f"{path}?{urlencode(query)}"
        response = await self._call("GET", target, b"", limit_ms)
        if isinstance(response, Uncertain):
            return Unavailable(response.detail)
        if isinstance(response, Unavailable):
            return response
        if self.eras.is_outdated(response.era):
            return Unavailable(_EARLIER_ERA_DETAIL)
        if response.status == _GONE:
            return HistoryLost()
        if response.status != 200:
            return _rejected(response)
        page = decode_json(response.body, _Rows)
        if page is None:
            return Unavailable("malformed response")
        self._read_time(page, response.sent_ms)
        rows = tuple(_decode_row(row, response.era) for row in page.rows)
        return _Page(rows, Position(response.era, page.ver), page.has_more)

    def _read_time(self, page: _Rows, sent_ms: int) -> None:
        if page.now_ms > 0:
            reading = StoreTime(int(page.now_ms), sent_ms, self._clock.now_ms())
            if reading.is_better_than(self.time):
                self.time = reading

    async def _call(
        self, method: str, target: str, body: bytes, limit_ms: float
    ) -> _Response | Unavailable | Uncertain:
        self.calls += 1
        connection = await self._pool.acquire(
            self._address, connect_ms=_CONNECT_TIMEOUT_MS
        )
        if isinstance(connection, NotConnected):
            return Unavailable(connection.detail)
        headers = [("Host", self._address)]
        if body:
            headers.append(("Content-Type", "application/json"))
        sent_ms = self._clock.now_ms()
        connection.send(method, target, headers, body)
        response = await read_full_response(
            connection,
            clock=self._clock,
            limit_ms=limit_ms,
            memory=self._pool.memory,
            max_bytes=_MAX_RESPONSE_BYTES,
        )
        if isinstance(response, NoResponse):
            # The other idle connections may have become silent at the same time.
            self._pool.close_idle(self._address)
            return Uncertain(response.detail)
        self._pool.release(connection)
        era = self._era_of(response)
        return _Response(response.status, response.body, era, sent_ms)

    def _era_of(self, response: FullResponse) -> int:
        header = next(
            (text for name, text in response.headers if name == _ERA_HEADER), ""
        )
        if header.isascii() and header.isdigit() and len(header) <= _MAX_ERA_DIGITS:
            self._invalid_era_text = None
            return self.eras.era_of_answer(int(header))
        if header != self._invalid_era_text:
            # Logged once for each change, and never if no response had the header.
            self._invalid_era_text = header
            log.warning("platform: response has no valid era: %r", header[:80])
        return self.eras.era_of_answer(None)


def _rejected(response: _Response) -> Unavailable:
    text = response.body[:80].decode("utf-8", "replace")
    return Unavailable(f"status {response.status}: {text}")


def _decode_row(row: _Row, era: int) -> TableRow:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # An empty value is not valid in any table, so readers ignore this row and
        # still use the other rows of the page.
        log.warning("platform: row %s of %s cannot be decoded", row.key, row.table)
        value = b""
    return TableRow(row.key, value, Position(era, row.ver), row.deleted)
