import asyncio
import unittest

from fireflyward.kept import (
    Exported,
    Exporter,
    ExportPlan,
    ExportStep,
    NotExported,
    Sweeper,
    Wanted,
)
from tests.kept.kv_fixtures import (
    KEYS,
    MODEL,
    VERSION,
    Held,
    KvWorld,
    ProcessDied,
    die_at,
)

PLAN = ExportPlan(
    "o1",
    MODEL,
    VERSION,
    tuple(Wanted(key, at) for at, key in enumerate(KEYS[:4], start=1)),
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

    async def test_all_blocks_are_kept_and_a_second_export_writes_nothing(self):
        first = await self.export()
        self.assertEqual((first.blocks, len(first.published)), (4, 4))
        second = await self.export()
        self.assertEqual((second.blocks, second.published), (4, ()))

    async def test_writer_that_dies_at_any_step_leaves_only_what_a_sweep_finds(self):
        """Symptom: a store fills with slots that nobody uses, or gives out a block
        that was never finished. Sequence: the node dies between two steps of an
        export. Cause: a slot that is neither published nor found by its age."""
        for step in ExportStep:
            with self.subTest(step=step):
                self.setUp()
                with self.assertRaises(ProcessDied):
                    await self.export(die_at(step))
                kept = len(self.store.model.describe(KEYS[:4]).refs)
                self.assertEqual(kept, 4 if step is ExportStep.PUBLISHED else 0)
                await self.world.clock.advance_ms(70_000)
                await Sweeper(lambda: Held(1)).sweep(self.store)
                self.assertEqual(self.store.model.used_slots(), kept)

    async def test_hole_ends_what_is_published_and_the_rest_is_given_back(self):
        self.world.engine.cache._entry_by_key.pop(KEYS[2])
        result = await self.export()
        self.assertEqual(result.blocks, 2)
        self.assertEqual(self.store.model.used_slots(), 2)

    async def test_store_that_is_away_or_full_costs_nothing(self):
        self.store.model.faults.unavailable = True
        self.assertIsInstance(await self.export(), NotExported)
        self.store.model.faults.unavailable = False
        self.store.model.faults.full = True
        self.assertEqual(await self.export(), Exported(0, is_full=True))

    async def test_answer_lost_after_publishing_doubles_nothing(self):
        """Symptom: a block lies twice in a store. Sequence: the publish takes
        effect, its answer is lost, the export is tried again. Cause: a retry that
        does not find what the first try did."""
        reserved = await self.store.reserve(PLAN.wanted)
        self.assertEqual(len(reserved.refs), 4)
        await self.store.abandon(reserved.refs)

        def lose(step):
            if step is ExportStep.SEALED:
                self.store.model.faults.lose_answers = 1

        self.assertIsInstance(await self.export(lose), NotExported)
        self.assertEqual((await self.export()).blocks, 4)
        self.assertEqual(self.store.model.used_slots(), 4)
