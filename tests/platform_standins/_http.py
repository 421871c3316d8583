"""An HTTP server whose answers are written as raw bytes."""

import asyncio
import json
import socket
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit


@dataclass
class RawRequest:
    """One request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)
    path: str = ""
    reader: asyncio.StreamReader | None = None
    arrived_s: float = 0.0

    async def wait_for_disconnect(self):
        """Wait until the caller has closed the connection."""
        while not self.reader.at_eof():
            await asyncio.sleep(0.01)

    def json(self):
        return json.loads(self.body)


class RawServer:
    """Reads requests and calls ``answer``, which writes the response.

    If ``answer`` returns False, the server closes the connection.
    """

    def __init__(self):
        self.address = ""
        self.requests = []
        self.connections = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self):
        """Close the listener and abort every connection, like a killed process."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def answer(self, request, writer):
        """Write the response to a request; each stand-in overrides this."""

    async def answer_before_body(self, request, writer):
        """Return whether a request was answered before its body is read."""
        return False

    def on_late_body(self, request):
        """Handle a request whose body was read after its answer."""

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await _read_head(reader)) is not None:
                is_answered = await self.answer_before_body(request, writer)
                size = int(request.headers.get("content-length", 0))
                request.body = await reader.readexactly(size)
                self.requests.append(request)
                if is_answered:
                    self.on_late_body(request)
                elif await self.answer(request, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


def reset(writer):
    """Close a connection with a TCP reset instead of a clean shutdown."""
    raw = writer.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


def response(status, body=b"", headers=(), reason="X"):
    """Return the bytes of a response that has a Content-Length header."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape") + body


def json_response(value, status=200, headers=()):
    body = json.dumps(value).encode()
    all_headers = [("Content-Type", "application/json"), *headers]
    return response(status, body, all_headers)


async def _read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("utf-8", "surrogateescape").rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    parts = urlsplit(target)
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    now_s = asyncio.get_running_loop().time()
    return RawRequest(method, target, headers, b"", query, parts.path, reader, now_s)
