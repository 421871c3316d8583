"""Calls to a replica other than requests: its report, and orders to load weights."""

import logging
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from fireflyward.attribution import Origin, origin_of
from fireflyward.clock import Clock
from fireflyward.decoding import Count, Int32Count, Int64, Name, decode_json
from fireflyward.deployment import ReplicaEntry
from fireflyward.http1 import (
    ConnectionPool,
    FullResponse,
    HttpConnection,
    NoResponse,
    NotConnected,
    ReadMemory,
    read_full_response,
)
from fireflyward.prefixes import KvEvent, KvUpdate, PartKey

from ._requests import REQUEST_ID, named_request

log = logging.getLogger("fireflyward.platform")

_REPORT_PATH = "/-/report"
_ORDER_PATH = "/-/order"
_KV_EVENTS_PATH = "/-/kv-events"
_KV_LIST_PATH = "/-/kv-list"
_KV_FREE_PATH = "/-/kv-free"
T = TypeVar("T")
# Reports and the answers to orders have a few hundred bytes.
_MAX_REPORT_BYTES = 65_536
# Changes and contents of a KV cache store, which may have thousands of parts.
_MAX_KV_BYTES = 4 << 20
_ACCEPTED = 202
_ALREADY_DONE = 200
_MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """The state that a replica reports; it is a few hundred ms old.

    ``orders`` counts the orders that the replica has accepted since it started.
    ``started_ms`` is the time of that start by the replica's wall clock, 0 if the
    report doesn't contain it.
    """

    is_loading: bool
    orders: int
    running: int
    waiting: int
    version_by_model: dict[str, int]
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The result of an order; ``has_response`` is false if no response arrived."""

    is_accepted: bool
    has_response: bool
    detail: str = ""


class _Model(msgspec.Struct):
    name: Name
    version: Count


class _Report(msgspec.Struct):
    busy: bool = False
    sequence: Count = 0
    queued: Int32Count = 0
    active: Int32Count = 0
    models: list[_Model] = []
    # Start of the replica by its wall clock, in ms.
    born: Count = 0


# Number, + or -, salt, part, tokens stored now, model.
_KvChange = tuple[Int64, str, str, str, Int32Count, str]
# Salt, part, tokens, model.
_KvHeld = tuple[str, str, Int32Count, str]


class _KvEvents(msgspec.Struct, rename="kebab"):
    """Changes of a KV cache store."""

    boot_epoch: Int64
    next: Count
    lost: bool = False
    events: list[_KvChange] = []


class _AnyKvEvents(_KvEvents):
    """The same with events of any kind."""

    events: list[Any] = []


class _KvList(msgspec.Struct, rename="kebab"):
    """All entries of a KV cache store."""

    boot_epoch: Int64
    next: Count
    held: list[_KvHeld] = []


class _AnyKvList(_KvList):
    """The same with entries of any kind."""

    held: list[Any] = []


class ReplicaApi:
    """Sends calls to replicas and KV cache stores; it never retries a call."""

    __slots__ = ("_clock", "_pool")

    def __init__(self, pool: ConnectionPool, *, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def report(
        self, address: str, incarnation: str, *, limit_ms: float
    ) -> ReplicaReport | None:
        """Return a replica's report, None if none arrived in time."""
        headers = _report_headers(address, incarnation)
        response = await self._call(
            address, "GET", _REPORT_PATH, headers, b"", limit_ms
        )
        return _decode_report(response, address)

    async def order_weights(
        self,
        address: str,
        incarnation: str,
        *,
        model: str,
        version: int,
        mode: str,
        holder: str,
        fencing: int,
        orders_seen: int,
        limit_ms: float,
    ) -> OrderResult:
        """Order a replica to load weights.

        ``orders_seen`` keeps a replica from carrying out an order that arrives
        after newer ones; the incarnation keeps the order from reaching a replica
        that has restarted.
        """
        body = {
            "operation": "version",
            "model": model,
            "version": version,
            "mode": mode,
            "holder": holder,
            "fence": fencing,
            "expected-revision": orders_seen,
        }
        headers = [
            ("Host", address),
            ("Content-Type", "application/json"),
            ("X-Expect-Instance", incarnation),
        ]
        response = await self._call(
            address, "POST", _ORDER_PATH, headers, msgspec.json.encode(body), limit_ms
        )
        if response is None:
            return OrderResult(False, False, "no response")
        accepted = response.status in (_ACCEPTED, _ALREADY_DONE)
        text = response.body[:60].decode("latin-1")
        return OrderResult(accepted, True, f"{response.status} {text}")

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvUpdate | None:
        """Wait for changes of a KV cache store; return None if it did not respond."""
        headers = [("Host", address), ("Wait-Ms", str(wait_ms))]
        target = f"{_KV_EVENTS_PATH}?since={since}"
        limit_ms += wait_ms
        response = await self._call(
            address, "GET", target, headers, b"", limit_ms, max_bytes=_MAX_KV_BYTES
        )
        if response is None or response.status != 200:
            return None
        raw = decode_json(response.body, _KvEvents)
        if raw is None:
            raw = _decode_response(response.body, _AnyKvEvents, address)
            if raw is None:
                return None
            # The full list, which is read after a gap, replaces what was left out.
            raw.events, raw.lost = _valid(raw.events, _KvChange, address), True
        events = tuple(
            KvEvent(PartKey(salt, part), tokens)
            for _, _, salt, part, tokens, _ in raw.events
        )
        return KvUpdate(raw.boot_epoch, events, raw.next, since=since, has_gap=raw.lost)

    async def kv_list(self, address: str, *, limit_ms: float) -> KvUpdate | None:
        """Return the full content of a KV cache store, None if it did not respond."""
        headers = [("Host", address)]
        response = await self._call(
            address,
            "GET",
            _KV_LIST_PATH,
            headers,
            b"",
            limit_ms,
            max_bytes=_MAX_KV_BYTES,
        )
        if response is None or response.status != 200:
            return None
        raw = decode_json(response.body, _KvList)
        if raw is None:
            raw = _decode_response(response.body, _AnyKvList, address)
            if raw is None:
                return None
            raw.held = _valid(raw.held, _KvHeld, address)
        events = tuple(
            KvEvent(PartKey(salt, part), tokens) for salt, part, tokens, _ in raw.held
        )
        return KvUpdate(raw.boot_epoch, events, raw.next, is_snapshot=True)

    async def kv_free(
        self, address: str, *, epoch: int, keys: list[PartKey], limit_ms: float
    ) -> bool:
        """Have a KV cache store free parts at once; return whether it did so."""
        body = {
            "parts": [[key.salt, key.part_id] for key in keys],
            "boot-epoch": epoch,
        }
        headers = [("Host", address), ("Content-Type", "application/json")]
        response = await self._call(
            address, "POST", _KV_FREE_PATH, headers, msgspec.json.encode(body), limit_ms
        )
        return response is not None and response.status == 200

    async def _call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        limit_ms: float,
        *,
        max_bytes: int = _MAX_REPORT_BYTES,
    ) -> FullResponse | None:
        started_ms = self._clock.now_ms()
        connection = await self._pool.acquire(address, connect_ms=limit_ms)
        if isinstance(connection, NotConnected):
            return self._log_no_response(address, target, connection.detail)
        connection.send(method, target, headers, body, named_by=named_request)
        remaining_ms = limit_ms - (self._clock.now_ms() - started_ms)
        response = await _read_response(
            connection,
            clock=self._clock,
            limit_ms=remaining_ms,
            memory=self._pool.memory,
            max_bytes=max_bytes,
        )
        if isinstance(response, NoResponse):
            return self._log_no_response(address, target, response.detail)
        self._pool.release(connection)
        return response

    def _log_no_response(self, address: str, target: str, detail: str) -> None:
        log.debug("platform: %s of %s: %s", target, address, detail)


