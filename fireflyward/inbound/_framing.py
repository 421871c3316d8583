"""Finds where heads and bodies of requests end, before they are parsed; no I/O."""

import enum
import re
from dataclasses import dataclass

# RFC 9112, 2.2: at least one empty line before a request is to be ignored.
_MAX_EMPTY_BYTES = 256
_EMPTY_LINES = b"\r\n"
_HEAD_END = b"\r\n\r\n"
# Ends that the parser rejects. Waiting for a valid end would only delay that.
_OTHER_HEAD_ENDS = (b"\n\n", b"\n\r\n")
# Each field of a parsed head is two pairs of objects, whatever its size.
_PARSED_FIELD_BYTES = 512
_PARSED_BYTE_FACTOR = 3
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class Refusal(enum.Enum):
    """Why a connection is refused before a request was read; with the HTTP status.

    None of the requests concerned has been passed on.
    """

    BAD_REQUEST = (400, "Bad Request")
    TIMEOUT = (408, "Request Timeout")
    TOO_LARGE = (431, "Request Header Fields Too Large")
    NO_MEMORY = (503, "Service Unavailable")

    def __init__(self, status: int, phrase: str) -> None:
        self.status = status
        self.phrase = phrase

    @property
    def label(self) -> str:
        """Return the name for logs and metrics."""
        return self.name.lower()


@dataclass(frozen=True, slots=True)
class Head:
    """The bytes of a complete head, with the memory that it takes when it is parsed."""

    data: bytes
    parsed_bytes: int


class HeadBuffer:
    """Collects the bytes of a connection until a head is complete.

    Empty lines before a head are dropped. What follows a head stays here.

    >>> buffer = HeadBuffer()
    >>> buffer.data += b"GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\nGET"
    >>> buffer.take_head(max_bytes=100).data
    b'GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n'
    >>> buffer.take_head(max_bytes=100), bytes(buffer.data)
    (None, b'GET')
    """

    __slots__ = ("_empty_bytes", "_searched", "data")

    def __init__(self) -> None:
        self.data = bytearray()
        self._searched = 0
        self._empty_bytes = 0

    def take_head(self, max_bytes: int) -> Head | Refusal | None:
        """Return the next head, None if it is not complete, or why it is refused.

        ``max_bytes`` bounds the request line and the fields with their line ends.
        """
        if not self._drop_empty_lines():
            return Refusal.BAD_REQUEST
        end = self._find_end()
        size = len(self.data) if end is None else end - len(_LINE_END)
        if size > max_bytes:
            return Refusal.TOO_LARGE
        if end is None:
            return None
        data = bytes(memoryview(self.data)[:end])
        del self.data[:end]
        self._searched = self._empty_bytes = 0
        fields = data.count(b"\n") * _PARSED_FIELD_BYTES
        return Head(data, fields + _PARSED_BYTE_FACTOR * len(data))

    def _drop_empty_lines(self) -> bool:
        """Return False if there have been too many."""
        if not self.data or self.data[0] not in _EMPTY_LINES:
            return True
        before = len(self.data)
        self.data = self.data.lstrip(_EMPTY_LINES)
        self._empty_bytes += before - len(self.data)
        self._searched = 0
        return self._empty_bytes <= _MAX_EMPTY_BYTES

    def _find_end(self) -> int | None:
        begin = max(0, self._searched - len(_HEAD_END))
        found = self.data.find(_HEAD_END, begin)
        if found >= 0:
            return found + len(_HEAD_END)
        for other in _OTHER_HEAD_ENDS:
            found = self.data.find(other, begin)
            if found >= 0:
                return found + len(other)
        self._searched = len(self.data)
        return None


class BodyFraming:
    """Finds the end of one body, which has a declared length or is in chunks.

    Chunks that arrive together are merged, since the parser's work grows with their
    number. Extensions and trailers are dropped: nobody uses them, and the parser holds
    them in memory.

    >>> body = BodyFraming(length=None)
    >>> data = bytearray(b"1;x=y\\r\\na\\r\\n1\\r\\nb\\r\\n0\\r\\nt: u\\r\\n\\r\\nGET")
    >>> body.take(data, max_line_bytes=100), body.has_ended, bytes(data)
    (b'2\\r\\nab\\r\\n0\\r\\n\\r\\n', True, b'GET')
    """

    __slots__ = ("_in_trailers", "_is_chunked", "_left", "_line_end_due", "has_ended")

    def __init__(self, length: int | None) -> None:
        """``length`` is the declared length in bytes, or None for chunks."""
        self._is_chunked = length is None
        self._left = length or 0
        self._line_end_due = False
        self._in_trailers = False
        self.has_ended = length == 0

    @property
    def is_chunked(self) -> bool:
        """Return whether the body has no declared length."""
        return self._is_chunked

    def take(self, data: bytearray, max_line_bytes: int) -> bytes | Refusal:
        """Remove what belongs to the body from ``data``; return it for the parser.

        ``max_line_bytes`` bounds the line before a chunk, and all trailers together.
        After a refusal the rest of the body cannot be read.
        """
        if self._is_chunked:
            return self._take_chunks(data, max_line_bytes)
        part = bytes(memoryview(data)[: self._left])
        del data[: self._left]
        self._left -= len(part)
        self.has_ended = not self._left
        return part

    def _take_chunks(self, data: bytearray, max_line_bytes: int) -> bytes | Refusal:
        parts: list[bytes] = []
        position = 0
        while position < len(data):
            if self._left:
                part = bytes(memoryview(data)[position : position + self._left])
                parts.append(part)
                position += len(part)
                self._left -= len(part)
                self._line_end_due = not self._left
            elif self._line_end_due:
                line_end = data[position : position + len(_LINE_END)]
                if line_end == _LINE_END[:1]:
                    break
                if line_end != _LINE_END:
                    return Refusal.BAD_REQUEST
                position += len(_LINE_END)
                self._line_end_due = False
            elif self._in_trailers:
                end = _end_of_trailers(data, position)
                if end is not None:
                    position, self.has_ended = end, True
                break
            else:
                size = _CHUNK_SIZE.match(data, position)
                if size is None:
                    if data.find(b"\n", position) >= 0:
                        return Refusal.BAD_REQUEST
                    break
                position = size.end()
                self._left = int(size[1], 16)
                self._in_trailers = not self._left
        del data[:position]
        if not self.has_ended and not self._left and len(data) > max_line_bytes:
            return Refusal.TOO_LARGE
        body = b"".join(parts)
        whole = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return whole + _LAST_CHUNK if self.has_ended else whole


def _end_of_trailers(data: bytearray, position: int) -> int | None:
    if data.startswith(_LINE_END, position):
        return position + len(_LINE_END)
    found = data.find(_HEAD_END, position)
    return found + len(_HEAD_END) if found >= 0 else None
