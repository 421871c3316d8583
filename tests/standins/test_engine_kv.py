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

    async def advance_until_done(self, work):
        return await self.world.advance_until(asyncio.ensure_future(work))

    async def keep(self, keys=KEYS[:4]):
        self.world.compute(keys)
        wanted = tuple(SlotRequest(key, at) for at, key in enumerate(keys, start=1))
        reserved = await self.store.reserve(wanted)
        order = ExportOrder("o1", MODEL, VERSION, reserved.refs, {})
        report = await self.advance_until_done(self.world.kv.export_blocks(order))
        return (await self.store.publish(report.sealed)).refs

    async def load(self, refs, *, limit_ms=1_000, version=VERSION, kv=None):
        order = ImportOrder("o2", MODEL, version, tuple(refs), {}, limit_ms)
        return await self.advance_until_done(
            (kv or self.world.other_engine()).import_blocks(order)
        )

    async def test_exported_blocks_are_cached_at_the_importer(self):
        kv = self.world.other_engine()
        report = await self.load(await self.keep(), kv=kv)
        self.assertEqual((report.blocks, report.misses), (4, ()))
        self.assertEqual(kv.engine.cache.prefix_blocks(KEYS), 4)

    async def test_wrong_or_damaged_bytes_count_as_a_miss_and_are_not_cached(self):
        """Guards against answers computed with another prompt's KV data.

        A store answers a read with another block's bytes, or with damaged ones. The
        engine must compare what it receives with the descriptor."""
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

    async def test_weight_swap_during_an_import_imports_nothing(self):
        """Guards against new requests that use blocks of the old weights.

        A node orders an import, and the engine swaps weights while it waits for the
        store. The engine must compare the version after the read."""
        refs = await self.keep()
        kv = self.world.other_engine()
        self.store.model.faults.delay_ms = 50
        order = ImportOrder("o2", MODEL, VERSION, refs, {}, 1_000)
        task = asyncio.ensure_future(kv.import_blocks(order))
        await self.world.clock.advance_ms(10)
        kv.engine.version_by_model[MODEL] = "v2"
        report = await self.world.advance_until(task)
        self.assertEqual(report.misses[0].reason, MissReason.WRONG_VERSION)
        self.assertEqual(len(kv.engine.cache), 0)

    async def test_import_from_a_slow_store_stops_at_the_time_limit(self):
        refs = await self.keep()
        self.store.model.faults.delay_ms = 10_000
        started_ms = self.world.clock.now_ms()
        report = await self.load(refs, limit_ms=40)
        self.assertEqual(report.misses[0].reason, MissReason.DEADLINE)
        self.assertLessEqual(self.world.clock.now_ms() - started_ms, 42)

    async def test_blocks_before_a_damaged_one_stay_usable(self):
        refs = await self.keep()
        broken = self.store.model._slot_by_number[refs[2].slot]
        broken.payload = b"?" * len(broken.payload)
        kv = self.world.other_engine()
        report = await self.load(refs, kv=kv)
        self.assertEqual(report.blocks, 2)
        self.assertEqual(kv.engine.cache.prefix_blocks(KEYS), 2)

    async def test_block_that_is_not_cached_is_not_exported(self):
        wanted = (SlotRequest(KEYS[0], 1),)
        reserved = await self.store.reserve(wanted)
        order = ExportOrder("o1", MODEL, VERSION, reserved.refs, {})
        report = await self.advance_until_done(self.world.kv.export_blocks(order))
        self.assertEqual(report.sealed, ())
        self.assertEqual(report.missing[0].reason, MissReason.NOT_KEPT)


class EventTests(unittest.TestCase):
    def test_events_of_stored_and_evicted_blocks_come_in_sequence(self):
        cache = EngineCache(2)
        for position, key in enumerate(("a", "b", "c"), start=1):
            cache.store(key, position)
        events = cache.events(0).events
        entries = [(event.sequence, event.change, event.key) for event in events]
        stored, evicted = CacheChange.STORED, CacheChange.EVICTED
        self.assertEqual(
            entries,
            [(1, stored, "a"), (2, stored, "b"), (3, stored, "c"), (4, evicted, "a")],
        )

    def test_faults_duplicate_drop_and_withhold_events(self):
        cache = EngineCache(8)
        for position, key in enumerate("abcd", start=1):
            cache.store(key, position)
        cache.faults = EventFaults(duplicated=True, drop_every=2, withheld=1)
        events = cache.events(0)
        self.assertEqual([event.key for event in events.events], ["a", "a", "c", "c"])
        self.assertEqual(events.newest, 4)
