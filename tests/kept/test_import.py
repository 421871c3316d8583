import asyncio
import unittest

from fireflyward.kept import (
    Exporter,
    ExportPlan,
    ImportAsk,
    Importer,
    ImportStep,
    SlotState,
    Wanted,
)
from fireflyward.upstreams import MissReason
from tests.kept.kv_fixtures import (
    KEYS,
    MODEL,
    VERSION,
    KvWorld,
    ProcessDied,
    Until,
    die_at,
)

ASK = ImportAsk("o2", MODEL, VERSION, KEYS)


class ImporterTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = KvWorld()
        self.world.compute()
        self.store = self.world.store_by_name["s1"]
        self.version = VERSION
        wanted = tuple(Wanted(key, at) for at, key in enumerate(KEYS, start=1))
        plan = ExportPlan("o1", MODEL, VERSION, wanted)
        await self.run_ms(Exporter({}).export(plan, self.world.kv, self.store))
        self.kv = self.world.other_engine()

    async def run_ms(self, work):
        return await self.world.advance_until(asyncio.ensure_future(work))

    def importer(self, **options):
        return Importer(
            self.world.clock,
            {},
            lambda model, version: version == self.version,
            **options,
        )

    async def load(self, importer=None, *, limit_ms=1_000.0, ask=ASK):
        limit = Until(self.world.clock.now_ms() + limit_ms)
        importer = importer or self.importer()
        return await self.run_ms(importer.load(ask, self.kv, self.store, limit))

    async def test_whole_prefix_is_loaded(self):
        result = await self.load()
        self.assertEqual((result.blocks, result.reason), (len(KEYS), None))

    async def test_store_faults_cost_recomputation_and_are_counted(self):
        cases = {
            "unavailable": MissReason.STORE_AWAY,
            "wrong_bytes": MissReason.WRONG_CHECKSUM,
            "damaged_bytes": MissReason.WRONG_CHECKSUM,
        }
        for switch, reason in cases.items():
            with self.subTest(switch=switch):
                importer = self.importer()
                setattr(self.store.model.faults, switch, True)
                result = await self.load(importer)
                setattr(self.store.model.faults, switch, False)
                self.assertEqual((result.blocks, result.reason), (0, reason))
                self.assertEqual(importer.misses, {reason: 1})
                self.assertEqual(len(self.kv.engine.cache), 0)

    async def test_late_store_is_given_up_at_the_limit(self):
        """Symptom: an answer comes later than if nothing had been kept. Sequence:
        the store takes seconds to answer. Cause: an import without a limit."""
        self.store.model.faults.delay_ms = 60_000
        began_ms = self.world.clock.now_ms()
        result = await self.load(limit_ms=25)
        self.assertEqual(result.reason, MissReason.DEADLINE)
        self.assertLessEqual(self.world.clock.now_ms() - began_ms, 27)

    async def test_store_restarted_empty_after_the_choice_is_a_miss(self):
        def restart(step):
            if step is ImportStep.DESCRIBED:
                self.store.model.restart_empty(2)

        result = await self.load(self.importer(observe=restart))
        self.assertEqual((result.blocks, result.reason), (0, MissReason.OLD_GENERATION))

    async def test_slot_freed_and_filled_again_after_the_choice_is_a_miss(self):
        def reuse(step):
            if step is ImportStep.VERSION_CHECKED:
                model = self.store.model
                refs = model.describe(KEYS[:1]).refs
                model.free(refs, state=SlotState.PUBLISHED, fencing=1)
                model.reserve(0, (Wanted("ee" * 16, 1),))

        result = await self.load(self.importer(observe=reuse))
        self.assertEqual((result.blocks, result.reason), (0, MissReason.OLD_GENERATION))

    async def test_swap_at_any_step_before_the_order_imports_nothing(self):
        """Symptom: a new request runs on the old version's blocks. Sequence: a
        bundle with a new version comes into force after the store was chosen.
        Cause: a version that was compared only when the run was planned."""
        for fatal in (ImportStep.CHOSEN, ImportStep.DESCRIBED):
            with self.subTest(step=fatal):
                self.version = VERSION

                def swap(step, fatal=fatal):
                    if step is fatal:
                        self.version = "v2"

                result = await self.load(self.importer(observe=swap))
                self.assertEqual(result.reason, MissReason.WRONG_VERSION)
                self.assertEqual(len(self.kv.engine.cache), 0)

    async def test_importer_that_dies_at_any_step_leaves_whole_blocks_only(self):
        for step in ImportStep:
            with self.subTest(step=step):
                self.kv = self.world.other_engine()
                with self.assertRaises(ProcessDied):
                    await self.load(self.importer(observe=die_at(step)))
                held = self.kv.engine.cache.prefix_blocks(KEYS)
                self.assertEqual(held, len(self.kv.engine.cache))
                self.assertEqual(self.store.model.used_slots(), len(KEYS))
