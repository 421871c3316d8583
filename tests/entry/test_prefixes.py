import json
import unittest

import aiohttp

from fireflyward.demo import DemoDeployment
from fireflyward.standins import answer_text

CLAUSES = "Clause 8.4: connections shall be detailed as follows. " * 40


class NamedPrefixTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.nodes = list(self.deployment.node_by_name.values())

    async def complete(self, node, key="key-bridge", **fields):
        body = {"model": "clauses", "max_tokens": 4, **fields}
        response = await self.session.post(
            f"http://127.0.0.1:{node.port}/v1/completions",
            data=json.dumps(body),
            headers={"Authorization": f"Bearer {key}"},
        )
        async with response:
            return response.status, response.headers, await response.json()

    async def test_prefix_is_stored_at_one_node_and_used_at_another(self):
        _, headers, _ = await self.complete(
            self.nodes[0], keep="clauses", prefix_text=CLAUSES, prompt="beam 7?"
        )
        ref = headers["X-Prefix"]
        status, _, answer = await self.complete(
            self.nodes[1], prefix=ref, prompt="beam 8?"
        )
        wanted = answer_text("clauses", "v1", "", CLAUSES + "beam 8?", 4)
        self.assertEqual((status, answer["choices"][0]["text"]), (200, wanted))

    async def test_reference_of_another_account_is_rejected_as_not_run(self):
        _, headers, _ = await self.complete(
            self.nodes[0], keep="clauses", prefix_text=CLAUSES, prompt="beam 7?"
        )
        status, _, answer = await self.complete(
            self.nodes[0], "key-tower", prefix=headers["X-Prefix"], prompt="beam 8?"
        )
        self.assertEqual((status, answer["error"]["type"]), (400, "not_run"))

    async def test_complete_prefix_is_accepted_without_the_object_store(self):
        self.deployment.platform.objects.unavailable = True
        status, headers, _ = await self.complete(
            self.nodes[0], keep="clauses", prefix_text=CLAUSES, prompt="beam 7?"
        )
        self.assertEqual(status, 200)
        self.assertNotIn("X-Prefix", headers)

    async def test_contradicting_fields_are_rejected(self):
        for fields in ({"prefix": "x", "prefix_text": "y"}, {"keep": "clauses"}):
            with self.subTest(fields=fields):
                status, _, answer = await self.complete(
                    self.nodes[0], prompt="beam 7?", **fields
                )
                self.assertEqual((status, answer["error"]["type"]), (400, "not_run"))
