"""HTTP/1.1 connections to replicas and stores, with nothing sent twice.

An HTTP client that sends a request again by itself, or that takes whatever bytes
lie on an idle connection for the next answer, breaks the promise that a request
runs once and that each caller gets its own answer. Here each request is written
to one connection once, and the caller learns how far it came.
"""

from ._connection import (
    BodyPart,
    Broken,
    BrokenAt,
    End,
    Head,
    HttpConnection,
)
from ._full_response import FullResponse, NoResponse, read_full_response
from ._pool import ConnectionPool, NotConnected

__all__ = [
    "BodyPart",
    "Broken",
    "BrokenAt",
    "ConnectionPool",
    "End",
    "Head",
    "HttpConnection",
    "NoResponse",
    "NotConnected",
    "FullResponse",
    "read_full_response",
]
