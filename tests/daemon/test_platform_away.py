import asyncio
import json
import unittest

import aiohttp

from fireflyward.daemon import Node
from fireflyward.demo import DOMAINS, DemoDeployment
from fireflyward.settings import SERVE_SETTINGS, load
from fireflyward.standins import answer_text

LIMIT_S = 60
HEADERS = {"Authorization": "Bearer key-bridge"}
PROMPT = {"model": "clauses", "prompt": "beam 7?", "max_tokens": 6}


class PlatformUnavailableTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.node = next(iter(self.deployment.node_by_name.values()))

    async def complete(self, node, **headers):
        return await self.session.post(
            f"http://127.0.0.1:{node.port}/v1/completions",
            data=json.dumps(PROMPT),
            headers={**HEADERS, **headers},
        )

    async def start_without_platform(self):
        """Start a node that knows one peer and cannot reach the platform."""
        host, port = self.node.link.address
        flags = self.deployment.flag_values("entry-late", DOMAINS[0])
        flags |= {"port": "0", "peer_port": "0", "peers": f"{host}:{port}"}
        node = Node(load(SERVE_SETTINGS, flags, {}))
        self.addAsyncCleanup(node.close)
        async with asyncio.timeout(LIMIT_S):
            await node.start()
            while not node.is_ready():
                await asyncio.sleep(0.02)
        return node

    async def test_node_started_without_the_platform_serves(self):
        """Guards against replaced VMs that cannot serve during a platform outage.

        A VM is replaced while the platform is unavailable, and its node starts. The
        node must not wait for the platform, and must get its bundle from a peer.
        """
        await self.deployment.platform.stop()
        node = await self.start_without_platform()
        async with await self.complete(node) as response:
            answer = await response.json()
        wanted = answer_text("clauses", "v1", "", "beam 7?", 6)
        self.assertEqual(answer["choices"][0]["text"], wanted)
        async with asyncio.timeout(LIMIT_S):
            while len(node.members.all_live()) < 2:
                await asyncio.sleep(0.02)

    async def test_only_requests_that_need_the_table_are_rejected(self):
        await self.deployment.platform.stop()
        non_idempotent = {"X-Non-Idempotent": "true", "Idempotency-Key": "k1"}
        for _ in range(4):
            async with await self.complete(self.node, **non_idempotent) as response:
                answer = await response.json()
            self.assertEqual(response.headers["X-Outcome"], "not_run")
            self.assertEqual(answer["error"]["code"], "platform_away")
        async with await self.complete(self.node) as response:
            self.assertEqual(response.status, 200)
