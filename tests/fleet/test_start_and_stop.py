"""A node's readiness, its work without the store, and its planned stop."""

import asyncio
from unittest import mock

import aiohttp

from tests.platform_standins import StoreBehavior

from .node_fixtures import STREAM, NodeTestCase, event_numbers


class StartAndStopTests(NodeTestCase):
    # Two requests are sent within this time, also on a busy machine.
    balancer_notice_ms = 1_500

    async def readiness(self):
        url = f"http://{self.node.readiness_address}/-/readyz"
        async with self.session.get(url) as response:
            return response.status

    async def idle_connection(self):
        """Return an idle connection on which one request has been answered."""
        host, port = self.node.callers_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["GET /r/x HTTP/1.1", "Host: h.example", "X-Request-Id: idle"]
        lines += ["Authorization: Bearer key-1", "", ""]
        writer.write("\r\n".join(lines).encode())
        await reader.readuntil(b"answer of p-")
        await reader.readexactly(1)
        return reader, writer

    async def test_a_node_is_ready_only_with_a_configuration(self):
        await self.node.start()
        self.assertEqual(await self.readiness(), 503)
        status, headers, _ = await self.fetch("GET", "/r/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.operator.configure()
        await self.until(lambda: self.node.is_ready)
        self.assertEqual(await self.readiness(), 200)

    async def test_an_early_request_waits_for_the_configuration(self):
        """Guards against nodes that reject callers' requests after a loss of power.

        Node after node listened before it had read its tables and rejected the requests
        that arrived, so callers used up their one retry.
        """
        self.store.behavior = StoreBehavior.BUSY
        await self.node.start()
        # The maximum wait must not expire in this test, also on a slow machine.
        with mock.patch("fireflyward.fleet._start_gate._MAX_WAIT_MS", 20_000):
            response = asyncio.create_task(self.fetch("POST", "/w/x", data=b"1"))
            await self.until(lambda: self.node._caller_server.in_flight)
            self.assertFalse(self.node.is_ready)
            self.operator.configure()
            self.store.behavior = StoreBehavior.NORMAL
            status, _, _ = await response
        self.assertEqual(status, 200)

    async def test_a_node_serves_while_the_store_is_unavailable(self):
        await self.start_ready()
        self.store.behavior = StoreBehavior.BUSY
        for _ in range(5):
            self.assertEqual((await self.fetch("GET", "/r/x"))[0], 200)
            await asyncio.sleep(0.05)

    async def test_a_planned_stop_cuts_no_request(self):
        """Guards against a planned restart that loses requests.

        A stream runs when SIGTERM arrives, and another caller has an idle connection
        that it could use again. The node completes the stream, closes the idle
        connection before a request is sent on it, and refuses new connections.
        """
        await self.start_ready()
        for engine in self.engines:
            engine._pause_s, engine._events = 0.03, 100
        await self.fetch("GET", "/r/x")
        streaming = asyncio.create_task(self.fetch("POST", "/s/x", headers=STREAM))
        await self.until(lambda: self.run_count(self.engines) == 1)
        idle, writer = await self.idle_connection()
        stopping = asyncio.create_task(self.stop_node())
        await asyncio.sleep(0)
        self.assertEqual(await self.readiness(), 503)
        status, headers, _ = await self.fetch("GET", "/r/x")
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        self.assertEqual(await idle.read(), b"")
        self.assertFalse(streaming.done())
        writer.close()
        _, _, body = await streaming
        self.assertEqual(len(event_numbers(body)), 100)
        await stopping
        with self.assertRaises(aiohttp.ClientConnectionError):
            await self.fetch("GET", "/r/x")
