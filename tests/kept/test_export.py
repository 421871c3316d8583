import asyncio
import unittest

from fireflyward.kept import (
    Exported,
    Exporter,
    ExportPlan,
    ExportStep,
    NotExported,
    SlotRequest,
    Sweeper,
)
from tests.kept.kv_fixtures import (
    KEYS,
    MODEL,
    VERSION,
    FakeLease,
    KvWorld,
    ProcessCrashed,
    crash_at,
)

PLAN = ExportPlan(
    "o1",
    MODEL,
    VERSION,
    tuple(SlotRequest(key, at) for at, key in enumerate(KEYS[:4], start=1)),
)


class ExporterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = KvWorld()
        self.world.compute(KEYS[:4])
        self.store = self.world.store_by_name["s1"]

    async def export(self, observe=None, plan=PLAN):
        exporter = Exporter({}, **({"observe": observe} if observe else {}))
        work = exporter.export(plan, self.world.kv, self.store)
        return await self.world.advance_until(asyncio.ensure_future(work))

    async def test_all_blocks_are_stored_and_a_second_export_writes_nothing(self):
        first = await self.export()
        self.assertEqual((first.blocks, len(first.published)), (4, 4))
        second = await self.export()
        self.assertEqual((second.blocks, second.published), (4, ()))

    async def test_slots_of_a_crash_at_any_step_are_freed_by_a_sweep(self):
        """Guards against unused slots that are never freed and unfinished blocks.

        The node crashes between two steps of an export, and leaves a slot that is not
        published. A sweep must find such a slot by its age.
        """
        for step in ExportStep:
            with self.subTest(step=step):
                self.setUp()
                with self.assertRaises(ProcessCrashed):
                    await self.export(crash_at(step))
                kept = len(self.store.model.describe(KEYS[:4]).refs)
                self.assertEqual(kept, 4 if step is ExportStep.PUBLISHED else 0)
                await self.world.clock.advance_ms(70_000)
                await Sweeper(lambda: FakeLease(1)).sweep(self.store)
                self.assertEqual(self.store.model.used_slots(), kept)

    async def test_blocks_after_a_missing_one_are_abandoned(self):
        self.world.engine.cache._entry_by_key.pop(KEYS[2])
        result = await self.export()
        self.assertEqual(result.blocks, 2)
        self.assertEqual(self.store.model.used_slots(), 2)

    async def test_export_to_an_unavailable_or_full_store_stores_nothing(self):
        self.store.model.faults.unavailable = True
        self.assertIsInstance(await self.export(), NotExported)
        self.store.model.faults.unavailable = False
        self.store.model.faults.full = True
        self.assertEqual(await self.export(), Exported(0, is_full=True))

    async def test_response_lost_after_publishing_duplicates_no_block(self):
        """Guards against a block that occupies two slots of a store.

        The publish call takes effect, its response is lost, and the export is retried.
        The retry must find the blocks of the first attempt.
        """
        reserved = await self.store.reserve(PLAN.wanted)
        self.assertEqual(len(reserved.refs), 4)
        await self.store.abandon(reserved.refs)

        def lose(step):
            if step is ExportStep.SEALED:
                self.store.model.faults.lose_answers = 1

        self.assertIsInstance(await self.export(lose), NotExported)
        self.assertEqual((await self.export()).blocks, 4)
        self.assertEqual(self.store.model.used_slots(), 4)
