import asyncio
import json
import unittest

import aiohttp
import msgspec

from fireflyward.bundles import Upstream
from fireflyward.clock import Clock
from fireflyward.demo import KEPT_KEY, DemoDeployment
from fireflyward.kept import BlockNames, Importer, ImportRequest, SlotRequest
from fireflyward.routing import RunShape
from fireflyward.standins import EngineCosts, StoreCosts, StoreModel, StoreServer
from tests.kept.kv_fixtures import FixedLimit

PROMPT = "Clause 8.4: connections shall be detailed as follows. " * 600
BLOCK_BYTES = 8 << 20
COSTS = EngineCosts(prefill_ms_per_token=0.05, import_ms_per_block=0.1)
STORE_COSTS = StoreCosts(block_bytes=BLOCK_BYTES, link_bytes_per_ms=8e7)


class StoreDeployment(DemoDeployment):
    """The demo deployment with a store for KV blocks."""

    def __init__(self) -> None:
        super().__init__(nodes_per_domain=1, engines_per_domain=1, costs=COSTS)
        self.store = StoreServer(StoreModel("store-1", STORE_COSTS))

    async def __aenter__(self):
        await self.store.start()
        return await super().__aenter__()

    async def __aexit__(self, *problem):
        await super().__aexit__(*problem)
        await self.store.stop()

    def make_bundle(self, number):
        bundle = super().make_bundle(number)
        store = Upstream("store", self.store.url, "sala-norte")
        upstreams = {**bundle.upstreams, "store-1": store}
        return msgspec.structs.replace(bundle, upstreams=upstreams)


class KeptWorkOverSocketsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(StoreDeployment())
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def complete(self, question):
        node = next(iter(self.deployment.node_by_name.values()))
        body = {
            "model": "clauses",
            "prompt": PROMPT + question,
            "max_tokens": 2,
            "session": "building-7",
        }
        response = await self.session.post(
            f"http://127.0.0.1:{node.port}/v1/completions",
            data=json.dumps(body),
            headers={"Authorization": "Bearer key-bridge"},
        )
        async with response:
            answer = await response.json()
        return answer["usage"]["prompt_tokens_details"]["cached_tokens"]

    async def wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.05)

    async def test_prompt_evicted_by_every_engine_is_found_in_the_store(self):
        """Guards against stored blocks that are written but never found.

        A prompt is served, every engine evicts its blocks, and hours later the prompt
        returns. Without this lookup it would be computed again.
        """
        for _ in range(3):
            await self.complete("beam 7?")
        store = self.deployment.store.model
        await self.wait_until(lambda: len(store.describe(self.block_keys()).refs) >= 96)
        for engine in self.deployment.engine_by_name.values():
            engine.model.cache.restart_empty("2")
        node = next(iter(self.deployment.node_by_name.values()))
        await node.kept.read_events()
        await node.kept.read_listings()
        shape = RunShape("bridge-team", "clauses", "v1", 8_000, self.block_keys())
        locations = node.kept.work.prefixes.locate(node.clock.now_ms(), shape)
        self.assertEqual(locations.cached_blocks_by_replica, {})
        self.assertGreaterEqual(locations.stored[0].blocks, 96)
        await self.import_into_all_engines(node)
        self.assertGreaterEqual(await self.complete("beam 7?"), 96 * 64)

    async def test_slots_of_crashed_writers_are_swept_by_the_lease_holder_only(self):
        store = self.deployment.store.model
        store.reserve(Clock().now_ms() - 120_000, (SlotRequest("aa" * 16, 1),))
        nodes = list(self.deployment.node_by_name.values())
        async with asyncio.timeout(20):
            while store.used_slots():
                await asyncio.gather(*(node.kept.sweep() for node in nodes))
                await asyncio.sleep(0.05)
        swept_slots = [
            node.metrics.total("kept_garbage_total", store="store-1") for node in nodes
        ]
        self.assertEqual(sorted(swept_slots), [0, 1])

    def block_keys(self):
        names = BlockNames(bytes.fromhex(KEPT_KEY))
        return names.of_prompt("bridge-team", "clauses", "v1", "", PROMPT + "beam 7?")

    async def import_into_all_engines(self, node):
        """Import with a time limit that does not depend on the machine's speed."""
        importer = Importer(
            node.clock, node.kept.url_by_store, lambda model, version: True
        )
        store = node.kept.store_by_name["store-1"]
        limit = FixedLimit(node.clock.now_ms() + 30_000)
        for name, engine in node.kept.kv_by_replica.items():
            import_request = ImportRequest(
                name, "clauses", "v1", self.block_keys()[:96]
            )
            result = await importer.load(import_request, engine, store, limit)
            self.assertEqual((result.blocks, result.reason), (96, None))
