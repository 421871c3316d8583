"""A response that breaks off does not look complete."""

import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import BodyPart, Broken, BrokenAt, ConnectionPool, End, Head

from .cut_responses import (
    CONFLICTING_LENGTHS,
    ENDLESS_CODINGS,
    MERGED_HEADS,
    ODD_STATUSES,
    WHOLE_RESPONSES,
    CutServer,
    cuts,
)


class CutResponseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pool = ConnectionPool(Clock())
        self.addCleanup(self.pool.close)
        self.server = CutServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def exchange(self, data, *, resets=False, method="GET"):
        self.server.data, self.server.resets = data, resets
        connection = await self.pool.acquire(self.server.address, connect_ms=20_000)
        connection.send(method, "/x", [("Host", "h")])
        events = [await connection.next_event()]
        while not isinstance(events[-1], End | Broken):
            events.append(await connection.next_event())
        self.connection = connection
        self.pool.release(connection)
        return events

    async def test_no_cut_of_a_response_with_a_declared_end_is_complete(self):
        """Guards against a replica that stops and whose part passes for its answer."""
        for name, whole in WHOLE_RESPONSES.items():
            with self.subTest(name):
                self.assertIsInstance((await self.exchange(whole))[-1], End)
                for data in cuts(whole):
                    for resets in (False, True):
                        events = await self.exchange(data, resets=resets)
                        self.assertIsInstance(events[-1], Broken, (data, resets))

    async def test_a_body_in_an_unknown_coding_is_broken(self):
        """Guards against cut chunks that pass for a body that ends by a close."""
        tab = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\t\r\n\r\n5\r\nab"
        for name, data in {**ENDLESS_CODINGS, "tab after the coding": tab}.items():
            with self.subTest(name):
                events = await self.exchange(data)
                self.assertIsInstance(events[-1], Broken)

    async def test_a_head_that_continues_with_another_response_is_broken(self):
        """Guards against a cut head that gets the length and body of another."""
        for name, data in MERGED_HEADS.items():
            with self.subTest(name):
                (event,) = await self.exchange(data)
                self.assertIs(event.at, BrokenAt.SENT)

    async def test_conflicting_lengths_break_the_response(self):
        for name, data in CONFLICTING_LENGTHS.items():
            with self.subTest(name):
                events = await self.exchange(data)
                self.assertIsInstance(events[-1], Broken)

    async def test_a_status_of_no_final_response_breaks_it(self):
        """Guards against a caller that receives bytes that are no response."""
        for name, data in ODD_STATUSES.items():
            with self.subTest(name):
                (event,) = await self.exchange(data)
                self.assertIs(event.at, BrokenAt.SENT)

    async def test_a_switch_to_another_protocol_is_broken(self):
        data = b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nab"
        (event,) = await self.exchange(data)
        self.assertEqual(event.detail, "response switches to another protocol")

    async def test_bytes_beyond_the_length_are_not_delivered(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab"
        events = await self.exchange(data)
        self.assertEqual(events[1:], [BodyPart(b"a"), End()])
        self.assertTrue(self.connection.must_close)

    async def test_responses_without_a_body_are_complete_after_their_head(self):
        for status in (204, 304):
            events = await self.exchange(b"HTTP/1.1 %d X\r\n\r\n" % status)
            self.assertEqual(events[1:], [End()])
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        events = await self.exchange(data, method="HEAD")
        self.assertEqual([type(event) for event in events], [Head, End])
