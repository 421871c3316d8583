"""Calls to a replica beside requests: its report, and orders to load weights."""

import logging
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from fireflyward.clock import Clock
from fireflyward.http1 import (
    ConnectionPool,
    FullResponse,
    NoResponse,
    NotConnected,
    read_full_response,
)
from fireflyward.prefixes import KvEvent, KvUpdate, PartKey

from ._decoding import decoded

log = logging.getLogger("fireflyward.platform")

_REPORT = "/-/report"
_ORDER = "/-/order"
_KV_EVENTS = "/-/kv-events"
_KV_LIST = "/-/kv-list"
_KV_FREE = "/-/kv-free"
T = TypeVar("T")
_ACCEPTED = 202
_ALREADY = 200


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """A replica's own word, some hundred ms old.

    ``orders`` counts the orders that it has accepted since its start, which was at
    ``started_ms`` by its wall clock, 0 if it does not say.
    """

    is_loading: bool
    orders: int
    running: int
    waiting: int
    version_by_model: dict[str, int]
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What became of an order: ``is_known`` is false when no answer came."""

    is_accepted: bool
    is_known: bool
    detail: str = ""


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    busy: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    models: list[_Model] = []
    # The wall clock at the start of the replica, in ms.
    born: int = 0


class _KvEvents(msgspec.Struct, rename="kebab"):
    """Each event: number, + or -, salt, part, tokens stored now, model."""

    boot_epoch: int
    next: int
    lost: bool = False
    events: list[tuple[int, str, str, str, int, str]] = []


class _KvList(msgspec.Struct, rename="kebab"):
    """Each entry: salt, part, tokens, model."""

    boot_epoch: int
    next: int
    held: list[tuple[str, str, int, str]] = []


class ReplicaApi:
    """Speaks to replicas; nothing is sent a second time by itself."""

    __slots__ = ("_clock", "_pool")

    def __init__(self, pool: ConnectionPool, *, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def report(
        self, address: str, incarnation: str, *, limit_ms: float
    ) -> ReplicaReport | None:
        """Return a replica's report, None if none came in time."""
        headers = [("Host", address), ("X-Expect-Instance", incarnation)]
        answer = await self._call(address, "GET", _REPORT, headers, b"", limit_ms)
        if answer is None or answer.status != 200:
            return None
        raw = _readable(answer.body, _Report, address)
        if raw is None:
            return None
        versions = {item.name: item.version for item in raw.models}
        return ReplicaReport(
            raw.busy, raw.sequence, raw.active, raw.queued, versions, raw.born
        )

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

        ``orders_seen`` keeps an order that arrives late from being carried out
        after newer ones, the incarnation from reaching a restarted replica.
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
        answer = await self._call(
            address, "POST", _ORDER, headers, msgspec.json.encode(body), limit_ms
        )
        if answer is None:
            return OrderResult(False, False, "no answer")
        accepted = answer.status in (_ACCEPTED, _ALREADY)
        text = answer.body[:60].decode("latin-1")
        return OrderResult(accepted, True, f"{answer.status} {text}")

    async def kv_events(
        self, address: str, *, since: int, wait_ms: int, limit_ms: float
    ) -> KvUpdate | None:
        """Wait for what changed at a store, None if it did not answer."""
        headers = [("Host", address), ("Wait-Ms", str(wait_ms))]
        target = f"{_KV_EVENTS}?since={since}"
        limit_ms += wait_ms
        answer = await self._call(address, "GET", target, headers, b"", limit_ms)
        if answer is None or answer.status != 200:
            return None
        raw = _readable(answer.body, _KvEvents, address)
        if raw is None:
            return None
        events = tuple(
            KvEvent(PartKey(salt, part), tokens)
            for _, _, salt, part, tokens, _ in raw.events
        )
        return KvUpdate(raw.boot_epoch, events, raw.next, since=since, has_gap=raw.lost)

    async def kv_list(self, address: str, *, limit_ms: float) -> KvUpdate | None:
        """Return all that a store holds whole, None if it did not answer."""
        headers = [("Host", address)]
        answer = await self._call(address, "GET", _KV_LIST, headers, b"", limit_ms)
        if answer is None or answer.status != 200:
            return None
        raw = _readable(answer.body, _KvList, address)
        if raw is None:
            return None
        events = tuple(
            KvEvent(PartKey(salt, part), tokens) for salt, part, tokens, _ in raw.held
        )
        return KvUpdate(raw.boot_epoch, events, raw.next, is_snapshot=True)

    async def kv_free(
        self, address: str, *, epoch: int, keys: list[PartKey], limit_ms: float
    ) -> bool:
        """Have a store free parts at once; return whether it did."""
        body = {
            "parts": [[key.salt, key.part_id] for key in keys],
            "boot-epoch": epoch,
        }
        headers = [("Host", address), ("Content-Type", "application/json")]
        answer = await self._call(
            address, "POST", _KV_FREE, headers, msgspec.json.encode(body), limit_ms
        )
        return answer is not None and answer.status == 200

    async def _call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        limit_ms: float,
    ) -> FullResponse | None:
        began_ms = self._clock.now_ms()
        connection = await self._pool.acquire(address, connect_ms=limit_ms)
        if isinstance(connection, NotConnected):
            return self._no_answer(address, target, connection.detail)
        connection.send(method, target, headers, body)
        left_ms = limit_ms - (self._clock.now_ms() - began_ms)
        answer = await read_full_response(
            connection, clock=self._clock, limit_ms=left_ms
        )
        if isinstance(answer, NoResponse):
            return self._no_answer(address, target, answer.detail)
        self._pool.release(connection)
        return answer

    def _no_answer(self, address: str, target: str, detail: str) -> None:
        log.debug("platform: %s of %s: %s", target, address, detail)


def _readable(body: bytes, kind: type[T], address: str) -> T | None:
    """Decode an answer; one that cannot be read is as good as none."""
    found = decoded(body, kind)
    if found is None:
        log.warning("platform: an answer of %s is unreadable", address)
    return found
