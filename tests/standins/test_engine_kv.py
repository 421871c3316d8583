import asyncio
import unittest

from fireflyward.kept import SlotRequest
from fireflyward.standins import EngineCache, EventFaults
from fireflyward.upstreams import (
    CacheChange,
    ExportOrder,
    ImportOrder,
    MissReason,
)
from tests.kept.kv_fixtures import KEYS, MODEL, VERSION, KvWorld


class ExportImportTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = KvWorld()
        self.store = self.world.store_by_name["s1"]

    async def run_ms(self, work):
        return await self.world.advance_until(asyncio.ensure_future(work))

    async def keep(self, keys=KEYS[:4]):
        self.world.compute(keys)
        wanted = tuple(SlotRequest(key, at) for at, key in enumerate(keys, start=1))
        reserved = await self.store.reserve(wanted)
        order = ExportOrder("o1", MODEL, VERSION, reserved.refs, {})
        report = await self.run_ms(self.world.kv.export_blocks(order))
        return (await self.store.publish(report.sealed)).refs

    async def load(self, refs, *, limit_ms=1_000, version=VERSION, kv=None):
        order = ImportOrder("o2", MODEL, version, tuple(refs), {}, limit_ms)
        return await self.run_ms((kv or self.world.other_engine()).import_blocks(order))

    async def test_exported_blocks_are_cached_at_the_importer(self):
        kv = self.world.other_engine()
        report = await self.load(await self.keep(), kv=kv)
        self.assertEqual((report.blocks, report.misses), (4, ()))
        self.assertEqual(kv.engine.cache.prefix_blocks(KEYS), 4)

    async def test_every_doubt_is_a_counted_miss_and_nothing_is_cached(self):
        """Symptom: an answer computed on foreign KV. Sequence: a store answers a
        read with another block's bytes, or with damaged ones. Cause: an engine
        that uses what it gets without holding it against the descriptor."""
        refs = await self.keep()
        for switch in ("wrong_bytes", "damaged_bytes"):
            with self.subTest(switch=switch):
                setattr(self.store.model.faults, switch, True)
                kv = self.world.other_engine()
                report = await self.load(refs, kv=kv)
                setattr(self.store.model.faults, switch, False)
                self.assertEqual(report.blocks, 0)
                self.assertEqual(kv.miss_by_reason, {MissReason.WRONG_CHECKSUM: 1})
                self.assertEqual(len(kv.engine.cache), 0)

    async def test_swap_between_choosing_and_importing_imports_nothing(self):
        """Symptom: a new request runs on blocks of the old weights. Sequence: the
        node chooses and orders, the engine swaps while the store answers. Cause: a
        version that was compared only before the read."""
        refs = await self.keep()
        kv = self.world.other_engine()
        self.store.model.faults.late_ms = 50
        order = ImportOrder("o2", MODEL, VERSION, refs, {}, 1_000)
        task = asyncio.ensure_future(kv.import_blocks(order))
        await self.world.clock.advance_ms(10)
        kv.engine.version_by_model[MODEL] = "v2"
        report = await self.world.advance_until(task)
        self.assertEqual(report.misses[0].reason, MissReason.WRONG_VERSION)
        self.assertEqual(len(kv.engine.cache), 0)

    async def test_late_store_costs_no_more_than_the_limit(self):
        refs = await self.keep()
        self.store.model.faults.late_ms = 10_000
        began_ms = self.world.clock.now_ms()
        report = await self.load(refs, limit_ms=40)
        self.assertEqual(report.misses[0].reason, MissReason.DEADLINE)
        self.assertLessEqual(self.world.clock.now_ms() - began_ms, 42)

    async def test_blocks_before_the_doubtful_one_stay_usable(self):
        refs = await self.keep()
        broken = self.store.model._slot_by_number[refs[2].slot]
        broken.payload = b"?" * len(broken.payload)
        kv = self.world.other_engine()
        report = await self.load(refs, kv=kv)
        self.assertEqual(report.blocks, 2)
        self.assertEqual(kv.engine.cache.prefix_blocks(KEYS), 2)

    async def test_block_that_left_the_cache_is_not_exported(self):
        wanted = (SlotRequest(KEYS[0], 1),)
        reserved = await self.store.reserve(wanted)
        order = ExportOrder("o1", MODEL, VERSION, reserved.refs, {})
        report = await self.run_ms(self.world.kv.export_blocks(order))
        self.assertEqual(report.sealed, ())
        self.assertEqual(report.missing[0].reason, MissReason.NOT_KEPT)


class EventTests(unittest.TestCase):
    def test_eviction_is_told_in_sequence(self):
        cache = EngineCache(2)
        for position, key in enumerate(("a", "b", "c"), start=1):
            cache.store(key, position)
        events = cache.events(0).events
        told = [(event.sequence, event.change, event.key) for event in events]
        stored, evicted = CacheChange.STORED, CacheChange.EVICTED
        self.assertEqual(
            told,
            [(1, stored, "a"), (2, stored, "b"), (3, stored, "c"), (4, evicted, "a")],
        )

    def test_faults_double_drop_and_delay(self):
        cache = EngineCache(8)
        for position, key in enumerate("abcd", start=1):
            cache.store(key, position)
        cache.faults = EventFaults(doubled=True, drop_every=2, late=1)
        events = cache.events(0)
        self.assertEqual([event.key for event in events.events], ["a", "a", "c", "c"])
        self.assertEqual(events.newest, 4)
