import unittest

from fireflyward.kept import (
    Cold,
    FreeStep,
    NotSwept,
    Room,
    Sweeper,
    Swept,
    Wanted,
    choose_victims,
)
from fireflyward.upstreams import BlockRef, block_checksum
from tests.kept.kv_fixtures import KEYS, Held, KvWorld, ProcessDied, die_at


class SweeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = KvWorld()
        self.store = self.world.store_by_name["s1"]
        self.model = self.store.model

    async def begin_write(self, key):
        reserved = await self.store.reserve((Wanted(key, 1),))
        await self.world.clock.advance_ms(70_000)
        return reserved.refs[0]

    def finish_write(self, ref):
        self.model.write(ref, b"x")
        checksum = block_checksum(ref.key, ref.generation, b"x")
        sealed = BlockRef(ref.key, ref.store, ref.slot, ref.generation, 1, checksum)
        return self.model.publish(self.model.seal((sealed,)).refs).refs

    async def test_old_garbage_is_freed_and_a_young_write_is_not(self):
        await self.begin_write(KEYS[0])
        await self.store.reserve((Wanted(KEYS[1], 1),))
        result = await Sweeper(lambda: Held(1)).sweep(self.store)
        self.assertEqual(result, Swept(1))
        self.assertEqual(self.model.used_slots(), 1)

    async def test_paused_holder_frees_nothing_after_the_next_one_came(self):
        """Symptom: a kept block vanishes, or worse, a slot in use is freed.
        Sequence: a holder lists garbage and is paused past its lease; the next
        holder sweeps; the first goes on. Cause: a free that trusts its caller's
        belief in the lease."""
        for fatal in (FreeStep.FENCED, FreeStep.LISTED):
            with self.subTest(step=fatal):
                self.setUp()
                await self.begin_write(KEYS[0])

                def next_holder(step, fatal=fatal):
                    if step is fatal:
                        self.model.raise_fence(2)

                paused = Sweeper(lambda: Held(1), observe=next_holder)
                self.assertIsInstance(await paused.sweep(self.store), NotSwept)
                self.assertEqual(self.model.used_slots(), 1)

    async def test_slow_writer_that_finishes_during_the_sweep_keeps_its_block(self):
        """Symptom: a block that was just published is gone. Sequence: a slow writer
        publishes between the sweep's listing and its free. Cause: a free that
        compares the generation and not the state."""
        ref = await self.begin_write(KEYS[0])

        def finish(step):
            if step is FreeStep.LISTED:
                self.finish_write(ref)

        result = await Sweeper(lambda: Held(1), observe=finish).sweep(self.store)
        self.assertEqual(result, Swept(0))
        self.assertEqual(len(self.model.describe(KEYS[:1]).refs), 1)

    async def test_sweep_that_dies_at_any_step_can_be_done_again(self):
        for step in (FreeStep.HELD, FreeStep.FENCED, FreeStep.LISTED, FreeStep.FREED):
            with self.subTest(step=step):
                self.setUp()
                await self.begin_write(KEYS[0])
                with self.assertRaises(ProcessDied):
                    sweeper = Sweeper(lambda: Held(1), observe=die_at(step))
                    await sweeper.sweep(self.store)
                await Sweeper(lambda: Held(2)).sweep(self.store)
                self.assertEqual(self.model.used_slots(), 0)

    async def test_without_the_lease_nothing_is_asked(self):
        result = await Sweeper(lambda: None).sweep(self.store)
        self.assertIsInstance(result, NotSwept)

    async def test_nearly_full_store_gets_room_from_its_coldest(self):
        keys = [f"{number:032x}" for number in range(16)]
        for key in keys:
            reserved = await self.store.reserve((Wanted(key, 1),))
            self.finish_write(reserved.refs[0])
            await self.world.clock.advance_ms(1_000)
        for key in keys[:2]:
            (ref,) = self.model.describe((key,)).refs
            self.model.record_read(self.world.clock.now_ms(), ref)
        result = await Sweeper(lambda: Held(1)).sweep(self.store)
        self.assertEqual(result, Swept(0, 2))
        gone = [key for key in keys if not self.model.describe((key,)).refs]
        self.assertEqual(gone, keys[2:4])


class VictimTests(unittest.TestCase):
    def cold(self, number, owner, reads=0, idle_ms=1_000, position=1):
        ref = BlockRef(f"{number:032x}", "s1", number, 1, position=position)
        return Cold(ref, owner, reads, idle_ms)

    def test_owner_above_its_share_gives_way_first(self):
        """Symptom: small accounts' kept work is gone each evening. Sequence: one
        large account exports all day. Cause: eviction by age over all accounts."""
        room = Room(100, 100, {"large": 90, "small": 10})
        coldest = (
            *(self.cold(n, "small", idle_ms=9_000) for n in range(10)),
            *(self.cold(n, "large") for n in range(10, 100)),
        )
        victims = choose_victims(room, coldest)
        self.assertEqual(len(victims), 10)
        self.assertTrue(all(ref.slot >= 10 for ref in victims))

    def test_later_blocks_of_a_prompt_go_before_earlier_ones(self):
        room = Room(20, 20, {"a": 4, "b": 4, "c": 4, "d": 4, "e": 4})
        coldest = tuple(self.cold(n, "a", position=n + 1) for n in range(4))
        victims = choose_victims(room, coldest)
        self.assertEqual([ref.position for ref in victims], [4, 3])
