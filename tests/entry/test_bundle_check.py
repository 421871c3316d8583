import unittest

import aiohttp

from fireflyward.demo import DemoDeployment


class BundleCheckTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        node = next(iter(self.deployment.node_by_name.values()))
        self.url = f"http://127.0.0.1:{node.port}/v1/models"

    async def list_models(self, number):
        headers = {"Authorization": "Bearer key-bridge", "X-Bundle": number}
        async with self.session.get(self.url, headers=headers) as response:
            return response, await response.json()

    async def test_caller_that_saw_a_newer_bundle_is_rejected(self):
        """Guards against serving a caller by a bundle that was already replaced for it.

        One node has bundle N, and the balancer sends the caller's next request to a
        node that still has N-1.
        """
        response, body = await self.list_models("7")
        self.assertEqual(response.status, 503)
        self.assertEqual(body["error"]["code"], "bundle_behind")
        self.assertEqual(body["error"]["type"], "not_run")
        self.assertIn("Retry-After", response.headers)

    async def test_node_that_is_one_bundle_behind_catches_up_first(self):
        await self.deployment.accept(self.deployment.make_bundle(2))
        response, _ = await self.list_models("2")
        self.assertEqual((response.status, response.headers["X-Bundle"]), (200, "2"))

    async def test_caller_at_the_same_number_is_served(self):
        for number in ("1", "0"):
            response, _ = await self.list_models(number)
            self.assertEqual(response.status, 200)

    async def test_invalid_number_is_rejected(self):
        for number in ("-1", "1.5", "x", "1" * 40):
            response, body = await self.list_models(number)
            self.assertEqual(
                (response.status, body["error"]["code"]), (400, "bad_request")
            )
