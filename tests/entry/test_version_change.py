import json
import unittest

import aiohttp
import msgspec

from fireflyward.bundles import Model
from fireflyward.demo import DemoDeployment
from fireflyward.standins import answer_text


class VersionChangeTests(unittest.IsolatedAsyncioTestCase):
    async def test_request_whose_version_was_replaced_is_served_by_the_next(self):
        """Guards against rejecting a few requests at the end of a rollout.

        The version v1 is chosen for a request by load reports. Then the last replica
        of v1 loads another version, and rejects the request. The node must choose the
        version again, because no replica of v1 is left.
        """
        async with DemoDeployment(nodes_per_domain=1, engines_per_domain=1) as demo:
            node = next(iter(demo.node_by_name.values()))
            bundle = msgspec.structs.replace(
                demo.make_bundle(2), models={"clauses": Model("v2")}
            )
            node.apply(bundle)
            for server in demo.engine_by_name.values():
                server.model.version_by_model = {"clauses": "v2"}
            first = next(iter(node.router.names()))
            self.assertIn("v1", node.router.candidate(first).version_by_model.values())
            body = json.dumps({"model": "clauses", "prompt": "beam?", "max_tokens": 3})
            async with aiohttp.ClientSession() as session:
                async with session.post(
                    f"http://127.0.0.1:{node.port}/v1/completions",
                    data=body,
                    headers={"Authorization": "Bearer key-bridge"},
                ) as response:
                    answer = await response.json()
        self.assertEqual(response.status, 200, answer)
        wanted = answer_text("clauses", "v2", "", "beam?", 3)
        self.assertEqual(answer["choices"][0]["text"], wanted)
