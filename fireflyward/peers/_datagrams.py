"""Reads the datagrams of a socket, and tells which of them may have waited there."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

Address = tuple[str, int]
# The handlers of these run before more are read; their number is limited.
_MAX_READ_AT_ONCE = 100
_MAX_BYTES = 1 << 16


class DatagramReader(asyncio.DatagramProtocol):
    """Passes on each datagram, and whether it may have waited in the socket.

    ``has_backlog`` returns whether what is read now may have arrived while this process
    did not run. The event loop reads one datagram in each iteration, and iterations are
    long after a standstill. Therefore all that wait then are read at once, and what
    arrives later is not counted among them.
    """

    def __init__(
        self,
        on_datagram: Callable[[bytes, Address, bool], None],
        has_backlog: Callable[[], bool],
    ) -> None:
        self._on_datagram = on_datagram
        self._has_backlog = has_backlog
        self._socket: socket.socket | None = None

    def connection_made(self, transport: Any) -> None:
        self._socket = transport.get_extra_info("socket").dup()

    def connection_lost(self, error: Exception | None) -> None:
        if self._socket is not None:
            self._socket.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        has_waited = self._has_backlog()
        self._on_datagram(data, addr, has_waited)
        if has_waited:
            self._read_backlog()

    def _read_backlog(self) -> None:
        for _ in range(_MAX_READ_AT_ONCE):
            try:
                data, address = self._socket.recvfrom(_MAX_BYTES)
            except OSError:
                # Nothing is left, or the event loop reports the error.
                return
            self._on_datagram(data, address, True)
