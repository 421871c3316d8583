import unittest

from fireflyward.kept import (
    ColdBlock,
    FreeStep,
    NotSwept,
    SlotRequest,
    StoreUsage,
    Sweeper,
    Swept,
    choose_victims,
)
from fireflyward.upstreams import BlockRef, block_checksum
from tests.kept.kv_fixtures import KEYS, FakeLease, KvWorld, ProcessCrashed, crash_at


class SweeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = KvWorld()
        self.store = self.world.store_by_name["s1"]
        self.model = self.store.model

    async def begin_write(self, key):
        reserved = await self.store.reserve((SlotRequest(key, 1),))
        await self.world.clock.advance_ms(70_000)
        return reserved.refs[0]

    def finish_write(self, ref):
        self.model.write(ref, b"x")
        checksum = block_checksum(ref.key, ref.generation, b"x")
        sealed = BlockRef(ref.key, ref.store, ref.slot, ref.generation, 1, checksum)
        return self.model.publish(self.model.seal((sealed,)).refs).refs

    async def test_old_garbage_is_freed_and_a_recent_write_is_not(self):
        await self.begin_write(KEYS[0])
        await self.store.reserve((SlotRequest(KEYS[1], 1),))
        result = await Sweeper(lambda: FakeLease(1)).sweep(self.store)
        self.assertEqual(result, Swept(1))
        self.assertEqual(self.model.used_slots(), 1)

    async def test_paused_lease_holder_frees_nothing_after_the_next_one_started(self):
        """Guards against freeing a stored block or a slot that is in use.

        A lease holder lists garbage and is paused past its lease, the next holder
        sweeps, and then the first one continues. Freeing must not depend on the
        caller's assumption that it still holds the lease.
        """
        for trigger in (FreeStep.FENCED, FreeStep.LISTED):
            with self.subTest(step=trigger):
                self.setUp()
                await self.begin_write(KEYS[0])

                def next_holder(step, trigger=trigger):
                    if step is trigger:
                        self.model.raise_fence(2)

                paused = Sweeper(lambda: FakeLease(1), observe=next_holder)
                self.assertIsInstance(await paused.sweep(self.store), NotSwept)
                self.assertEqual(self.model.used_slots(), 1)

    async def test_slow_writer_that_finishes_during_the_sweep_keeps_its_block(self):
        """Guards against freeing a block that was just published.

        A slow writer publishes between the sweep's listing and its call to free the
        slot. Freeing must compare the state and not only the generation.
        """
        ref = await self.begin_write(KEYS[0])

        def finish(step):
            if step is FreeStep.LISTED:
                self.finish_write(ref)

        result = await Sweeper(lambda: FakeLease(1), observe=finish).sweep(self.store)
        self.assertEqual(result, Swept(0))
        self.assertEqual(len(self.model.describe(KEYS[:1]).refs), 1)

    async def test_sweep_can_be_repeated_after_a_crash_at_any_step(self):
        for step in (FreeStep.HELD, FreeStep.FENCED, FreeStep.LISTED, FreeStep.FREED):
            with self.subTest(step=step):
                self.setUp()
                await self.begin_write(KEYS[0])
                with self.assertRaises(ProcessCrashed):
                    sweeper = Sweeper(lambda: FakeLease(1), observe=crash_at(step))
                    await sweeper.sweep(self.store)
                await Sweeper(lambda: FakeLease(2)).sweep(self.store)
                self.assertEqual(self.model.used_slots(), 0)

    async def test_sweep_without_the_lease_is_aborted(self):
        result = await Sweeper(lambda: None).sweep(self.store)
        self.assertIsInstance(result, NotSwept)

    async def test_coldest_blocks_of_a_nearly_full_store_are_evicted(self):
        keys = [f"{number:032x}" for number in range(16)]
        for key in keys:
            reserved = await self.store.reserve((SlotRequest(key, 1),))
            self.finish_write(reserved.refs[0])
            await self.world.clock.advance_ms(1_000)
        for key in keys[:2]:
            (ref,) = self.model.describe((key,)).refs
            self.model.record_read(self.world.clock.now_ms(), ref)
        result = await Sweeper(lambda: FakeLease(1)).sweep(self.store)
        self.assertEqual(result, Swept(0, 2))
        evicted_keys = [key for key in keys if not self.model.describe((key,)).refs]
        self.assertEqual(evicted_keys, keys[2:4])


class VictimTests(unittest.TestCase):
    def cold_block(self, number, owner, reads=0, idle_ms=1_000, position=1):
        ref = BlockRef(f"{number:032x}", "s1", number, 1, position=position)
        return ColdBlock(ref, owner, reads, idle_ms)

    def test_blocks_of_an_owner_above_its_share_are_evicted_first(self):
        """Guards against evicting the blocks of small accounts every day.

        One large account exports all day. Blocks of all accounts must not be evicted by
        age only.
        """
        usage = StoreUsage(100, 100, {"large": 90, "small": 10})
        coldest = (
            *(self.cold_block(n, "small", idle_ms=9_000) for n in range(10)),
            *(self.cold_block(n, "large") for n in range(10, 100)),
        )
        victims = choose_victims(usage, coldest)
        self.assertEqual(len(victims), 10)
        self.assertTrue(all(ref.slot >= 10 for ref in victims))

    def test_later_blocks_of_a_prompt_are_evicted_first(self):
        usage = StoreUsage(20, 20, {"a": 4, "b": 4, "c": 4, "d": 4, "e": 4})
        coldest = tuple(self.cold_block(n, "a", position=n + 1) for n in range(4))
        victims = choose_victims(usage, coldest)
        self.assertEqual([ref.position for ref in victims], [4, 3])
