"""HTTP/1.1 connections to replicas and stores, without automatic retries.

Two guarantees of this system are that a request runs once and that each caller gets
the response to its own request. An HTTP client breaks them if it retries a request
automatically, or if it treats stray bytes on an idle connection as the next response.
This client writes each request once, to one connection, and reports to the caller how
far the request got.
"""

from ._body import BodyTooLarge, read_body
from ._connection import (
    MAX_HEAD_BYTES,
    BodyPart,
    Broken,
    BrokenAt,
    End,
    HttpConnection,
    enable_dead_peer_detection,
)
from ._framing import Framing, framing_of, has_second_status_line
from ._full_response import FullResponse, NoResponse, read_full_response
from ._head import Head
from ._memory import MAX_BODY_BYTES, SMALL_REQUEST_BYTES, ReadMemory, RequestMemory
from ._pool import MAX_IDLE_MS, ConnectionPool, ConnectionUse, NotConnected

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_IDLE_MS",
    "SMALL_REQUEST_BYTES",
    "BodyPart",
    "BodyTooLarge",
    "Broken",
    "BrokenAt",
    "ConnectionPool",
    "ConnectionUse",
    "End",
    "Framing",
    "Head",
    "HttpConnection",
    "NoResponse",
    "NotConnected",
    "ReadMemory",
    "RequestMemory",
    "FullResponse",
    "enable_dead_peer_detection",
    "framing_of",
    "has_second_status_line",
    "read_body",
    "read_full_response",
]
