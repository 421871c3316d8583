"""A pool of connections that stay open between requests, by address."""

import asyncio
from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from fireflyward.clock import Clock

from ._connection import HttpConnection
from ._memory import ReadMemory

# A connection that was idle for longer is not reused. A non-idempotent request fails if
# the peer closes the connection just as the request is sent. A peer may announce a
# shorter time, see ``_KEEP_ALIVE_FRACTION``.
MAX_IDLE_MS = 4_000
# The usable fraction of the idle timeout that the peer announces; the rest covers the
# network latency and a timer that fires late.
_KEEP_ALIVE_FRACTION = 0.6


@dataclass(slots=True)
class ConnectionUse:
    """How many connections to an address were opened, and how often one was reused.

    Attempts that failed count as opened.
    """

    opened: int = 0
    reused: int = 0


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be opened, so nothing was sent.

    ``is_refused`` means that the host is reachable but nothing listens on the port.
    """

    detail: str
    is_refused: bool = False


_NO_USE = ConnectionUse()


class ConnectionPool:
    """Reuses idle connections, the one that was used last first.

    connection = await pool.acquire("10.0.0.1:80", connect_ms=300)
    ...
    pool.release(connection)

    Connections that another component opened through a relay are kept apart from the
    direct ones; ``acquire_relayed`` returns only these.
    """

    __slots__ = (
        "_clock",
        "_idle_by_address",
        "_idle_relayed_by_address",
        "_use_by_address",
        "memory",
        "opened",
        "refused",
        "timed_out",
    )

    def __init__(self, clock: Clock, *, memory: ReadMemory | None = None) -> None:
        """``memory`` bounds the bodies that are read on these connections."""
        self._clock = clock
        self.memory = memory or ReadMemory()
        self._idle_by_address: dict[str, deque[HttpConnection]] = {}
        self._idle_relayed_by_address: dict[str, deque[HttpConnection]] = {}
        self._use_by_address: dict[str, ConnectionUse] = {}
        self.opened = 0
        self.refused = 0
        self.timed_out = 0

    async def acquire(
        self,
        address: str,
        *,
        connect_ms: float,
        fresh: bool = False,
        without: Container[HttpConnection] = (),
    ) -> HttpConnection | NotConnected:
        """Return an idle connection or open one within ``connect_ms``.

        With ``fresh`` it always opens one: after one connection to an address has
        become silent, the idle ones may be silent too. The idle connections in
        ``without`` are left to other requests.
        """
        idle = self._idle_by_address.get(address)
        connection = None if fresh else self._pop_idle(idle, without)
        use = self._use_by_address.setdefault(address, ConnectionUse())
        if connection is not None:
            use.reused += 1
            return connection
        use.opened += 1
        return await self._open(address, connect_ms)

    def acquire_relayed(
        self, address: str, *, without: Container[HttpConnection] = ()
    ) -> HttpConnection | None:
        """Return an idle connection through a relay, if there is one.

        It is none of those in ``without``.
        """
        return self._pop_idle(self._idle_relayed_by_address.get(address), without)

    def use_of(self, address: str) -> ConnectionUse:
        """Return the counts of an address; they restart after ``close_idle``."""
        return self._use_by_address.get(address, _NO_USE)

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address can be reused now."""
        idle = self._idle_by_address.get(address)
        # The last one was used most recently; the others are no younger.
        return bool(idle) and idle[-1].is_usable and not self._is_stale(idle[-1])

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection whose response is complete; close any other."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        by_address = self._idle_by_address
        if connection.relay:
            by_address = self._idle_relayed_by_address
        idle = by_address.setdefault(connection.address, deque())
        idle.append(connection)
        while idle and self._is_stale(idle[0]):
            idle.popleft().close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, after its replica is gone."""
        self.close_idle_direct(address)
        self.close_idle_relayed(address)

    def close_idle_direct(self, address: str) -> None:
        """Close the idle direct connections to an address."""
        self._use_by_address.pop(address, None)
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_idle_relayed(self, address: str) -> None:
        """Close the idle connections to an address that lead through relays."""
        for connection in self._idle_relayed_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in [*self._idle_by_address, *self._idle_relayed_by_address]:
            self.close_idle(address)

    def _pop_idle(
        self, idle: deque[HttpConnection] | None, without: Container[HttpConnection]
    ) -> HttpConnection | None:
        passed_over: list[HttpConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if connection in without:
                passed_over.append(connection)
            elif self._can_reuse(connection):
                found = connection
            else:
                connection.close()
        if passed_over:
            idle.extend(reversed(passed_over))
        return found

    def _can_reuse(self, connection: HttpConnection) -> bool:
        is_open = connection.is_usable and not connection.has_input()
        return is_open and not self._is_stale(connection)

    def _is_stale(self, connection: HttpConnection) -> bool:
        limit_ms = MAX_IDLE_MS
        if connection.keep_alive_ms is not None:
            limit_ms = min(limit_ms, connection.keep_alive_ms * _KEEP_ALIVE_FRACTION)
        return self._clock.now_ms() - connection.idle_since_ms > limit_ms

    async def _open(
        self, address: str, connect_ms: float
    ) -> HttpConnection | NotConnected:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(connect_ms / 1_000):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(address), host, int(port)
                )
        except TimeoutError:
            self.timed_out += 1
            return NotConnected(f"no connection to {address} in {connect_ms:.0f} ms")
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            self.refused += is_refused
            return NotConnected(f"no connection to {address}: {error}", is_refused)
        except (ValueError, OverflowError) as error:
            return NotConnected(f"no connection to {address[:80]!r}: {error}")
        return connection
