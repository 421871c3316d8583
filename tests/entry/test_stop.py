"""A planned stop answers each request that has been read."""

import asyncio
import json
import unittest

from fireflyward.demo import DemoDeployment

_LIMIT_S = 20


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.node = next(iter(deployment.node_by_name.values()))
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.node.port
        )
        self.addCleanup(self.writer.close)

    def request(self):
        body = json.dumps({"model": "clauses", "prompt": "beam 7?", "max_tokens": 4})
        lines = ["POST /v1/completions HTTP/1.1", "Host: h"]
        lines += ["Authorization: Bearer key-bridge", f"Content-Length: {len(body)}"]
        return "\r\n".join([*lines, "", body]).encode()

    async def response(self):
        async with asyncio.timeout(_LIMIT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length: ")[2].split()[0])
            await self.reader.readexactly(length)
        return head

    async def test_a_request_behind_the_first_is_answered(self):
        """Guards against a request that was read and dropped with its connection."""
        self.node.in_flight.begin_closing()
        self.writer.write(2 * self.request())
        first, second = await self.response(), await self.response()
        self.assertTrue(first.startswith("http/1.1 200"))
        self.assertNotIn("connection: close", first)
        self.assertTrue(second.startswith("http/1.1 200"))
        self.assertIn("connection: close", second)
