import unittest

import aiohttp

from fireflyward.demo import DemoDeployment


class BehindTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        node = next(iter(self.deployment.node_by_name.values()))
        self.url = f"http://127.0.0.1:{node.port}/v1/models"

    async def ask(self, seen):
        headers = {"Authorization": "Bearer key-bridge", "X-Bundle": seen}
        async with self.session.get(self.url, headers=headers) as response:
            return response, await response.json()

    async def test_caller_that_saw_a_newer_bundle_is_not_served_by_an_older(self):
        """Symptom: a setting that a caller saw in force is gone on its next call.
        Sequence: one node has number N, the balancer's next choice has N-1."""
        response, body = await self.ask("7")
        self.assertEqual(response.status, 503)
        self.assertEqual(body["error"]["code"], "bundle_behind")
        self.assertEqual(body["error"]["type"], "not_run")
        self.assertIn("Retry-After", response.headers)

    async def test_node_that_is_just_behind_catches_up_first(self):
        await self.deployment.accept(self.deployment.make_bundle(2))
        response, _ = await self.ask("2")
        self.assertEqual((response.status, response.headers["X-Bundle"]), (200, "2"))

    async def test_caller_at_the_same_number_is_served(self):
        for seen in ("1", "0"):
            response, _ = await self.ask(seen)
            self.assertEqual(response.status, 200)

    async def test_anything_but_a_number_is_refused(self):
        for seen in ("-1", "1.5", "x", "1" * 40):
            response, body = await self.ask(seen)
            self.assertEqual(
                (response.status, body["error"]["code"]), (400, "bad_request")
            )
