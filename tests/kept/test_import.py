import asyncio
import unittest

from fireflyward.kept import (
    Exporter,
    ExportPlan,
    Importer,
    ImportRequest,
    ImportStep,
    SlotRequest,
    SlotState,
)
from fireflyward.upstreams import MissReason
from tests.kept.kv_fixtures import (
    KEYS,
    MODEL,
    VERSION,
    FixedLimit,
    KvWorld,
    ProcessCrashed,
    crash_at,
)

REQUEST = ImportRequest("o2", MODEL, VERSION, KEYS)


class ImporterTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = KvWorld()
        self.world.compute()
        self.store = self.world.store_by_name["s1"]
        self.version = VERSION
        wanted = tuple(SlotRequest(key, at) for at, key in enumerate(KEYS, start=1))
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

    async def load(self, importer=None, *, limit_ms=1_000.0, request=REQUEST):
        limit = FixedLimit(self.world.clock.now_ms() + limit_ms)
        importer = importer or self.importer()
        return await self.run_ms(importer.load(request, self.kv, self.store, limit))

    async def test_complete_prefix_is_loaded(self):
        result = await self.load()
        self.assertEqual((result.blocks, result.reason), (len(KEYS), None))

    async def test_store_faults_cause_recomputation_and_are_counted(self):
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

    async def test_import_from_a_slow_store_ends_at_the_limit(self):
        """Guards against an answer that is later than without stored blocks.

        The store needs seconds to answer, so an import must have a time limit.
        """
        self.store.model.faults.delay_ms = 60_000
        started_ms = self.world.clock.now_ms()
        result = await self.load(limit_ms=25)
        self.assertEqual(result.reason, MissReason.DEADLINE)
        self.assertLessEqual(self.world.clock.now_ms() - started_ms, 27)

    async def test_store_restarted_empty_after_the_choice_is_a_miss(self):
        def restart(step):
            if step is ImportStep.DESCRIBED:
                self.store.model.restart_empty(2)

        result = await self.load(self.importer(observe=restart))
        self.assertEqual((result.blocks, result.reason), (0, MissReason.OLD_GENERATION))

    async def test_slot_freed_and_reused_after_the_choice_is_a_miss(self):
        def reuse(step):
            if step is ImportStep.VERSION_CHECKED:
                model = self.store.model
                refs = model.describe(KEYS[:1]).refs
                model.free(refs, state=SlotState.PUBLISHED, fencing=1)
                model.reserve(0, (SlotRequest("ee" * 16, 1),))

        result = await self.load(self.importer(observe=reuse))
        self.assertEqual((result.blocks, result.reason), (0, MissReason.OLD_GENERATION))

    async def test_version_swap_at_any_step_before_the_order_imports_nothing(self):
        """Guards against a new request that runs on blocks of the old version.

        A bundle with a new version comes into force after the store was chosen. The
        version must be compared again after the run was planned.
        """
        for trigger in (ImportStep.CHOSEN, ImportStep.DESCRIBED):
            with self.subTest(step=trigger):
                self.version = VERSION

                def swap(step, trigger=trigger):
                    if step is trigger:
                        self.version = "v2"

                result = await self.load(self.importer(observe=swap))
                self.assertEqual(result.reason, MissReason.WRONG_VERSION)
                self.assertEqual(len(self.kv.engine.cache), 0)

    async def test_crash_at_any_step_leaves_only_complete_blocks(self):
        for step in ImportStep:
            with self.subTest(step=step):
                self.kv = self.world.other_engine()
                with self.assertRaises(ProcessCrashed):
                    await self.load(self.importer(observe=crash_at(step)))
                cached_blocks = self.kv.engine.cache.prefix_blocks(KEYS)
                self.assertEqual(cached_blocks, len(self.kv.engine.cache))
                self.assertEqual(self.store.model.used_slots(), len(KEYS))
