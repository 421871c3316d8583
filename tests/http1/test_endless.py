"""Responses that have no end are given up within their bounds."""

import asyncio
import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import (
    MAX_HEAD_BYTES,
    ConnectionPool,
    FullResponse,
    HttpConnection,
    NoResponse,
    ReadMemory,
    read_full_response,
)
from tests.platform_standins import ENDLESS, EndlessReplica

from .test_connection import ScriptedServer

_LIMIT_MS = 20_000
_MAX_BYTES = 1 << 20
# What has been sent and not read when a connection is closed: the sockets' buffers and
# one read.
_IN_TRANSIT_BYTES = 10 << 20


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pool = ConnectionPool(Clock())
        self.addCleanup(self.pool.close)

    async def fetch(self, address, *, max_bytes=_MAX_BYTES, memory=None):
        connection = await self.pool.acquire(address, connect_ms=_LIMIT_MS)
        connection.send("GET", "/", [("Host", address), ("X-Request-Id", "q")])
        response = await read_full_response(
            connection,
            clock=Clock(),
            limit_ms=_LIMIT_MS,
            memory=memory or self.pool.memory,
            max_bytes=max_bytes,
        )
        return connection, response

    async def test_each_part_of_a_response_is_bounded(self):
        """Guards against a node that exceeds its memory by one response."""
        replica = EndlessReplica("r")
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        for kind in ENDLESS:
            with self.subTest(kind):
                replica.kind = kind
                with self.assertLogs("fireflyward.http1", "WARNING") as logs:
                    connection, response = await self.fetch(replica.address)
                self.assertIsInstance(response, NoResponse)
                self.assertIn("limit", logs.output[0])
                self.assertIn(str(replica.address), logs.output[0])
                self.assertLess(connection.received_bytes, 2 * _MAX_BYTES)
                async with asyncio.timeout(_LIMIT_MS / 1_000):
                    while replica.open:
                        await asyncio.sleep(0.01)
                self.assertLess(replica.sent_bytes[-1], _IN_TRANSIT_BYTES)
                self.assertEqual(self.pool.memory.used_bytes, 0)

    async def test_responses_up_to_the_bounds_are_whole(self):
        """Guards against a bound that rejects a response of an allowed size."""
        body = b"y" * _MAX_BYTES
        header = f"X-Long: {'z' * (MAX_HEAD_BYTES - 200)}\r\n"
        chunk = b"%x\r\n%b\r\n" % (_MAX_BYTES // 2, body[: _MAX_BYTES // 2])
        for data in (
            f"HTTP/1.1 200 OK\r\nContent-Length: {_MAX_BYTES}\r\n\r\n".encode() + body,
            f"HTTP/1.1 200 OK\r\n{header}".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + 2 * chunk
            + b"0\r\n\r\n",
        ):
            server = ScriptedServer(data)
            address = await server.start()
            self.addAsyncCleanup(server.stop)
            _, response = await self.fetch(address)
            self.assertEqual(response.body, body)

    async def test_a_body_over_the_limit_is_given_up(self):
        body = b"y" * (_MAX_BYTES + 1)
        server = ScriptedServer(b"HTTP/1.1 200 OK\r\n\r\n" + body, keep=False)
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        with self.assertLogs("fireflyward.http1", "WARNING"):
            _, response = await self.fetch(address)
        self.assertIsInstance(response, NoResponse)

    async def test_several_large_bodies_stay_within_the_memory(self):
        """Guards against many bodies that together exceed a process's memory."""
        replica = EndlessReplica("r")
        replica.kind = next(kind for kind in ENDLESS if kind.name == "unframed body")
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        server = ScriptedServer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        sound = await server.start()
        self.addAsyncCleanup(server.stop)
        memory = ReadMemory(max_bytes=_MAX_BYTES)
        used = []

        async def watch():
            while True:
                used.append(memory.used_bytes)
                await asyncio.sleep(0.001)

        watching = asyncio.create_task(watch())
        with self.assertLogs("fireflyward.http1", "WARNING"):
            results = await asyncio.gather(
                *(
                    self.fetch(replica.address, max_bytes=_MAX_BYTES, memory=memory)
                    for _ in range(10)
                ),
                self.fetch(sound, memory=memory),
            )
        watching.cancel()
        *endless, (_, answer) = results
        self.assertEqual(answer, FullResponse(200, b"ok", (("content-length", "2"),)))
        self.assertTrue(all(isinstance(each, NoResponse) for _, each in endless))
        self.assertLessEqual(max(used), _MAX_BYTES)
        self.assertEqual(memory.used_bytes, 0)

    async def test_the_largest_body_is_given_up(self):
        """Guards against small answers that are lost because of a large one."""
        memory = ReadMemory(max_bytes=100)
        small, large = map(memory.begin, (HttpConnection("a"), HttpConnection("b")))
        self.assertTrue(memory.add(large, b"x" * 90))
        with self.assertLogs("fireflyward.http1", "WARNING"):
            self.assertTrue(memory.add(small, b"x" * 20))
        self.assertFalse(memory.add(large, b"x"))
        self.assertEqual((memory.used_bytes, memory.given_up), (20, 1))
        memory.end(large)
        memory.end(small)
        self.assertEqual(memory.used_bytes, 0)
