"""Plain services and callers that break off, through a whole node."""

import asyncio
import json
import unittest

import aiohttp

from fireflyward.connections import Sessions
from fireflyward.demo import DemoDeployment
from fireflyward.upstreams import HttpService
from tests.http1.cut_responses import MERGED_HEADS, CutServer

_HALF = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf"
_PATH = "/services/drafting/notes"
_LIMIT_S = 20
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_BODIES = (
    ("Content-Length: 6", b"whole!"),
    ("Transfer-Encoding: chunked", b"3\r\nwho\r\n3\r\nle!\r\n0\r\n\r\n"),
)


class CutReplyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(
            DemoDeployment(nodes_per_domain=1, engines_per_domain=1)
        )
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.server = CutServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        sessions = Sessions()
        self.addAsyncCleanup(sessions.close)
        node = next(iter(self.deployment.node_by_name.values()))
        self.url = f"http://127.0.0.1:{node.port}{_PATH}"
        (name,) = node.service_by_name
        node.service_by_name[name] = HttpService(
            sessions.pooled, f"http://{self.server.address}", fresh=sessions.fresh
        )

    async def test_no_caller_gets_a_part_of_a_reply(self):
        """Guards against 200 with half a reply, or with that to another call."""
        for data in (_HALF, *MERGED_HEADS.values()):
            for resets in (False, True):
                with self.subTest(data=data, resets=resets):
                    self.server.data, self.server.resets = data, resets
                    async with self.session.post(
                        self.url,
                        data=b"n1",
                        headers={"Authorization": "Bearer key-bridge"},
                    ) as response:
                        body = await response.read()
                    self.assertEqual(response.headers["X-Outcome"], "unknown", body)
                    self.assertEqual(json.loads(body)["error"]["type"], "unknown")

    async def test_no_service_gets_a_part_of_a_request(self):
        """Guards against a call that runs with half of its body."""
        self.server.data = _WHOLE
        port = int(self.url.split(":")[2].split("/")[0])
        for field, body in _BODIES:
            lines = [f"POST {_PATH} HTTP/1.1", "Host: h", field]
            lines += ["Authorization: Bearer key-bridge", "", ""]
            for size in range(len(body)):
                for is_half_closed in (False, True):
                    with self.subTest(field, size=size, half=is_half_closed):
                        reader, writer = await asyncio.open_connection(
                            "127.0.0.1", port
                        )
                        writer.write("\r\n".join(lines).encode() + body[:size])
                        await writer.drain()
                        if is_half_closed:
                            writer.write_eof()
                            async with asyncio.timeout(_LIMIT_S):
                                await reader.read()
                        writer.close()
        async with self.session.post(
            self.url, data=b"whole!", headers={"Authorization": "Bearer key-bridge"}
        ) as response:
            self.assertEqual(await response.read(), b"ok")
        self.assertEqual([item.body for item in self.server.requests], [b"whole!"])
