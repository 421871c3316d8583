"""What a connection makes of whole, cut, crossed and foreign bytes."""

import asyncio
import socket
import struct
import unittest

from fireflyward.clock import Clock
from fireflyward.http1 import (
    BodyPart,
    Broken,
    BrokenAt,
    ConnectionPool,
    End,
    Head,
    NotConnected,
)

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def address_of(server):
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Bytes:
    """A server that writes given bytes for each request it reads."""

    def __init__(self, *answers, reset=False, late=b"", keep=True):
        self.answers = list(answers)
        self.reset = reset
        self.late = late
        self.keep = keep
        self.connections = 0
        self.read = []
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return address_of(self.server)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.tasks.append(asyncio.current_task())
        try:
            await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        while self.answers:
            self.read.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answers.pop(0))
            await writer.drain()
            if self.late:
                await asyncio.sleep(0.02)
                writer.write(self.late)
            if not self.keep:
                break
        if self.reset:
            await asyncio.sleep(0.05)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    async def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class ConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pool = ConnectionPool(Clock())

    async def asyncTearDown(self):
        self.pool.close()
        await self.server.stop()

    async def exchange(self, address):
        connection = await self.pool.acquire(address, connect_ms=1_000)
        connection.send("GET", "/x", [("Host", "h")])
        events = []
        while not events or not isinstance(events[-1], End | Broken):
            events.append(await connection.next_event())
        self.pool.release(connection)
        return events

    async def serve(self, *answers, **options):
        self.server = Bytes(*answers, **options)
        return await self.server.start()

    async def test_whole_answer_with_length(self):
        address = await self.serve(b"HTTP/1.1 200 Fine\r\nContent-Length: 2\r\n\r\nab")
        head, body, end = await self.exchange(address)
        self.assertEqual((head.status, head.reason), (200, "Fine"))
        self.assertEqual(body, BodyPart(b"ab"))
        self.assertEqual(end, End())

    async def test_second_request_takes_the_same_connection(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        address = await self.serve(answer, answer)
        await self.exchange(address)
        await self.exchange(address)
        self.assertEqual(self.server.connections, 1)

    async def test_chunked_answer_that_is_cut_is_broken(self):
        address = await self.serve(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            keep=False,
        )
        events = await self.exchange(address)
        self.assertIsInstance(events[0], Head)
        self.assertEqual(events[-1].at, BrokenAt.HEAD)

    async def test_unframed_answer_ends_with_a_clean_close(self):
        address = await self.serve(b"HTTP/1.1 200 OK\r\n\r\nabc", keep=False)
        events = await self.exchange(address)
        self.assertEqual(events[1:], [BodyPart(b"abc"), End()])

    async def test_unframed_answer_that_is_reset_is_broken(self):
        """Symptom: a caller gets half of an answer as a whole one.

        A replica without a length in its answer crashes midway; a reset must not
        pass for the end that a clean close marks.
        """
        address = await self.serve(
            b"HTTP/1.1 200 OK\r\n\r\nabc", keep=False, reset=True
        )
        events = await self.exchange(address)
        self.assertIsInstance(events[-1], Broken)

    async def test_no_answer_is_broken_as_sent(self):
        address = await self.serve(b"", keep=False)
        (event,) = await self.exchange(address)
        self.assertEqual(event.at, BrokenAt.SENT)

    async def test_bytes_that_are_no_http_are_broken(self):
        address = await self.serve(b"\x00\x01garbage\r\n\r\n")
        events = await self.exchange(address)
        self.assertIsInstance(events[-1], Broken)

    async def test_second_answer_to_one_request_reaches_nobody(self):
        """Symptom: a caller gets an answer to a request that was never its own.

        A replica sends another answer after a whole one, onto a connection that
        lies idle by then. The next request on it would take those bytes.
        """
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        address = await self.serve(answer + b"a", answer + b"b", late=answer + b"x")
        await self.exchange(address)
        await asyncio.sleep(0.1)
        _, body, _ = await self.exchange(address)
        self.assertEqual(body, BodyPart(b"b"))
        self.assertEqual(self.server.connections, 2)

    async def test_answer_in_one_piece_with_another_reaches_nobody(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        address = await self.serve(answer + b"a" + answer + b"x", answer + b"b")
        await self.exchange(address)
        _, body, _ = await self.exchange(address)
        self.assertEqual(body, BodyPart(b"b"))

    async def test_connection_close_is_obeyed(self):
        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        address = await self.serve(answer, answer)
        await self.exchange(address)
        await self.exchange(address)
        self.assertEqual(self.server.connections, 2)

    async def test_interim_answer_is_passed_over(self):
        address = await self.serve(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        )
        events = await self.exchange(address)
        self.assertEqual(events[0].status, 200)


class PoolTests(unittest.IsolatedAsyncioTestCase):
    async def test_nobody_listens(self):
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = address_of(server)
        server.close()
        await server.wait_closed()
        pool = ConnectionPool(Clock())
        result = await pool.acquire(address, connect_ms=500)
        self.assertIsInstance(result, NotConnected)

    async def test_connection_older_than_its_keep_alive_is_not_used(self):
        """Symptom: a request that may run once fails although replicas are well.

        The replica closes an idle connection just as a request goes out on it.
        """
        answer = (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
        )
        server = Bytes(answer, answer)
        address = await server.start()
        clock = _Steps()
        pool = ConnectionPool(clock)
        for advance_ms in (0, 700):
            clock.ms += advance_ms
            connection = await pool.acquire(address, connect_ms=500)
            connection.send("GET", "/", [("Host", "h")])
            while not isinstance(await connection.next_event(), End):
                pass
            pool.release(connection)
        self.assertEqual(server.connections, 2)
        pool.close()
        await server.stop()


class _Steps(Clock):
    ms = 0

    def now_ms(self):
        return self.ms
