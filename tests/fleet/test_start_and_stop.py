"""A node's life over sockets: when it is ready, the store away, a planned stop."""

import asyncio
from unittest import mock

import aiohttp

from tests.platform_standins import StoreBehavior

from .node_fixtures import STREAM, NodeTestCase, event_numbers


class LifeTests(NodeTestCase):
    # Longer than two requests take on a busy machine, which come in between.
    noticed_ms = 1_500

    async def readiness(self):
        url = f"http://{self.node.readiness_address}/-/readyz"
        async with self.session.get(url) as response:
            return response.status

    async def idle_connection(self):
        """Return a connection on which one request was answered."""
        host, port = self.node.callers_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["GET /r/x HTTP/1.1", "Host: h.example", "X-Request-Id: idle"]
        lines += ["Authorization: Bearer key-1", "", ""]
        writer.write("\r\n".join(lines).encode())
        await reader.readuntil(b"answer of p-")
        await reader.readexactly(1)
        return reader, writer

    async def test_ready_only_with_a_configuration(self):
        await self.node.start()
        self.assertEqual(await self.readiness(), 503)
        status, headers, _ = await self.ask("GET", "/r/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.operator.configure()
        await self.until(lambda: self.node.is_ready)
        self.assertEqual(await self.readiness(), 200)

    async def test_a_request_that_comes_too_early_waits_for_the_configuration(self):
        """Symptom: after a loss of power callers were refused by node after node.

        Each listened before it had read its tables and refused what came, and with
        that callers had spent their one retry.
        """
        self.store.behavior = StoreBehavior.BUSY
        await self.node.start()
        # How long it waits at most is not what this is about.
        with mock.patch("fireflyward.fleet._start_gate._LONGEST_MS", 20_000):
            asked = asyncio.create_task(self.ask("POST", "/w/x", data=b"1"))
            await self.until(lambda: self.node._door.in_flight)
            self.assertFalse(self.node.is_ready)
            self.operator.configure()
            self.store.behavior = StoreBehavior.NORMAL
            status, _, _ = await asked
        self.assertEqual(status, 200)

    async def test_serving_goes_on_while_the_store_is_away(self):
        await self.start_ready()
        self.store.behavior = StoreBehavior.BUSY
        for _ in range(5):
            self.assertEqual((await self.ask("GET", "/r/x"))[0], 200)
            await asyncio.sleep(0.05)

    async def test_planned_stop_cuts_no_request(self):
        """Symptom: a planned restart loses requests.

        A stream runs when SIGTERM comes; another caller keeps an idle connection
        and uses it again. The stream ends whole, the idle connection is closed
        before anything is sent on it, and new connections find no listener.
        """
        await self.start_ready()
        for engine in self.engines:
            engine._pause_s, engine._events = 0.03, 100
        await self.ask("GET", "/r/x")
        streaming = asyncio.create_task(self.ask("POST", "/s/x", headers=STREAM))
        await self.until(lambda: self.runs(self.engines) == 1)
        idle, writer = await self.idle_connection()
        stopping = asyncio.create_task(self.stop_node())
        await asyncio.sleep(0)
        self.assertEqual(await self.readiness(), 503)
        status, headers, _ = await self.ask("GET", "/r/x")
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        self.assertEqual(await idle.read(), b"")
        self.assertFalse(streaming.done())
        writer.close()
        _, _, body = await streaming
        self.assertEqual(len(event_numbers(body)), 100)
        await stopping
        with self.assertRaises(aiohttp.ClientConnectionError):
            await self.ask("GET", "/r/x")
