"""Stores of kept work, and engines that import from them, as the checker sees."""

from dataclasses import replace

from fireflyward.checker import BlockFreed, BlockRead, BlockSealed
from fireflyward.kept import SlotRequest
from fireflyward.standins import EngineKv, StoreCosts, StoreModel, kv_payload
from fireflyward.upstreams import block_checksum

COSTS = StoreCosts(memory_slots=32, disk_slots=32, block_bytes=1_000)


class WatchedStore(StoreModel):
    """A store that tells the checker when a block is whole and when it is freed."""

    def __init__(self, world, name: str) -> None:
        super().__init__(name, COSTS)
        self.world = world

    def publish(self, refs):
        done = super().publish(refs)
        for ref in done.refs:
            owner = self.world.owner_by_key.get(ref.key, ("", ""))
            now_ms = self.world.clock.now_ms()
            place = self.name, ref.key, ref.generation
            self.world.observe(BlockSealed(now_ms, *place, *owner, ref.checksum))
        return done

    def _clear(self, slot) -> None:
        self._see_freed(slot)
        super()._clear(slot)

    def restart_empty(self, epoch: int) -> None:
        for slot in self._slot_by_number.values():
            self._see_freed(slot)
        super().restart_empty(epoch)

    def _see_freed(self, slot) -> None:
        if slot.key:
            now_ms = self.world.clock.now_ms()
            freed = BlockFreed(now_ms, self.name, slot.key, slot.generation)
            self.world.observe(freed)

    def fill(self, blocks: int) -> None:
        """Keep so many other blocks."""
        now_ms = self.world.clock.now_ms()
        wanted = tuple(SlotRequest(f"{number:032x}", 1) for number in range(blocks))
        for ref in self.reserve(now_ms, wanted).refs:
            payload = kv_payload(ref.key)
            self.write(ref, payload)
            checksum = block_checksum(ref.key, ref.generation, payload)
            whole = replace(ref, length=len(payload), checksum=checksum)
            self.seal((whole,))
            self.publish((whole,))


class WatchedKv(EngineKv):
    """An engine's import that tells the checker which bytes it takes."""

    def __init__(self, world, engine, clock, store_of) -> None:
        super().__init__(engine, clock, store_of, 0.0)
        self.world = world

    async def _load_block(self, store, ref):
        payload = await store.read(ref)
        self.read_at_ms = self.clock.now_ms()
        return payload

    async def _fetch(self, order, ref, deadline_ms):
        payload = await super()._fetch(order, ref, deadline_ms)
        if isinstance(payload, bytes):
            owner = self.world.owner_by_key.get(ref.key, ("", ""))
            checksum = block_checksum(ref.key, ref.generation, payload)
            place = ref.store, ref.key, ref.generation
            now_ms = self.clock.now_ms()
            self.world.observe(
                BlockRead(
                    now_ms, self.read_at_ms, *place, checksum, order.order_id, *owner
                )
            )
        return payload