async def is_incarnation(
    connection: HttpConnection,
    entry: ReplicaEntry,
    *,
    clock: Clock,
    limit_ms: float,
    memory: ReadMemory,
) -> bool:
    """Return whether a listed incarnation is at the other end of a connection.

    A replica that restarted under its name accepts the requests to its former
    incarnation, and its report tells its start. A report that does not tell it
    confirms any, one that cannot be decoded none. The connection can be used
    afterwards, unless no response arrived.
    """
    headers = _report_headers(entry.address, entry.incarnation)
    connection.send("GET", _REPORT_PATH, headers, named_by=named_request)
    response = await _read_response(
        connection,
        clock=clock,
        limit_ms=limit_ms,
        memory=memory,
        max_bytes=_MAX_REPORT_BYTES,
    )
    if isinstance(response, NoResponse) or response.status == _MISDIRECTED:
        return False
    if response.status != 200:
        return True
    report = _decode_report(response, entry.address)
    return report is not None and report.started_ms in (0, entry.started_ms)


async def _read_response(
    connection: HttpConnection,
    *,
    clock: Clock,
    limit_ms: float,
    memory: ReadMemory,
    max_bytes: int,
) -> FullResponse | NoResponse:
    """Return the response to the call just sent, which has no request id.

    A response to another request, which the connection has not skipped, closes it.
    """
    response = await read_full_response(
        connection, clock=clock, limit_ms=limit_ms, memory=memory, max_bytes=max_bytes
    )
    if isinstance(response, FullResponse):
        named_id = dict(response.headers).get(REQUEST_ID)
        if origin_of(None, named_id) is not Origin.OWN:
            connection.close()
            return NoResponse(f"response to request {named_id}")
    return response


def _report_headers(address: str, incarnation: str) -> list[tuple[str, str]]:
    return [("Host", address), ("X-Expect-Instance", incarnation)]


def _decode_report(response: FullResponse | None, address: str) -> ReplicaReport | None:
    if response is None or response.status != 200:
        return None
    raw = _decode_response(response.body, _Report, address)
    if raw is None:
        return None
    versions = {item.name: item.version for item in raw.models}
    return ReplicaReport(
        raw.busy, raw.sequence, raw.active, raw.queued, versions, raw.born
    )


def _decode_response(body: bytes, kind: type[T], address: str) -> T | None:
    """Decode a response; return None if it is malformed, as if there were none."""
    found = decode_json(body, kind)
    if found is None:
        log.warning("platform: response of %s cannot be decoded", address)
    return found


def _valid(items: list[Any], kind: type[T], address: str) -> list[T]:
    """Return the items of a type; the others are left out."""
    valid = []
    for item in items:
        try:
            valid.append(msgspec.convert(item, kind))
        except msgspec.ValidationError as error:
            log.warning("platform: %.80r of %s is not used: %s", item, address, error)
    return valid
