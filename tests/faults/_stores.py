"""Stores of kept KV blocks and importing engines that report to the checker."""

from dataclasses import replace

from fireflyward.checker import BlockFreed, BlockRead, BlockSealed
from fireflyward.kept import SlotRequest
from fireflyward.standins import EngineKv, StoreCosts, StoreModel, kv_payload
from fireflyward.upstreams import block_checksum

COSTS = StoreCosts(memory_slots=32, disk_slots=32, block_bytes=1_000)


class ObservedStore(StoreModel):
    """A store that reports to the checker when a block is published or freed."""

    def __init__(self, simulation, name: str) -> None:
        super().__init__(name, COSTS)
        self.simulation = simulation

    def publish(self, refs):
        published = super().publish(refs)
        for ref in published.refs:
            owner = self.simulation.owner_by_key.get(ref.key, ("", ""))
            now_ms = self.simulation.clock.now_ms()
            block_fields = self.name, ref.key, ref.generation
            self.simulation.observe(
                BlockSealed(now_ms, *block_fields, *owner, ref.checksum)
            )
        return published

    def _clear(self, slot) -> None:
        self._report_freed(slot)
        super()._clear(slot)

    def restart_empty(self, epoch: int) -> None:
        for slot in self._slot_by_number.values():
            self._report_freed(slot)
        super().restart_empty(epoch)

    def _report_freed(self, slot) -> None:
        if slot.key:
            now_ms = self.simulation.clock.now_ms()
            freed = BlockFreed(now_ms, self.name, slot.key, slot.generation)
            self.simulation.observe(freed)

    def fill(self, blocks: int) -> None:
        """Publish ``blocks`` unrelated blocks."""
        now_ms = self.simulation.clock.now_ms()
        wanted = tuple(SlotRequest(f"{number:032x}", 1) for number in range(blocks))
        for ref in self.reserve(now_ms, wanted).refs:
            payload = kv_payload(ref.key)
            self.write(ref, payload)
            checksum = block_checksum(ref.key, ref.generation, payload)
            sealed = replace(ref, length=len(payload), checksum=checksum)
            self.seal((sealed,))
            self.publish((sealed,))


class ObservedKv(EngineKv):
    """An engine's KV import that reports each imported block to the checker."""

    def __init__(self, simulation, engine, clock, store_of) -> None:
        super().__init__(engine, clock, store_of, 0.0)
        self.simulation = simulation

    async def _load_block(self, store, ref):
        payload = await store.read(ref)
        self.read_at_ms = self.clock.now_ms()
        return payload

    async def _fetch(self, order, ref, deadline_ms):
        payload = await super()._fetch(order, ref, deadline_ms)
        if isinstance(payload, bytes):
            owner = self.simulation.owner_by_key.get(ref.key, ("", ""))
            checksum = block_checksum(ref.key, ref.generation, payload)
            block_fields = ref.store, ref.key, ref.generation
            now_ms = self.clock.now_ms()
            self.simulation.observe(
                BlockRead(
                    now_ms,
                    self.read_at_ms,
                    *block_fields,
                    checksum,
                    order.order_id,
                    *owner,
                )
            )
        return payload
