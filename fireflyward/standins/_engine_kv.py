"""The KV cache of the engine stand-in: its blocks, its events, export and import."""

import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from fireflyward.clock import Clock, TimedOut, within_ms
from fireflyward.kept import BlockRef, StoreClient, StoreUnavailable
from fireflyward.upstreams import (
    CacheChange,
    CacheEvent,
    CacheEvents,
    ExportOrder,
    ExportReport,
    ImportOrder,
    ImportReport,
    Miss,
    MissReason,
    block_checksum,
)

_MAX_EVENTS = 16_384
_PAYLOAD_PREFIX = b"kv:"


@dataclass(slots=True)
class EventFaults:
    """The faults of a cache's event list.

    ``duplicated`` returns every event twice, ``drop_every`` leaves out each n-th
    event, and ``withheld`` is how many of the newest events are not returned yet.
    """

    duplicated: bool = False
    drop_every: int = 0
    withheld: int = 0


@dataclass(slots=True)
class EngineCache:
    """Cached blocks, least recently used first, and the events about them."""

    capacity: int
    epoch: str = "1"
    faults: EventFaults = field(default_factory=EventFaults)
    _entry_by_key: OrderedDict[str, tuple[int, str]] = field(
        default_factory=OrderedDict
    )
    _events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=_MAX_EVENTS)
    )
    _sequence: int = 0

    def __contains__(self, key: str) -> bool:
        return key in self._entry_by_key

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def keys(self) -> Iterable[str]:
        """Return the cached blocks, least recently used first."""
        return self._entry_by_key.keys()

    def prefix_blocks(self, keys: Iterable[str]) -> int:
        """Count the blocks, from the first, that are cached."""
        cached = itertools.takewhile(self._entry_by_key.__contains__, keys)
        return sum(1 for _ in cached)

    def store(self, key: str, position: int, first_key: str = "") -> None:
        """Cache a block as the most recently used one."""
        entry = (position, first_key)
        if key not in self._entry_by_key:
            self._record_event(CacheChange.STORED, key, entry)
        self._entry_by_key[key] = entry
        self._entry_by_key.move_to_end(key)
        while len(self._entry_by_key) > self.capacity:
            evicted, evicted_entry = self._entry_by_key.popitem(last=False)
            self._record_event(CacheChange.EVICTED, evicted, evicted_entry)

    def restart_empty(self, epoch: str) -> None:
        """Drop all blocks and events, as an engine does that restarts."""
        self.epoch = epoch
        self._entry_by_key.clear()
        self._events.clear()
        self._sequence = 0

    def events(self, after: int, *, stride: int = 1) -> CacheEvents:
        """Return the events after a sequence number, changed by active faults.

        A negative number requests the full state of the cache.
        """
        if after < 0:
            return self._full_state(stride)
        newer = self._sequence - after
        first_index = max(0, len(self._events) - newer)
        covered = list(itertools.islice(self._events, first_index, None))
        if self.faults.withheld:
            covered = covered[: -self.faults.withheld]
        last = covered[-1].sequence if covered else after
        selected = [event for event in covered if event.position % stride == 0]
        skipped = len(covered) - len(selected)
        if self.faults.drop_every:
            selected = [
                event for event in selected if event.sequence % self.faults.drop_every
            ]
        if self.faults.duplicated:
            selected = [event for event in selected for _ in range(2)]
        return CacheEvents(self.epoch, self._sequence, tuple(selected), last, skipped)

    def _full_state(self, stride: int) -> CacheEvents:
        cached = tuple(
            CacheEvent(self._sequence, CacheChange.STORED, key, *entry)
            for key, entry in self._entry_by_key.items()
            if entry[0] % stride == 0
        )
        newest = self._sequence
        return CacheEvents(self.epoch, newest, cached, newest, is_whole=True)

    def _record_event(
        self, change: CacheChange, key: str, entry: tuple[int, str]
    ) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, change, key, *entry))


class KvCacheOwner(Protocol):
    """The part of an engine that export and import use."""

    cache: EngineCache
    version_by_model: dict[str, str]


def kv_payload(key: str) -> bytes:
    """Return the bytes that stand for a block's KV data; they contain its key."""
    return _PAYLOAD_PREFIX + key.encode()


