import asyncio
import json
import unittest

import aiohttp
import msgspec

from fireflyward.bundles import Model
from fireflyward.demo import DemoDeployment
from fireflyward.standins import EngineCosts, answer_text

PROMPT = "beam 7?"
TOKENS = 4
PAUSE_S = 0.02
LIMIT_S = 60.0


def text_at(version):
    return answer_text("clauses", version, "", PROMPT, TOKENS)


class RolloutTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        costs = EngineCosts(load_ms=100.0)
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=2, costs=costs)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.nodes = tuple(self.deployment.node_by_name.values())

    async def complete(self, node):
        body = {"model": "clauses", "prompt": PROMPT, "max_tokens": TOKENS}
        async with self.session.post(
            f"http://127.0.0.1:{node.port}/v1/completions",
            data=json.dumps(body),
            headers={"Authorization": "Bearer key-bridge"},
        ) as response:
            answer = await response.json()
        self.assertEqual(response.status, 200, answer)
        return answer["choices"][0]["text"], response.headers["X-Bundle"]

    async def accept(self, number, version):
        bundle = self.deployment.make_bundle(number)
        models = {"clauses": Model(version)}
        await self.deployment.accept(msgspec.structs.replace(bundle, models=models))

    async def test_new_version_replaces_the_old_one_without_rejections(self):
        """Guards against rejecting every request while new weights load.

        A bundle names a new version. The nodes apply the bundle at once, but the
        replicas still have the old version. So a node must not use the bundle's
        version before replicas have it.
        """
        await self.accept(2, "v2")
        answers = []
        async with asyncio.timeout(LIMIT_S):
            while answers[-4:] != [(text_at("v2"), "2")] * 4:
                answers += [await self.complete(node) for node in self.nodes]
                await asyncio.sleep(PAUSE_S)
        self.assertIn((text_at("v1"), "2"), answers)
        texts = {text for text, _ in answers}
        self.assertEqual(texts, {text_at("v1"), text_at("v2")})


if __name__ == "__main__":
    unittest.main()
