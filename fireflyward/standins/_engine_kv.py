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

_KEPT_EVENTS = 16_384
_PAYLOAD_MARK = b"kv:"


@dataclass(slots=True)
class EventFaults:
    """Switches: ``doubled`` repeats events, ``drop_every`` leaves each n-th out,
    and the newest ``late`` events are not told yet.
    """

    doubled: bool = False
    drop_every: int = 0
    late: int = 0


@dataclass(slots=True)
class EngineCache:
    """Cached blocks, least recently used first, and the events about them."""

    capacity: int
    epoch: str = "1"
    faults: EventFaults = field(default_factory=EventFaults)
    _place_by_key: OrderedDict[str, tuple[int, str]] = field(
        default_factory=OrderedDict
    )
    _events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=_KEPT_EVENTS)
    )
    _sequence: int = 0

    def __contains__(self, key: str) -> bool:
        return key in self._place_by_key

    def __len__(self) -> int:
        return len(self._place_by_key)

    def keys(self) -> Iterable[str]:
        """Return the cached blocks, least recently used first."""
        return self._place_by_key.keys()

    def prefix_blocks(self, keys: Iterable[str]) -> int:
        """Count the blocks, from the first, that are cached."""
        held = itertools.takewhile(self._place_by_key.__contains__, keys)
        return sum(1 for _ in held)

    def store(self, key: str, position: int, first_key: str = "") -> None:
        """Hold a block as the most recently used one."""
        place = (position, first_key)
        if key not in self._place_by_key:
            self._tell(CacheChange.STORED, key, place)
        self._place_by_key[key] = place
        self._place_by_key.move_to_end(key)
        while len(self._place_by_key) > self.capacity:
            evicted, evicted_place = self._place_by_key.popitem(last=False)
            self._tell(CacheChange.EVICTED, evicted, evicted_place)

    def lose_all(self, epoch: str) -> None:
        """Forget everything without an event, as an engine that restarted."""
        self.epoch = epoch
        self._place_by_key.clear()
        self._events.clear()
        self._sequence = 0

    def events(self, after: int, *, stride: int = 1) -> CacheEvents:
        """Return the events after a sequence, with the faults that are on."""
        if after < 0:
            return self._whole(stride)
        newer = self._sequence - after
        known = max(0, len(self._events) - newer)
        covered = list(itertools.islice(self._events, known, None))
        if self.faults.late:
            covered = covered[: -self.faults.late]
        last = covered[-1].sequence if covered else after
        told = [event for event in covered if event.position % stride == 0]
        skipped = len(covered) - len(told)
        if self.faults.drop_every:
            told = [event for event in told if event.sequence % self.faults.drop_every]
        if self.faults.doubled:
            told = [event for event in told for _ in range(2)]
        return CacheEvents(self.epoch, self._sequence, tuple(told), last, skipped)

    def _whole(self, stride: int) -> CacheEvents:
        held = tuple(
            CacheEvent(self._sequence, CacheChange.STORED, key, *place)
            for key, place in self._place_by_key.items()
            if place[0] % stride == 0
        )
        newest = self._sequence
        return CacheEvents(self.epoch, newest, held, newest, is_whole=True)

    def _tell(self, change: CacheChange, key: str, place: tuple[int, str]) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, change, key, *place))


class KvHolder(Protocol):
    """What export and import need of the engine around the cache."""

    cache: EngineCache
    version_by_model: dict[str, str]


def kv_payload(key: str) -> bytes:
    """Return the bytes that the stand-in keeps of a block; they name its key."""
    return _PAYLOAD_MARK + key.encode()


@dataclass(slots=True)
class EngineKv:
    """Carries out export and import orders; a ``KvEngine`` without sockets.

    ``store_of`` gives the client of a store by its name and URL. Loading one
    block takes the engine ``import_ms_per_block``, one at a time.
    """

    engine: KvHolder
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
            result = await self._store(order, store_name).seal(refs)
            if not isinstance(result, StoreUnavailable):
                sealed.extend(result.refs)
        return ExportReport(tuple(sealed), tuple(missing))

    async def import_blocks(self, order: ImportOrder) -> ImportReport:
        until_ms = self.clock.now_ms() + order.limit_ms
        blocks = bytes_read = 0
        for ref in order.refs:
            if ref.key not in self.engine.cache:
                payload = await self._fetch(order, ref, until_ms)
                if isinstance(payload, Miss):
                    self._count(payload.reason)
                    return ImportReport(blocks, bytes_read, (payload,))
                bytes_read += len(payload)
            self.engine.cache.store(ref.key, ref.position, order.first_key)
            blocks += 1
            until_ms += order.block_ms
        return ImportReport(blocks, bytes_read)

    async def cache_events(self, after: int, *, stride: int = 1) -> CacheEvents:
        return self.engine.cache.events(after, stride=stride)

    async def _write(self, order: ExportOrder, ref: BlockRef) -> BlockRef | Miss:
        if ref.key not in self.engine.cache:
            return Miss(ref.key, MissReason.NOT_KEPT)
        payload = kv_payload(ref.key)
        result = await self._store(order, ref.store).write(ref, payload)
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
        self, order: ImportOrder, ref: BlockRef, until_ms: float
    ) -> bytes | Miss:
        """Read a block and check everything about it before it may be used.

        The version is compared after the read: a swap that came meanwhile would
        otherwise put blocks of the old weights before a request for the new ones.
        """
        left_ms = until_ms - self.clock.now_ms()
        if left_ms <= 0:
            return Miss(ref.key, MissReason.DEADLINE)
        store = self._store(order, ref.store)
        payload = await within_ms(self.clock, left_ms, self._load(store, ref))
        if isinstance(payload, TimedOut):
            return Miss(ref.key, MissReason.DEADLINE)
        if isinstance(payload, StoreUnavailable):
            return Miss(ref.key, MissReason.STORE_AWAY)
        if isinstance(payload, Miss):
            return payload
        if self.engine.version_by_model.get(order.model) != order.version:
            return Miss(ref.key, MissReason.WRONG_VERSION)
        return check_block(ref, payload) or payload

    async def _load(
        self, store: StoreClient, ref: BlockRef
    ) -> bytes | Miss | StoreUnavailable:
        payload = await store.read(ref)
        if isinstance(payload, bytes):
            await self.clock.sleep_ms(self.import_ms_per_block)
        return payload

    def _store(self, order: ExportOrder | ImportOrder, name: str) -> StoreClient:
        return self.store_of(name, order.url_by_store.get(name, ""))

    def _count(self, reason: MissReason) -> None:
        self.miss_by_reason[reason] = self.miss_by_reason.get(reason, 0) + 1


def check_block(ref: BlockRef, payload: bytes) -> Miss | None:
    """Return why ``payload`` is not the block that ``ref`` describes, if it is not."""
    if len(payload) != ref.length:
        return Miss(ref.key, MissReason.WRONG_LENGTH)
    if block_checksum(ref.key, ref.generation, payload) != ref.checksum:
        return Miss(ref.key, MissReason.WRONG_CHECKSUM)
    if payload != kv_payload(ref.key):
        return Miss(ref.key, MissReason.WRONG_KEY)
    return None
