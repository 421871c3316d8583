"""Opens the sockets of listeners, with bounds on what the kernel holds for them."""

import asyncio
import socket
from collections.abc import Callable

# Connections that may wait to be accepted.
_BACKLOG = 1_024
# How many connections are accepted in one turn of the event loop. A refused one has a
# descriptor until the next turn.
ACCEPTS_AT_ONCE = 64
# What the kernel may receive before this process reads, and what it takes of answers
# that it cannot send yet. Thousands of clients may fill both.
_RECEIVE_BYTES = 16_384
_UNSENT_BYTES = 16_384
# The same once the body of a request is read. A window of 64 KiB is the largest that
# was agreed upon when the connection was opened.
_BODY_RECEIVE_BYTES = 131_072
_BODY_WINDOW_BYTES = 65_535


def bind(host: str, port: int) -> socket.socket:
    """Return a socket that listens at an address; raise ``OSError``."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.create_server((host, port), family=family, backlog=_BACKLOG)
    raw.setblocking(False)
    return raw


def restore_backlog(raw: socket.socket) -> None:
    """Let as many connections wait as before an event loop began to accept them.

    The event loop has one number for both, those that wait and those that it accepts
    in one turn.
    """
    raw.listen(_BACKLOG)


def limit_buffers(raw: socket.socket) -> None:
    """Bound what the kernel holds for each connection that a socket will accept."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES)


async def open_listener(
    factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> asyncio.Server:
    """Accept HTTP connections at an address; raise ``OSError`` if it cannot be used."""
    # A stop that was requested during the start takes effect before.
    await asyncio.sleep(0)
    raw = bind(host, port)
    try:
        limit_buffers(raw)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(factory, sock=raw, backlog=ACCEPTS_AT_ONCE)
    except BaseException:
        raw.close()
        raise
    restore_backlog(raw)
    return server


def widen_receive_window(transport: asyncio.Transport) -> None:
    """Let the client of an accepted connection send more before this process reads."""
    raw = transport.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BODY_RECEIVE_BYTES)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, _BODY_WINDOW_BYTES)
