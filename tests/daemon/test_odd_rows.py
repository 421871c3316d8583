"""Rows of the own tables that another writer has spoilt."""

import json
import unittest

import aiohttp

from fireflyward.demo import DemoDeployment
from fireflyward.rollout import ROLLOUT_KEY

_ODD_ROWS = (b"[[", b"[" * 50_000, b'{"fencing": -1}', b'{"total": 1e400}', b"\xff")


class OddRowTests(unittest.IsolatedAsyncioTestCase):
    async def test_nodes_start_and_serve_beside_a_malformed_rollout_row(self):
        """Guards against nodes that do not start while the row stands."""
        for value in _ODD_ROWS:
            with self.subTest(value[:30]):
                deployment = DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
                puts = {ROLLOUT_KEY: value}
                table = deployment.platform.table
                await table.commit(expected={ROLLOUT_KEY: 0}, puts=puts)
                with self.assertNoLogs("fireflyward.process", "ERROR"):
                    with self.assertLogs("fireflyward.rollout", "WARNING"):
                        async with deployment:
                            await self.assert_serves(deployment)

    async def assert_serves(self, deployment):
        node = next(iter(deployment.node_by_name.values()))
        body = {"model": "clauses", "prompt": "beam 7?", "max_tokens": 2}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f"http://127.0.0.1:{node.port}/v1/completions",
                data=json.dumps(body),
                headers={"Authorization": "Bearer key-bridge"},
            ) as response:
                self.assertEqual(response.status, 200, await response.text())
