"""Callers that resume their answer at another node, over real sockets."""

import json
import unittest

import aiohttp

from fireflyward.demo import DemoDeployment
from fireflyward.standins import EngineCosts, answer_text

TOKENS = 12
PROMPT = "beam 7, pass or fail?"
WANTED = answer_text("clauses", "v1", "", PROMPT, TOKENS)
COSTS = EngineCosts(prefill_ms_per_token=0.1, decode_ms_per_token=15.0)


class ResumeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1, costs=COSTS)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.nodes = list(self.deployment.node_by_name.items())

    def complete(self, node, **headers):
        body = {
            "model": "clauses",
            "prompt": PROMPT,
            "max_tokens": TOKENS,
            "stream": True,
        }
        headers = {"Authorization": "Bearer key-bridge", **headers}
        url = f"http://127.0.0.1:{node.port}/v1/completions"
        return self.session.post(url, data=json.dumps(body), headers=headers)

    async def read(self, response, *, pieces=1_000):
        """Return the text and the last event id after ``pieces`` pieces or the end."""
        texts, last_id = [], ""
        try:
            async for line in response.content:
                if line.startswith(b"id: "):
                    last_id = line.removeprefix(b"id: ").strip().decode()
                if line.startswith(b"data: {"):
                    body = json.loads(line.removeprefix(b"data: "))
                    texts.append(body["choices"][0].get("text") or "")
                if len(texts) == pieces:
                    break
        except aiohttp.ClientError:
            pass
        return "".join(texts), last_id

    def run_count(self):
        engines = self.deployment.engine_by_name.values()
        return sum(len(engine.model.run_by_id) for engine in engines)

    async def test_stream_continues_at_another_node_after_its_entry_vm_crashed(self):
        """Guards against an answer that starts again or contains a part twice.

        The entry VM crashes during a stream, and its caller sends the same request,
        key and last event id to another one. That node must be able to find the run
        without the crashed one.
        """
        (name, first), (_, second) = self.nodes
        async with self.complete(first, **{"Idempotency-Key": "k1"}) as response:
            before, last_id = await self.read(response, pieces=3)
            self.deployment.node_by_name.pop(name)
            await first.io.stop_listening()
        headers = {"Idempotency-Key": "k1", "Last-Event-ID": last_id}
        async with self.complete(second, **headers) as response:
            after, _ = await self.read(response)
        await first.close()
        self.assertEqual(before + after, WANTED)

    async def test_mark_of_another_key_or_account_is_rejected(self):
        """Guards against a caller that reads the answer of another caller.

        The caller sends an event id from the other caller's stream. The id alone must
        not give access to the run.
        """
        (_, first), (_, second) = self.nodes
        async with self.complete(first, **{"Idempotency-Key": "k1"}) as response:
            _, last_id = await self.read(response)
        cases = [
            {"Idempotency-Key": "k2"},
            {"Idempotency-Key": "k1", "Authorization": "Bearer key-tower"},
            {},
        ]
        for headers in cases:
            with self.subTest(headers=headers):
                response_context = self.complete(
                    second, **{"Last-Event-ID": last_id, **headers}
                )
                async with response_context as response:
                    body = await response.json()
                self.assertEqual(response.status, 400)
                self.assertEqual(body["error"]["type"], "not_run")

    async def test_duplicate_of_a_non_idempotent_prompt_reads_the_same_run(self):
        (_, first), (_, second) = self.nodes
        headers = {"Idempotency-Key": "k1", "X-Non-Idempotent": "true"}
        async with (
            self.complete(first, **headers) as one,
            self.complete(second, **headers) as two,
        ):
            texts = [(await self.read(one))[0], (await self.read(two))[0]]
        self.assertEqual(texts, [WANTED, WANTED])
        self.assertEqual(self.run_count(), 1)

    async def test_invalid_deadline_is_rejected_and_a_short_one_aborts_the_run(self):
        _, node = self.nodes[0]
        async with self.complete(node, **{"X-Deadline-Ms": "soon"}) as response:
            self.assertEqual(response.status, 400)
        async with self.complete(node, **{"X-Deadline-Ms": "60"}) as response:
            text = await response.text()
        self.assertIn('"code":"deadline"', text)
