"""HTTP connections that others open to this process, with bounds on what they hold.

A client is free to send anything: heads without end, requests ahead of their turn,
bytes that are no HTTP. Until a request is admitted, nothing else accounts for it. This
package passes one head at a time to the HTTP library, and only when it is complete, so
that what a connection holds before, between and behind its requests is counted in one
account and waited for by one clock.

    server = InboundServer(handle, clock=clock, limits=lambda: Limits(), memory=memory)
    await loop.create_server(server, host, port)
    await server.run()
"""

from ._connection import InboundConnection, connection_of, has_queued_request
from ._descriptors import usable_descriptors
from ._framing import BodyFraming, Head, HeadBuffer, Refusal
from ._listener import open_listener, widen_receive_window
from ._memory import ConnectionMemory
from ._runner import InboundAppRunner
from ._server import (
    IDLE_CONNECTION_BYTES,
    InboundServer,
    RefusedConnection,
    run_checks,
)

__all__ = [
    "IDLE_CONNECTION_BYTES",
    "BodyFraming",
    "ConnectionMemory",
    "Head",
    "HeadBuffer",
    "InboundAppRunner",
    "InboundConnection",
    "InboundServer",
    "Refusal",
    "RefusedConnection",
    "connection_of",
    "has_queued_request",
    "open_listener",
    "run_checks",
    "usable_descriptors",
    "widen_receive_window",
]
