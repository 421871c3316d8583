"""Callers that break off in the middle of a request's body."""

import asyncio
import socket
import struct

from .node_fixtures import NodeTestCase

_LIMIT_S = 20
_HEAD = (
    "POST /w/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
    "X-Request-Id: {}\r\n{}\r\n\r\n"
)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REQUESTS = {
    "length": ("Content-Length: 6", b"whole!"),
    "chunks": ("Transfer-Encoding: chunked", b"3\r\nwho\r\n3\r\nle!\r\n0\r\n\r\n"),
    "trailer": ("Transfer-Encoding: chunked", b"3\r\nwho\r\n0\r\nX-A: b\r\n\r\n"),
}


class CutRequestTests(NodeTestCase):
    async def send(self, name, field, body, end):
        """Send a request, end the connection, and read what is answered."""
        host, port = self.node.callers_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_HEAD.format(name, field).encode() + body)
        await writer.drain()
        if end == "half close":
            writer.write_eof()
        elif end == "reset":
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        if end != "half close":
            writer.close()
        async with asyncio.timeout(_LIMIT_S):
            try:
                return await reader.read()
            except ConnectionError:
                return b""
            finally:
                writer.close()

    async def test_no_replica_gets_a_part_of_a_body(self):
        """Guards against a replica that runs a request with half of its body."""
        await self.start_ready()
        for kind, (field, body) in _REQUESTS.items():
            for size in range(len(body)):
                for end in ("half close", "close", "reset"):
                    with self.subTest(kind, size=size, end=end):
                        await self.send("cut", field, body[:size], end)
        status, _, _ = await self.fetch("POST", "/w/x", data=b"whole!")
        self.assertEqual(status, 200)
        async with asyncio.timeout(_LIMIT_S):
            while self.node._caller_server.in_flight:
                await asyncio.sleep(0.01)
        executed = [item for each in self.plain for item in each.executed_requests]
        self.assertEqual([request.body for request in executed], [b"whole!"])
