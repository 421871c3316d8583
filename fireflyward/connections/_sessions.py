"""HTTP sessions: one that pools its connections, one that never does."""

import socket

import aiohttp

_CONNECTIONS = 2_000
# Something between two ends may forget a connection. An idle one that is older
# than this is closed and not used, so that few requests are written into the void.
_POOLED_LIMIT_S = 4.0
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000


class Sessions:
    """Owns both sessions of a process.

    ``pooled`` is for what may be repeated: a connection that was forgotten costs
    it one silence and a retry. ``fresh`` opens a new connection for each request:
    for what may not be repeated, and for every question whether something that
    fell silent still lives, which a pooled connection could not answer.
    """

    __slots__ = ("fresh", "pooled")

    def __init__(self) -> None:
        self.pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_CONNECTIONS,
                keepalive_timeout=_POOLED_LIMIT_S,
                socket_factory=make_socket,
            )
        )
        self.fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_CONNECTIONS, force_close=True, socket_factory=make_socket
            )
        )

    async def close(self) -> None:
        """Close every connection."""
        await self.pooled.close()
        await self.fresh.close()


def make_socket(address: tuple) -> socket.socket:
    """Return a socket whose kernel finds out within about 3 s that it is forgotten.

    The kernel's probes are answered by the other kernel however slow the process
    behind it is, so they tell a lost path from slow work. What they cannot see is
    a relay that answers them and passes nothing on; the limits of ``SilenceLimits``
    and of each call are for that.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    return sock
