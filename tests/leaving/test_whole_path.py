import asyncio
import unittest

import aiohttp

from fireflyward.backing import VmEntry
from fireflyward.demo import DemoDeployment

LIMIT_S = 30
HEADERS = {"Authorization": "Bearer key-bridge"}


class ListTests(unittest.IsolatedAsyncioTestCase):
    async def test_service_that_is_leaving_by_the_list_gets_no_call(self):
        """Guards against calls that are cut when a service's VM is removed.

        The platform listed the VM as leaving, and calls were still sent there, since
        only the reports of model engines themselves were evaluated.
        """
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
