import unittest

import aiohttp

from fireflyward.kept import (
    Fenced,
    HttpStore,
    ListQuery,
    SlotRequest,
    SlotState,
    StoreUnavailable,
)
from fireflyward.standins import (
    EngineModel,
    EngineServer,
    StoreCosts,
    StoreModel,
    StoreServer,
)
from fireflyward.upstreams import ExportOrder, HttpKvEngine, ImportOrder, Miss

COSTS = StoreCosts(memory_slots=8, disk_slots=8, block_bytes=1_000)
KEYS = ("aa" * 16, "bb" * 16)


class StoreServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = StoreServer(StoreModel("s1", COSTS))
        self.engines = [EngineServer(EngineModel({"m": "v1"})) for _ in range(2)]
        for server in (self.server, *self.engines):
            await server.start()
            self.addAsyncCleanup(server.stop)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.store = HttpStore(self.session, "s1", self.server.url)

    async def test_blocks_pass_from_engine_to_store_to_engine(self):
        first, second = (HttpKvEngine(self.session, item.url) for item in self.engines)
        for position, key in enumerate(KEYS, start=1):
            self.engines[0].model.cache.store(key, position)
        wanted = tuple(SlotRequest(key, at) for at, key in enumerate(KEYS, start=1))
        reserved = await self.store.reserve(wanted)
        urls = {"s1": self.server.url}
        order = ExportOrder("o1", "m", "v1", reserved.refs, urls)
        report = await first.export_blocks(order)
        await self.store.publish(report.sealed)
        found = await self.store.describe((*KEYS, "cc" * 16))
        self.assertEqual(len(found.refs), 2)
        order = ImportOrder("o2", "m", "v1", found.refs, urls, 2_000)
        self.assertEqual((await second.import_blocks(order)).blocks, 2)
        self.assertEqual((await second.cache_events(0)).newest, 2)
        listing = await self.store.list(ListQuery())
        self.assertEqual(len(listing.changes), 2)

    async def test_fencing_misses_and_unfinished_slots_work_over_http(self):
        reserved = await self.store.reserve((SlotRequest(KEYS[0], 1),))
        await self.store.raise_fence(4)
        result = await self.store.free(
            reserved.refs, state=SlotState.RESERVED, fencing=3
        )
        self.assertEqual(result, Fenced(4))
        self.assertIsInstance(await self.store.read(reserved.refs[0]), Miss)
        (unfinished,) = await self.store.unfinished(0)
        self.assertEqual(unfinished.ref, reserved.refs[0])

    async def test_call_to_a_stopped_store_returns_store_unavailable(self):
        await self.server.stop()
        result = await self.store.describe(KEYS)
        self.assertIsInstance(result, StoreUnavailable)
        self.assertFalse(result.may_have_acted)
