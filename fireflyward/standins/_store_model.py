"""A simulated store VM: its slots, its two tiers, its links and its faults."""

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyward.kept import (
    AppliedRefs,
    BlockRef,
    ColdBlock,
    Fenced,
    Listing,
    ListQuery,
    Reserved,
    SlotRequest,
    SlotState,
    StoreChange,
    StoreUsage,
    Unfinished,
)
from fireflyward.upstreams import Miss, MissReason, block_checksum

from ._store_slots import Slot, StoreCosts, StoreFaults

_EPOCH_BITS = 32
_MAX_UNFINISHED = 1_000


@dataclass(slots=True)
class StoreModel:
    """Decides what a store does; the caller passes the current time.

    A block is reserved, written, sealed and published in this order, and only a
    published block can be read. Every step names the slot and its generation, and
    has no effect if the slot has another generation at that time. New blocks are
    in memory; when memory is full, the least recently read ones move to disk.
    """

    name: str
    costs: StoreCosts = field(default_factory=StoreCosts)
    epoch: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    link_bytes: int = 0
    reads: int = 0
    missed_reads: int = 0
    _slot_by_number: dict[int, Slot] = field(default_factory=dict)
    _free_numbers: list[int] = field(default_factory=list)
    _published_by_key: dict[str, Slot] = field(default_factory=dict)
    _memory: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _changes: deque[tuple[int, StoreChange]] = field(default_factory=deque)
    _sequence: int = 0
    _generations: int = 0
    _highest_fencing: int = 0
    _link_free_ms: float = 0.0
    _disk_free_ms: float = 0.0

    def restart_empty(self, epoch: int) -> None:
        """Drop all data, as a replaced VM does; ``epoch`` must be a new number."""
        self.epoch = epoch
        self._slot_by_number.clear()
        self._free_numbers.clear()
        self._published_by_key.clear()
        self._memory.clear()
        self._changes.clear()
        self._sequence = self._generations = self._highest_fencing = 0

    def used_slots(self) -> int:
        """Return how many slots are not free."""
        return len(self._slot_by_number) - len(self._free_numbers)

    def capacity(self) -> int:
        """Return how many slots the two tiers have together."""
        return self.costs.memory_slots + self.costs.disk_slots

    def reserve(self, now_ms: float, wanted: tuple[SlotRequest, ...]) -> Reserved:
        """Reserve a slot with a new generation for each block that is not kept yet."""
        refs, kept = [], []
        for item in wanted:
            published = self._published_by_key.get(item.key)
            if published is not None:
                kept.append(published.ref(self.name))
                continue
            slot = self._allocate_slot()
            if slot is None:
                return Reserved(tuple(refs), tuple(kept), is_full=True)
            slot.fill(now_ms, self._next_generation(), item)
            refs.append(slot.ref(self.name))
        return Reserved(tuple(refs), tuple(kept))

    def write(self, ref: BlockRef, payload: bytes) -> AppliedRefs:
        """Store bytes in a reserved slot; a second write replaces the first."""
        slot = self._slot(ref)
        if slot is None or slot.state is not SlotState.RESERVED:
            return AppliedRefs(())
        slot.payload = payload
        self._memory[slot.number] = None
        self._demote()
        self.link_bytes += self.costs.block_bytes
        return AppliedRefs((slot.ref(self.name),))

    def seal(self, refs: tuple[BlockRef, ...]) -> AppliedRefs:
        """Seal slots whose bytes match the length and checksum in their descriptor."""
        return self._apply_to_each(refs, self._seal_slot)

    def publish(self, refs: tuple[BlockRef, ...]) -> AppliedRefs:
        """Make sealed blocks readable; a second copy of a published block is freed."""
        return self._apply_to_each(refs, self._publish_slot)

    def abandon(self, refs: tuple[BlockRef, ...]) -> AppliedRefs:
        """Free unpublished slots that still have exactly these generations."""
        return self._apply_to_each(refs, self._abandon_slot)

    def describe(self, keys: tuple[str, ...]) -> AppliedRefs:
        """Return the descriptors of the longest published prefix of ``keys``."""
        refs = []
        for key in keys:
            slot = self._published_by_key.get(key)
            if slot is None:
                break
            refs.append(slot.ref(self.name))
        return AppliedRefs(tuple(refs))

    def read(self, ref: BlockRef) -> bytes | Miss:
        """Return the bytes of a published block of exactly this generation.

        A slot that was freed and reused holds another block's bytes. A descriptor
        from before that has the slot's old generation, so its reader gets a miss;
        without the comparison it would compute with another prompt's KV data.
        """
        self.reads += 1
        slot = self._slot(ref)
        if slot is None or slot.state is not SlotState.PUBLISHED:
            self.missed_reads += 1
            return Miss(ref.key, MissReason.OLD_GENERATION)
        if slot.key != ref.key:
            self.missed_reads += 1
            return Miss(ref.key, MissReason.WRONG_KEY)
        self.link_bytes += self.costs.block_bytes
        self._promote(slot)
        return self._payload_with_faults(slot)

    def record_read(self, now_ms: float, ref: BlockRef) -> None:
        """Record the time of a read, which ``coldest`` sorts the blocks by."""
        slot = self._slot(ref)
        if slot is not None:
            slot.reads += 1
            slot.read_at_ms = now_ms

    def raise_fence(self, fencing: int) -> AppliedRefs | Fenced:
        """Reject all smaller fencing numbers from now on."""
        if fencing < self._highest_fencing:
            return Fenced(self._highest_fencing)
        self._highest_fencing = fencing
        return AppliedRefs(())

    def free(
        self, refs: tuple[BlockRef, ...], *, state: SlotState, fencing: int
    ) -> AppliedRefs | Fenced:
        """Free slots that still have this generation and state.

        A sweeper that was paused until its lease expired acts on an old listing.
        Once the lease's next holder has called the store, its greater fencing
        number prevents the old sweeper from freeing anything. A slot that changed
        since it was listed has another state or generation, so that even a sweeper
        with a valid lease does not free it by mistake.
        """
        fence = self.raise_fence(fencing)
        if isinstance(fence, Fenced):
            return fence
        return self._apply_to_each(refs, lambda slot, _: self._free_slot(slot, state))

    def unfinished(self, now_ms: float, min_age_ms: int) -> tuple[Unfinished, ...]:
        """Return unpublished slots reserved at least this long ago, oldest first."""
        matching = [
            Unfinished(
                slot.ref(self.name), slot.state, int(now_ms - slot.reserved_at_ms)
            )
            for slot in self._slot_by_number.values()
            if slot.state in (SlotState.RESERVED, SlotState.SEALED)
            and now_ms - slot.reserved_at_ms >= min_age_ms
        ]
        matching.sort(key=lambda item: -item.age_ms)
        return tuple(matching[:_MAX_UNFINISHED])

    def usage(self) -> StoreUsage:
        """Return how many slots are used, in total and by owner."""
        used = Counter(
            slot.owner
            for slot in self._slot_by_number.values()
            if slot.state is not SlotState.FREE
        )
        return StoreUsage(used.total(), self.capacity(), dict(used))

    def coldest(self, now_ms: float, limit: int) -> tuple[ColdBlock, ...]:
        """Return the least recently read blocks."""
        slots = self._published_by_key.values()
        return tuple(
            ColdBlock(
                slot.ref(self.name),
                slot.owner,
                slot.reads,
                int(now_ms - slot.read_at_ms),
            )
            for slot in heapq.nsmallest(limit, slots, key=lambda slot: slot.read_at_ms)
        )

    def list(self, query: ListQuery) -> Listing:
        """Return the changes after a sequence number.

        If the store no longer has these changes, it lists all blocks instead.
        """
        oldest = self._changes[0][0] if self._changes else self._sequence + 1
        has_changes = query.epoch == self.epoch and oldest - 1 <= query.after
        if query.start_slot or not has_changes or query.after > self._sequence:
            return self._full_listing(query)
        pending = [item for item in self._changes if item[0] > query.after]
        page = pending[: self.costs.page]
        last = page[-1][0] if page else self._sequence
        changes = tuple(item for _, item in page if query.includes(item))
        return Listing(self.epoch, last, changes, has_more=len(pending) > len(page))

    def transfer_ms(self, now_ms: float, ref: BlockRef) -> float:
        """Return how long from now a block's transfer over the links takes.

        The transfer waits for those that were requested earlier.
        """
        size = self.costs.block_bytes
        start_ms = max(now_ms, self._link_free_ms)
        if ref.slot not in self._memory:
            disk_start_ms = max(now_ms, self._disk_free_ms)
            self._disk_free_ms = disk_start_ms + size / self.costs.disk_bytes_per_ms
            start_ms = max(start_ms, self._disk_free_ms)
        self._link_free_ms = start_ms + size / self.costs.link_bytes_per_ms
        return self._link_free_ms - now_ms + self.faults.delay_ms

    def _full_listing(self, query: ListQuery) -> Listing:
        end = query.start_slot + self.costs.page
        numbers = range(query.start_slot, min(end, len(self._slot_by_number)))
        slots = [self._slot_by_number[number] for number in numbers]
        changes = [
            slot.change(is_kept=True)
            for slot in slots
            if slot.state is SlotState.PUBLISHED
        ]
        return Listing(
            self.epoch,
            self._sequence,
            tuple(change for change in changes if query.includes(change)),
            is_whole=True,
            next_slot=end if end < len(self._slot_by_number) else 0,
        )

    def _allocate_slot(self) -> Slot | None:
        if self.faults.full:
            return None
        if self._free_numbers:
            return self._slot_by_number[self._free_numbers.pop()]
        if len(self._slot_by_number) >= self.capacity():
            return None
        slot = Slot(len(self._slot_by_number), 0)
        self._slot_by_number[slot.number] = slot
        return slot

    def _next_generation(self) -> int:
        """Return a generation that no slot has had in this epoch or another."""
        self._generations += 1
        return (self.epoch << _EPOCH_BITS) + self._generations

    def _slot(self, ref: BlockRef) -> Slot | None:
        slot = self._slot_by_number.get(ref.slot)
        if slot is None or slot.generation != ref.generation:
            return None
        return slot

    def _apply_to_each(
        self, refs: tuple[BlockRef, ...], action: Callable[[Slot, BlockRef], bool]
    ) -> AppliedRefs:
        done = []
        for ref in refs:
            slot = self._slot(ref)
            if slot is not None and action(slot, ref):
                done.append(slot.ref(self.name) if slot.key else ref)
        return AppliedRefs(tuple(done))

    def _seal_slot(self, slot: Slot, ref: BlockRef) -> bool:
        if slot.state is SlotState.SEALED:
            return (ref.length, ref.checksum) == (len(slot.payload), slot.checksum)
        if slot.state is not SlotState.RESERVED or slot.payload is None:
            return False
        checksum = block_checksum(slot.key, slot.generation, slot.payload)
        if (len(slot.payload), checksum) != (ref.length, ref.checksum):
            return False
        slot.checksum = checksum
        slot.state = SlotState.SEALED
        return True

    def _publish_slot(self, slot: Slot, ref: BlockRef) -> bool:
        if slot.state is SlotState.PUBLISHED:
            return True
        if slot.state is not SlotState.SEALED:
            return False
        if slot.key in self._published_by_key:
            self._clear(slot)
            return False
        slot.state = SlotState.PUBLISHED
        self._published_by_key[slot.key] = slot
        self._record_change(slot.change(is_kept=True))
        return True

    def _abandon_slot(self, slot: Slot, ref: BlockRef) -> bool:
        if slot.state not in (SlotState.RESERVED, SlotState.SEALED):
            return False
        self._clear(slot)
        return True

    def _free_slot(self, slot: Slot, state: SlotState) -> bool:
        if slot.state is not state or state is SlotState.FREE:
            return False
        if state is SlotState.PUBLISHED:
            del self._published_by_key[slot.key]
            self._record_change(slot.change(is_kept=False))
        self._clear(slot)
        return True

    def _clear(self, slot: Slot) -> None:
        slot.clear(self._next_generation())
        self._memory.pop(slot.number, None)
        self._free_numbers.append(slot.number)

    def _promote(self, slot: Slot) -> None:
        self._memory[slot.number] = None
        self._memory.move_to_end(slot.number)
        self._demote()

    def _demote(self) -> None:
        while len(self._memory) > self.costs.memory_slots:
            self._memory.popitem(last=False)

    def _record_change(self, change: StoreChange) -> None:
        self._sequence += 1
        self._changes.append((self._sequence, change))
        while len(self._changes) > self.costs.log_changes:
            self._changes.popleft()

    def _payload_with_faults(self, slot: Slot) -> bytes:
        """Return the slot's bytes, or wrong ones if a fault is switched on."""
        if self.faults.damaged_bytes:
            return slot.payload[:-1] + bytes([slot.payload[-1] ^ 1])
        if self.faults.wrong_bytes:
            for other in self._published_by_key.values():
                if other is not slot and other.payload:
                    return other.payload
        return slot.payload
