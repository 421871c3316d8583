"""The memory that the bodies of requests and responses use."""

import asyncio
import contextlib
import itertools
import unittest

from fireflyward.http1 import End, Head, HttpConnection, ReadMemory

# What a transport holds while its peer does not read: its high-water mark and a write.
_MAX_WRITE_BUFFER_BYTES = 256 << 10


class LargeRequestTests(unittest.IsolatedAsyncioTestCase):
    async def connect(self, serve):
        async def serve_and_abort(reader, writer):
            self.addCleanup(writer.transport.abort)
            await serve(reader, writer)

        server = await asyncio.start_server(serve_and_abort, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        transport, connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpConnection(f"127.0.0.1:{port}"), "127.0.0.1", port
        )
        self.addCleanup(connection.close)
        return transport, connection

    async def test_a_peer_that_does_not_read(self):
        """Guards against a copy of the body for each replica that it is sent to."""

        async def serve(reader, writer):
            writer.transport.pause_reading()

        transport, connection = await self.connect(serve)
        connection.send("POST", "/x", [("Host", "h")], b"x" * (32 << 20))
        self.assertLess(transport.get_write_buffer_size(), _MAX_WRITE_BUFFER_BYTES)

    async def test_a_large_body_arrives_whole(self):
        body = bytes(range(256)) * 20_000
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            received.set_result(await reader.readexactly(len(body)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        _, connection = await self.connect(serve)
        connection.send("POST", "/x", [("Host", "h")], body)
        self.assertIsInstance(await connection.next_event(), Head)
        self.assertIsInstance(await connection.next_event(), End)
        self.assertEqual(await received, body)
        self.assertTrue(connection.is_usable)

    async def test_a_response_before_the_end_of_the_request(self):
        """Guards against the rest of a body that is taken for the next request."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
            writer.transport.pause_reading()

        _, connection = await self.connect(serve)
        connection.send("POST", "/x", [("Host", "h")], b"x" * (32 << 20))
        self.assertEqual((await connection.next_event()).status, 413)
        self.assertIsInstance(await connection.next_event(), End)
        self.assertFalse(connection.is_usable)


class RequestMemoryTests(unittest.TestCase):
    def setUp(self):
        self.memory = ReadMemory(max_request_bytes=16 << 20)

    def fill(self, stack, body_bytes):
        """Admit requests of a size until one has no room; return their number."""
        for count in itertools.count():
            if not stack.enter_context(self.memory.request()).has_room_for(body_bytes):
                return count

    def test_small_bodies_have_room_beside_large_ones(self):
        """Guards against uploads that keep a node from all other requests."""
        with contextlib.ExitStack() as stack:
            self.assertEqual(self.fill(stack, 4 << 20), 2)
            self.assertGreater(self.fill(stack, 12_000), 100)
            self.assertLessEqual(self.memory.request_bytes, 16 << 20)
        self.assertEqual(self.memory.request_bytes, 0)

    def test_small_bodies_do_not_exceed_the_memory_either(self):
        with contextlib.ExitStack() as stack:
            self.fill(stack, 0)
            self.assertLessEqual(self.memory.request_bytes, 16 << 20)
        self.assertEqual(self.memory.refused_requests, 1)

    def test_a_request_that_fails_gives_its_memory_back(self):
        with self.assertRaises(ConnectionError):
            with self.memory.request() as request:
                self.assertTrue(request.has_room_for(1_000))
                self.assertTrue(request.has_room_for(900_000))
                self.assertGreater(self.memory.request_bytes, 900_000)
                raise ConnectionError
        self.assertEqual(self.memory.request_bytes, 0)

    def test_the_largest_body_has_room_in_an_idle_process(self):
        largest = self.memory.largest_request_bytes
        with self.memory.request() as request:
            self.assertTrue(request.has_room_for(largest))
            self.assertFalse(request.has_room_for(largest + 1))


class _Caller:
    address = "caller"
    closed = False

    def close(self):
        self.closed = True


class ResponseMemoryTests(unittest.TestCase):
    def test_the_largest_response_that_is_not_taken_is_given_up(self):
        """Guards against callers that do not read and hold a node's memory."""
        memory = ReadMemory(max_bytes=100)
        slow, other = _Caller(), _Caller()
        with memory.writing(slow, b"x" * 60), memory.writing(other, b"x" * 30):
            body = memory.begin(HttpConnection("a"))
            with self.assertLogs("fireflyward.http1", "WARNING"):
                self.assertTrue(memory.add(body, b"x" * 20))
            self.assertEqual((slow.closed, other.closed), (True, False))
            self.assertEqual(memory.used_bytes, 50)
            memory.end(body)
        self.assertEqual(memory.used_bytes, 0)
