"""Stand-in for a replica in trouble, whose responses have no end."""

import asyncio

from ._replica import SIGNATURE, ReplicaStandIn

_PIECE_BYTES = 65_536
_OK = "HTTP/1.1 200 OK\r\n"
_OWN = _OK + "{own}"
_CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


class Endless:
    """A kind of response without end: what comes first, and what is repeated.

    ``is_stream`` kinds are events of a stream.
    """

    def __init__(self, name, first, repeated, *, is_stream=False):
        self.name = name
        self.first = first
        self.repeated = repeated
        self.is_stream = is_stream

    def __repr__(self):
        return self.name


# ``{own}`` stands for the headers that make a response one of this replica.
ENDLESS = (
    Endless("status line", "HTTP/1.1 200 ", b"x"),
    Endless("header value", f"{_OK}X-Long: ", b"x"),
    Endless("header name", _OK, b"x"),
    Endless("headers", _OK, b"X-Short: 1\r\n"),
    Endless("empty headers", _OK, b"a:\r\n"),
    Endless("interim responses", "", b"HTTP/1.1 102 Processing\r\n\r\n"),
    Endless("chunk extension", f"{_OWN}{_CHUNKED}1;", b"x"),
    Endless("chunk extensions", f"{_OWN}{_CHUNKED}", b"1;" + b"e" * 99 + b"\r\nx\r\n"),
    Endless("chunk size", f"{_OWN}{_CHUNKED}", b"0"),
    Endless("trailers", f"{_OWN}{_CHUNKED}0\r\n", b"X-Short: 1\r\n"),
    Endless("chunks of a byte", f"{_OWN}{_CHUNKED}", b"1\r\nx\r\n"),
    Endless("chunks", f"{_OWN}{_CHUNKED}", b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    Endless("unframed body", f"{_OWN}\r\n", b"x"),
    Endless("declared length", f"{_OWN}Content-Length: 999999999999\r\n\r\n", b"x"),
    Endless(
        "body of a failure",
        f"HTTP/1.1 500 X\r\n{{own}}{_CHUNKED}",
        b"400\r\n" + b"x" * 1_024 + b"\r\n",
    ),
    Endless(
        "body of a rejection",
        f"HTTP/1.1 503 X\r\n{{own}}X-Not-Executed: 1\r\n{_CHUNKED}",
        b"400\r\n" + b"x" * 1_024 + b"\r\n",
    ),
    Endless("event", f"{_OWN}\r\ndata: ", b"x", is_stream=True),
    Endless("events", f"{_OWN}\r\n", b"data: x\n\n", is_stream=True),
    Endless("empty events", f"{_OWN}\r\n", b"\n\n", is_stream=True),
    Endless("repeated events", f"{_OWN}\r\n", b"id: 1\ndata: x\n\n", is_stream=True),
)


class EndlessReplica(ReplicaStandIn):
    """Answers each request without end, until the connection is closed.

    ``sent_bytes`` has the bytes that were sent on each connection, ``open`` the number
    of responses that go on.
    """

    def __init__(self, incarnation, *, model=None):
        super().__init__(incarnation, model=model)
        self.kind = ENDLESS[0]
        self.sent_bytes = []
        self.open = 0

    async def _execute(self, request, writer):
        self.executed_requests.append(request)
        own = [("X-Request-Id", request.headers["x-request-id"]), SIGNATURE]
        lines = "".join(f"{name}: {value}\r\n" for name, value in own)
        await self.send_endlessly(writer, self.kind, lines)
        return False

    async def send_endlessly(self, writer, kind, own_lines=""):
        """Send bytes of a kind until the connection is closed."""
        first = kind.first.replace("{own}", own_lines).encode()
        piece = kind.repeated * (_PIECE_BYTES // len(kind.repeated))
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        self.open += 1
        try:
            writer.write(first)
            while True:
                writer.write(piece)
                await writer.drain()
                self.sent_bytes[number] += len(piece)
                # ``drain`` does not yield to other tasks while the peer reads.
                await asyncio.sleep(0)
        except ConnectionError:
            writer.transport.abort()
        finally:
            self.open -= 1
