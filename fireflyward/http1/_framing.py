"""How the end of a response is marked, and heads that are no response's own."""

import enum
import re

from ._head import Head

_CHUNKED = "chunked"
# These have no body, whatever their headers say.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}(?: |$)")


class Framing(enum.Enum):
    """How the end of a response is marked.

    ``DECLARED`` is a length or chunks, or a response that has no body. The end of a
    ``CLOSE`` response is that of its connection, so one that was cut short may look
    complete. Where a body in an ``UNKNOWN`` coding ends cannot be determined.
    """

    DECLARED = "declared"
    CLOSE = "close"
    UNKNOWN = "unknown"


def framing_of(method: str, head: Head) -> Framing:
    """Return how the end of the response to a request with ``method`` is marked.

    >>> framing_of("GET", Head(200, "OK", (("transfer-encoding", "Chunked"),)))
    <Framing.DECLARED: 'declared'>
    >>> framing_of("GET", Head(200, "OK", ())), framing_of("HEAD", Head(200, "OK", ()))
    (<Framing.CLOSE: 'close'>, <Framing.DECLARED: 'declared'>)
    """
    if method == "HEAD" or head.status in _STATUSES_WITHOUT_BODY:
        return Framing.DECLARED
    codings = [value for name, value in head.headers if name == "transfer-encoding"]
    if codings:
        # The parsers do not read chunks if a tab follows the coding.
        is_chunked = [coding.strip(" ").lower() for coding in codings] == [_CHUNKED]
        return Framing.DECLARED if is_chunked else Framing.UNKNOWN
    if head.get("content-length") is not None:
        return Framing.DECLARED
    return Framing.CLOSE


def has_second_status_line(head: Head, *, except_text: str | None = None) -> bool:
    """Return whether a head was cut off and continues with that of another response.

    ``except_text`` is a whole value that the head may have.

    >>> has_second_status_line(Head(200, "OK", (("x-a", "1HTTP/1.1 503 Full"),)))
    True
    """
    texts = (head.reason, *(value for _, value in head.headers))
    return any(
        "HTTP/1." in text and text != except_text and _STATUS_LINE.search(text)
        for text in texts
    )
