import json
import unittest

import aiohttp

from fireflyward.demo import DemoDeployment
from fireflyward.standins import answer_text


class DemoDeploymentTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        node = next(iter(self.deployment.node_by_name.values()))
        self.url = f"http://127.0.0.1:{node.port}"
        self.headers = {"Authorization": "Bearer key-bridge"}

    async def post(self, path, body, **headers):
        return await self.session.post(
            self.url + path, data=body, headers={**self.headers, **headers}
        )

    async def test_plain_answer_is_complete_and_carries_its_bundle_number(self):
        body = json.dumps({"model": "clauses", "prompt": "beam 7?", "max_tokens": 6})
        async with await self.post("/v1/completions", body) as response:
            answer = await response.json()
        self.assertEqual(
            answer["choices"][0]["text"], answer_text("clauses", "v1", "", "beam 7?", 6)
        )
        self.assertEqual(response.headers["X-Bundle"], "1")
        self.assertEqual(response.headers["X-Outcome"], "answered")

    async def test_stream_ends_with_its_end_marker(self):
        body = json.dumps(
            {"model": "clauses", "prompt": "beam 8?", "max_tokens": 6, "stream": True}
        )
        async with await self.post("/v1/completions", body) as response:
            text = await response.text()
        self.assertTrue(text.endswith("data: [DONE]\n\n"))

    async def test_rejected_requests_are_reported_as_not_run_and_reach_no_engine(self):
        cases = [
            ("{", {}, 400),
            (json.dumps({"model": "other", "prompt": "x"}), {}, 404),
            (
                json.dumps({"model": "clauses", "prompt": "x"}),
                {"Authorization": "Bearer x"},
                401,
            ),
        ]
        for body, headers, status in cases:
            with self.subTest(status=status):
                async with await self.post(
                    "/v1/completions", body, **headers
                ) as response:
                    answer = await response.json()
                self.assertEqual(response.status, status)
                self.assertEqual(answer["error"]["type"], "not_run")
        for engine in self.deployment.engine_by_name.values():
            self.assertEqual(engine.model.run_by_id, {})

    async def test_non_idempotent_service_call_runs_once_when_repeated(self):
        """Guards against duplicate revision records.

        The caller loses the answer and repeats the request with the same key. The
        node must have recorded that it dispatched the first one."""
        path = "/services/drafting/revisions"
        async with await self.post(path, b"r7", **{"Idempotency-Key": "k1"}) as first:
            self.assertEqual(first.status, 200)
            expected = await first.read()
        async with await self.post(
            path, b"r7", **{"Idempotency-Key": "k1"}
        ) as repeated:
            self.assertEqual(repeated.status, 200)
            self.assertEqual(await repeated.read(), expected)
        self.assertEqual(self.deployment.service.bodies, [b"r7"])
