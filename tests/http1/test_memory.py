"""The memory that a connection uses for the body of a request."""

import asyncio
import unittest

from fireflyward.http1 import End, Head, HttpConnection

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
