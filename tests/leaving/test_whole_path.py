import asyncio
import unittest

import aiohttp

from fireflyward.backing import VmEntry
from fireflyward.demo import DemoDeployment

LIMIT_S = 30
HEADERS = {"Authorization": "Bearer key-bridge"}


class ListTests(unittest.IsolatedAsyncioTestCase):
    async def test_service_that_the_list_calls_leaving_gets_no_call(self):
        """Symptom: calls are cut when a service's VM is taken away. Sequence: the
        platform lists the VM as leaving, calls go on going there. Cause: only
        model engines' own reports were a sign."""
        deployment = DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        await self.enterAsyncContext(deployment)
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        node = next(iter(deployment.node_by_name.values()))
        url = f"http://127.0.0.1:{node.port}/services/drafting/drawings"
        async with session.get(url, headers=HEADERS) as response:
            self.assertEqual(response.status, 200)
        vms = deployment.platform.vms
        vms.entry_by_name["drafting-1"] = VmEntry("drafting-1", "leaving")
        vms.as_of_ms = 1
        async with asyncio.timeout(LIMIT_S):
            while not node.leaving_upstreams.is_leaving(
                node.clock.now_ms(), "drafting-1"
            ):
                await asyncio.sleep(0.02)
        calls = len(deployment.service.bodies)
        async with session.get(url, headers=HEADERS) as response:
            self.assertEqual(response.headers["X-Outcome"], "not_run")
        self.assertEqual(len(deployment.service.bodies), calls)
