"""Responses that break off, for the tests of both HTTP clients."""

from tests.platform_standins import RawServer, reset

_OK = b"HTTP/1.1 200 OK\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

# Responses whose end is declared: any cut of one is incomplete.
WHOLE_RESPONSES = {
    "length": _OK + b"Content-Length: 4\r\n\r\nbody",
    "length, then close": _OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nab",
    "no reason": b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "interim": _INTERIM + _OK + b"Content-Length: 2\r\n\r\nab",
    "chunks": _OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "chunk extension": _OK
    + b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n",
    "trailer": _OK + b"Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX-A: b\r\n\r\n",
    "no chunk": _OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks of HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n0\r\n\r\n",
}
# Responses that end with their connection, and whose end cannot be determined.
ENDLESS_CODINGS = {
    "chunks in a second header": _OK + b"Transfer-Encoding: gzip\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
    "blank after the coding": _OK + b"Transfer-Encoding: chunked \r\n\r\n5\r\nab",
    "chunks are not last": _OK + b"Transfer-Encoding: chunked, x\r\n\r\n5\r\nab",
    "parameter of chunks": _OK + b"Transfer-Encoding: chunked;a=b\r\n\r\n5\r\nab",
    "name that ends as chunks": _OK + b"Transfer-Encoding: xchunked\r\n\r\n5\r\nab",
    "folded coding": _OK + b"Transfer-Encoding: gzip,\r\n chunked\r\n\r\n5\r\nab",
    "compressed": _OK + b"Transfer-Encoding: gzip\r\n\r\nab",
    "compressed, whole": _OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n"
    b"2\r\nab\r\n0\r\n\r\n",
    "identity": _OK + b"Transfer-Encoding: identity\r\n\r\nab",
}
# A head that was cut off, followed by another response.
_OTHER = b"HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"
MERGED_HEADS = {
    "in a value": _OK + b"X-Request-Id: q1\r\nX-Server-Seal: 3e1b" + _OTHER,
    "before a value": _OK + b"X-Request-Id: q1\r\nX-Server-Seal:" + _OTHER,
    "in a name": _OK + b"X-Request-Id: q1\r\nX-Ser" + _OTHER,
    "between headers": _OK + b"X-Request-Id: q1\r\n" + _OTHER,
    "in a length": _OK + b"X-Request-Id: q1\r\nContent-Length: 3" + _OTHER,
    "in the reason": b"HTTP/1.1 200 O" + _OTHER,
    "in the status": b"HTTP/1.1 20" + _OTHER,
    "without a reason": _OK
    + b"X-Request-Id: qHTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
}
# No status of a final response; callers could not read it.
ODD_STATUSES = {
    "below 100": b"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nab",
    "zero": b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
    "other protocol": b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
CONFLICTING_LENGTHS = {
    "length and chunks": _OK
    + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n0\r\n\r\n",
    "chunks and length": _OK
    + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
    b"2\r\nab\r\n0\r\n\r\n",
    "two lengths": _OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "list of lengths": _OK + b"Content-Length: 2, 3\r\n\r\nabc",
    "signed length": _OK + b"Content-Length: +2\r\n\r\nab",
    "no length": _OK + b"Content-Length:\r\n\r\nab",
}


class CutServer(RawServer):
    """Writes ``data`` to each request and ends the connection, in order or not."""

    def __init__(self):
        super().__init__()
        self.data = b""
        self.resets = False

    async def answer(self, request, writer):
        writer.write(self.data)
        await writer.drain()
        if self.resets:
            reset(writer)
        return False


def cuts(whole):
    """Return each proper prefix of a response."""
    return [whole[:size] for size in range(len(whole))]
