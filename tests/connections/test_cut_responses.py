"""A response that breaks off does not look complete to the clients of the own door."""

import gzip
import unittest

import aiohttp

from fireflyward.backing import HttpObjects, HttpTable, Unavailable, Uncertain
from fireflyward.connections import Sessions, read_body
from fireflyward.kept import HttpStore, StoreUnavailable
from fireflyward.upstreams import BlockRef, Broken, HttpService, ServiceCall
from tests.http1.cut_responses import (
    CONFLICTING_LENGTHS,
    ENDLESS_CODINGS,
    MERGED_HEADS,
    ODD_STATUSES,
    WHOLE_RESPONSES,
    CutServer,
    cuts,
)

_MAX_BYTES = 1_000
_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf"


class CutResponseTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CutServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.sessions = Sessions()
        self.addAsyncCleanup(self.sessions.close)
        self.url = f"http://{self.server.address}"


class ReadBodyTests(CutResponseTestCase):
    async def read(self, data, *, resets=False, method="GET"):
        """Return the body, None if the response is incomplete or malformed."""
        self.server.data, self.server.resets = data, resets
        try:
            async with self.sessions.fresh.request(method, self.url) as response:
                return await read_body(response, max_bytes=_MAX_BYTES)
        except (aiohttp.ClientError, OSError):
            return None

    async def test_no_cut_of_a_response_with_a_declared_end_is_complete(self):
        """Guards against an upstream that stops and whose part passes for a reply."""
        for name, whole in WHOLE_RESPONSES.items():
            with self.subTest(name):
                self.assertIsNotNone(await self.read(whole))
                for data in cuts(whole):
                    for resets in (False, True):
                        self.assertIsNone(await self.read(data, resets=resets), data)

    async def test_a_response_that_ends_with_its_connection_is_incomplete(self):
        """Guards against half a reply: the library takes a reset for its end too."""
        for resets in (False, True):
            self.assertIsNone(await self.read(_UNFRAMED, resets=resets))

    async def test_a_body_in_an_unknown_coding_is_incomplete(self):
        for name, data in ENDLESS_CODINGS.items():
            with self.subTest(name):
                self.assertIsNone(await self.read(data))

    async def test_a_head_that_continues_with_another_response_is_malformed(self):
        """Guards against a cut head that gets the length and body of another."""
        for name, data in MERGED_HEADS.items():
            with self.subTest(name):
                self.assertIsNone(await self.read(data))

    async def test_conflicting_lengths_are_malformed(self):
        for name, data in CONFLICTING_LENGTHS.items():
            with self.subTest(name):
                self.assertIsNone(await self.read(data))

    async def test_a_compressed_body_that_was_not_requested_is_malformed(self):
        """Guards against a part of a body: aiohttp takes cut gzip data for whole."""
        data = gzip.compress(b"a clause. " * 20, mtime=0)
        for encoded in (data[:-12], data):
            head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d"
            response = head % len(encoded) + b"\r\n\r\n" + encoded
            self.assertIsNone(await self.read(response))
            request = self.server.requests[-1]
            self.assertEqual(request.headers["accept-encoding"], "identity")

    async def test_a_status_of_no_final_response_is_malformed(self):
        """Guards against a caller that receives bytes that are no response."""
        for name, data in ODD_STATUSES.items():
            with self.subTest(name):
                self.assertIsNone(await self.read(data))

    async def test_responses_without_a_body_are_complete(self):
        for status in (204, 304):
            data = b"HTTP/1.1 %d X\r\n\r\n" % status
            self.assertEqual(await self.read(data), b"")
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        self.assertEqual(await self.read(data, method="HEAD"), b"")


class ClientTests(CutResponseTestCase):
    async def test_no_client_takes_half_a_response(self):
        """Guards against half a reply, half an object and half a KV cache block."""
        session = self.sessions.pooled
        service = HttpService(session, self.url)
        objects, table = HttpObjects(session, self.url), HttpTable(session, self.url)
        store = HttpStore(session, "s", self.url)
        block = BlockRef("k", "s", 1, 1)
        self.server.data = _UNFRAMED
        for resets in (False, True):
            self.server.resets = resets
            reply = await service.call(ServiceCall("POST", "/x"))
            self.assertIsInstance(reply, Broken)
            self.assertTrue(reply.may_have_run)
            self.assertIsInstance(await objects.get("o"), Unavailable)
            self.assertIsInstance(await objects.put("o", b""), Uncertain)
            self.assertIsInstance(await table.get("k"), Unavailable)
            self.assertIsInstance(await store.read(block), StoreUnavailable)
