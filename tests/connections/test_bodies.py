"""Upstreams of the product's own door whose responses have no end."""

import asyncio
import unittest

import aiohttp

from fireflyward.backing import HttpTable, Unavailable
from fireflyward.connections import MAX_REPORT_BYTES, Sessions, read_body
from fireflyward.upstreams import (
    Broken,
    CancelState,
    EngineCall,
    HttpEngine,
    HttpService,
    ServiceCall,
)
from tests.platform_standins import ENDLESS, EndlessReplica

_LIMIT_S = 20
_BODIES = ("chunks", "unframed body", "declared length", "body of a failure")
_HEADERS = ("status line", "header value", "header name", "headers", "empty headers")
_IN_TRANSIT_BYTES = 10 << 20
_CALL = EngineCall("r1", "m", "v1", "beam 7?", 6)


class _Server(EndlessReplica):
    """Answers every path without end."""

    async def answer(self, request, writer):
        await self.send_endlessly(writer, self.kind)
        return False


class EndlessBodyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = _Server("s")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.sessions = Sessions()
        self.addAsyncCleanup(self.sessions.close)
        self.url = f"http://{self.server.address}"
        self.engine = HttpEngine(
            self.sessions.pooled, self.url, fresh=self.sessions.fresh
        )

    async def each_kind(self, call, names=_BODIES):
        """Return the results of a call; each connection is closed in time."""
        results = []
        for kind in ENDLESS:
            if kind.name in names:
                self.server.kind = kind
                with self.assertLogs("fireflyward.connections", "WARNING") as logs:
                    async with asyncio.timeout(_LIMIT_S):
                        results.append(await call())
                self.assertIn("limit", logs.output[0])
                async with asyncio.timeout(_LIMIT_S):
                    while self.server.open:
                        await asyncio.sleep(0.01)
        return results

    async def test_a_service(self):
        """Guards against a reply that takes all memory, and a repeated call."""
        service = HttpService(self.sessions.pooled, self.url, fresh=self.sessions.fresh)
        for result in await self.each_kind(
            lambda: service.call(ServiceCall("POST", "/x"))
        ):
            self.assertIsInstance(result, Broken)
            self.assertTrue(result.may_have_run)

    async def test_reports_of_an_engine(self):
        for result in await self.each_kind(self.engine.load):
            self.assertIsInstance(result, Broken)
        for result in await self.each_kind(lambda: self.engine.cancel("r1")):
            self.assertIs(result, CancelState.NO_ANSWER)

    async def test_headers(self):
        """Guards against headers that are collected until memory is used up."""
        for kind in ENDLESS:
            if kind.name in _HEADERS:
                with self.subTest(kind):
                    self.server.kind = kind
                    self.assertIsInstance(await self.engine.load(), Broken)
                    self.assertLess(self.server.sent_bytes[-1], _IN_TRANSIT_BYTES)

    async def test_a_line_of_a_stream(self):
        """Guards against a token stream that is collected until memory is used up."""

        async def run():
            return [event async for event in self.engine.generate(_CALL)]

        for events in await self.each_kind(run, ("event", "body of a failure")):
            self.assertIsInstance(events[-1], Broken)
            self.assertTrue(events[-1].may_have_run)

    async def test_the_table_service(self):
        table = HttpTable(self.sessions.pooled, self.url)
        for result in await self.each_kind(
            lambda: table.get("k"), ("unframed body", "declared length")
        ):
            self.assertIsInstance(result, Unavailable)

    async def test_a_body_of_the_largest_size_is_whole(self):
        body = b"y" * MAX_REPORT_BYTES
        size = len(body)
        length = b"Content-Length: %d\r\n\r\n" % size + body
        chunks = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        for framed in (length, chunks % (size, body)):
            with self.subTest(framed[:20]):
                self.assertEqual(await self.read_report(framed), body)

    async def read_report(self, framed):
        """Return the body of a response that declares its end."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + framed)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://127.0.0.1:{port}/") as response:
                return await read_body(response, max_bytes=MAX_REPORT_BYTES)
