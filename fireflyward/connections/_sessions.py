"""HTTP sessions: one reuses connections, the other opens one for each request."""

import socket

import aiohttp

from ._bodies import UNENCODED

_MAX_CONNECTIONS = 2_000
# A network device between two hosts may drop the state of an idle connection without
# notice. A connection that was idle for longer than this is closed instead of reused,
# so that few requests are lost on such connections.
_MAX_IDLE_S = 4.0
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_USER_TIMEOUT_MS = 3_000


class Sessions:
    """Owns both sessions of a process.

    ``pooled`` is for idempotent requests: if the network dropped the connection, such
    a request waits for one silence limit and is retried. ``fresh`` opens a new
    connection for each request. It is for non-idempotent requests, and for probes
    whether a silent peer still runs, which a pooled connection couldn't decide.
    """

    __slots__ = ("fresh", "pooled")

    def __init__(self) -> None:
        self.pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_MAX_CONNECTIONS,
                keepalive_timeout=_MAX_IDLE_S,
                socket_factory=make_socket,
            ),
            headers=UNENCODED,
        )
        self.fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_MAX_CONNECTIONS, force_close=True, socket_factory=make_socket
            ),
            headers=UNENCODED,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self.pooled.close()
        await self.fresh.close()


def make_socket(address: tuple) -> socket.socket:
    """Return a socket that detects a lost connection within about 3 s.

    The user timeout also decides when the keepalive probes give up.

    The peer's kernel answers keepalive probes however slow its process is, so the
    probes distinguish a lost path from slow work. They can't detect a relay that
    answers them but forwards nothing; ``SilenceLimits`` and the time limit of each
    call cover that case.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    return sock
