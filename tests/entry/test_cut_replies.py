"""Plain services that break off in the middle of a reply, through a whole node."""

import json
import unittest

import aiohttp

from fireflyward.connections import Sessions
from fireflyward.demo import DemoDeployment
from fireflyward.upstreams import HttpService
from tests.http1.cut_responses import MERGED_HEADS, CutServer

_HALF = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf"
_PATH = "/services/drafting/notes"


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