@dataclass(slots=True)
class EngineKv:
    """Executes export and import orders; a ``KvEngine`` without sockets.

    ``store_of`` returns the client of a store by its name and URL. The engine
    imports one block at a time, which takes ``import_ms_per_block``.
    """

    engine: KvCacheOwner
    clock: Clock
    store_of: Callable[[str, str], StoreClient]
    import_ms_per_block: float = 0.5
    miss_by_reason: dict[MissReason, int] = field(default_factory=dict)

    async def export_blocks(self, order: ExportOrder) -> ExportReport:
        written, missing = [], []
        for ref in order.refs:
            result = await self._write(order, ref)
            (missing if isinstance(result, Miss) else written).append(result)
        sealed: list[BlockRef] = []
        for store_name in dict.fromkeys(ref.store for ref in written):
            refs = tuple(ref for ref in written if ref.store == store_name)
            result = await self._store_client(order, store_name).seal(refs)
            if not isinstance(result, StoreUnavailable):
                sealed.extend(result.refs)
        return ExportReport(tuple(sealed), tuple(missing))

    async def import_blocks(self, order: ImportOrder) -> ImportReport:
        deadline_ms = self.clock.now_ms() + order.limit_ms
        blocks = bytes_read = 0
        for ref in order.refs:
            if ref.key not in self.engine.cache:
                payload = await self._fetch(order, ref, deadline_ms)
                if isinstance(payload, Miss):
                    self._count_miss(payload.reason)
                    return ImportReport(blocks, bytes_read, (payload,))
                bytes_read += len(payload)
            self.engine.cache.store(ref.key, ref.position, order.first_key)
            blocks += 1
            deadline_ms += order.block_ms
        return ImportReport(blocks, bytes_read)

    async def cache_events(self, after: int, *, stride: int = 1) -> CacheEvents:
        return self.engine.cache.events(after, stride=stride)

    async def _write(self, order: ExportOrder, ref: BlockRef) -> BlockRef | Miss:
        if ref.key not in self.engine.cache:
            return Miss(ref.key, MissReason.NOT_KEPT)
        payload = kv_payload(ref.key)
        result = await self._store_client(order, ref.store).write(ref, payload)
        if isinstance(result, StoreUnavailable):
            return Miss(ref.key, MissReason.STORE_AWAY)
        if not result.refs:
            return Miss(ref.key, MissReason.OLD_GENERATION)
        checksum = block_checksum(ref.key, ref.generation, payload)
        return BlockRef(
            ref.key,
            ref.store,
            ref.slot,
            ref.generation,
            len(payload),
            checksum,
            ref.position,
        )

    async def _fetch(
        self, order: ImportOrder, ref: BlockRef, deadline_ms: float
    ) -> bytes | Miss:
        """Read a block and check all its properties before it may be used.

        The version is compared after the read: otherwise, after a swap of weights
        during the read, a request for the new weights would use blocks that were
        computed with the old ones.
        """
        remaining_ms = deadline_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            return Miss(ref.key, MissReason.DEADLINE)
        store = self._store_client(order, ref.store)
        payload = await within_ms(
            self.clock, remaining_ms, self._load_block(store, ref)
        )
        if isinstance(payload, TimedOut):
            return Miss(ref.key, MissReason.DEADLINE)
        if isinstance(payload, StoreUnavailable):
            return Miss(ref.key, MissReason.STORE_AWAY)
        if isinstance(payload, Miss):
            return payload
        if self.engine.version_by_model.get(order.model) != order.version:
            return Miss(ref.key, MissReason.WRONG_VERSION)
        return check_block(ref, payload) or payload

    async def _load_block(
        self, store: StoreClient, ref: BlockRef
    ) -> bytes | Miss | StoreUnavailable:
        payload = await store.read(ref)
        if isinstance(payload, bytes):
            await self.clock.sleep_ms(self.import_ms_per_block)
        return payload

    def _store_client(self, order: ExportOrder | ImportOrder, name: str) -> StoreClient:
        return self.store_of(name, order.url_by_store.get(name, ""))

    def _count_miss(self, reason: MissReason) -> None:
        self.miss_by_reason[reason] = self.miss_by_reason.get(reason, 0) + 1


def check_block(ref: BlockRef, payload: bytes) -> Miss | None:
    """Return a miss with the reason if ``payload`` is not the block of ``ref``."""
    if len(payload) != ref.length:
        return Miss(ref.key, MissReason.WRONG_LENGTH)
    if block_checksum(ref.key, ref.generation, payload) != ref.checksum:
        return Miss(ref.key, MissReason.WRONG_CHECKSUM)
    if payload != kv_payload(ref.key):
        return Miss(ref.key, MissReason.WRONG_KEY)
    return None
