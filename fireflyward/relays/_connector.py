"""Connects to replicas, directly or through other nodes."""

import asyncio
import logging
from collections.abc import Callable, Container

from fireflyward.clock import Clock
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.replicas import ReplicaState

from ._client import RelayClient
from ._paths import Path, ReplicaPaths

log = logging.getLogger("fireflyward.relays")

_MAX_OPEN_MS = 700
_PROBE_INTERVAL_MS = 300
_PROBE_CONNECT_MS = 150
_PROBED_REPLICAS = 4
# Once a direct connection works again, the link is probably whole, and more replicas
# are probed at once.
_PROBED_AFTER_SUCCESS = 16


class Connector:
    """Returns a connection to a replica, by the path that works.

    A direct connection that cannot be opened is opened through another node instead.
    Nothing has been sent at that time, so this is no second attempt of a request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        paths: ReplicaPaths,
        client: RelayClient,
        on_silent: Callable[[ReplicaState], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._paths = paths
        self._client = client
        self._on_silent = on_silent
        self._has_relayed = asyncio.Event()

    def has_path(self, replica: ReplicaState) -> bool:
        """Return False if the replica is known to be out of reach on any path."""
        return self._paths.path_to(replica) is not Path.NONE

    async def connect(
        self,
        replica: ReplicaState,
        *,
        connect_ms: float,
        limit_ms: float,
        fresh: bool,
        without: Container[HttpConnection] = (),
    ) -> HttpConnection | NotConnected:
        """Return a connection on which a request can be sent.

        A direct one is opened within ``connect_ms``; all of it takes at most
        ``limit_ms``. With ``fresh`` no idle connection is used, and none of those in
        ``without`` is used in any case.
        """
        started_ms = self._clock.now_ms()
        if self._paths.path_to(replica) is Path.RELAYED:
            connection = await self._connect_relayed(
                replica, limit_ms, fresh=fresh, without=without
            )
            if not isinstance(connection, NotConnected) or connection.is_refused:
                return connection
            # No node relays any more. The cut may have ended since the last probe.
            left_ms = started_ms + limit_ms - self._clock.now_ms()
            return await self._pool.acquire(
                replica.entry.address,
                connect_ms=min(_PROBE_CONNECT_MS, left_ms),
                fresh=True,
            )
        connection = await self._pool.acquire(
            replica.entry.address,
            connect_ms=min(connect_ms, limit_ms),
            fresh=fresh,
            without=without,
        )
        if not isinstance(connection, NotConnected):
            replica.has_connected = True
            return connection
        if not connection.is_refused:
            self._on_silent(replica)
        now_ms = self._clock.now_ms()
        left_ms = started_ms + limit_ms - now_ms
        if left_ms < 1 or not self._paths.may_relay(now_ms, replica):
            return connection
        relayed = await self._connect_relayed(
            replica, left_ms, fresh=fresh, without=without
        )
        if isinstance(relayed, NotConnected):
            self._paths.on_relay_failure(self._clock.now_ms(), replica)
            return connection
        if self._paths.on_relayed(replica):
            name = replica.entry.incarnation
            log.warning("relays: only %s connects to %s", relayed.relay, name)
            self._has_relayed.set()
        return relayed

    async def can_relay(self, replica: ReplicaState) -> bool:
        """Return whether another node connects to a replica now."""
        idle = self._pool.acquire_relayed(replica.entry.address)
        if idle is not None:
            self._pool.release(idle)
            return True
        connection = await self._client.open(replica, limit_ms=_MAX_OPEN_MS)
        if isinstance(connection, NotConnected):
            return False
        self._pool.release(connection)
        return True

    async def run(self) -> None:
        """Probe replicas that are reached through other nodes, until cancelled."""
        count = _PROBED_REPLICAS
        while True:
            await self._has_relayed.wait()
            replicas = self._paths.relayed()[:count]
            if not self._paths.has_relayed_replicas:
                self._has_relayed.clear()
                continue
            reached = await asyncio.gather(*map(self._probe, replicas))
            count = _PROBED_REPLICAS
            if any(reached):
                count = _PROBED_AFTER_SUCCESS
            else:
                await self._clock.sleep_ms(_PROBE_INTERVAL_MS)

    async def _connect_relayed(
        self,
        replica: ReplicaState,
        limit_ms: float,
        *,
        fresh: bool,
        without: Container[HttpConnection],
    ) -> HttpConnection | NotConnected:
        if not fresh:
            address = replica.entry.address
            connection = self._pool.acquire_relayed(address, without=without)
            if connection is not None:
                return connection
        limit_ms = min(limit_ms, _MAX_OPEN_MS)
        return await self._client.open(replica, limit_ms=limit_ms)

    async def _probe(self, replica: ReplicaState) -> bool:
        connection = await self._pool.acquire(
            replica.entry.address, connect_ms=_PROBE_CONNECT_MS, fresh=True
        )
        if isinstance(connection, NotConnected):
            self._paths.on_probed(replica)
            return False
        self._pool.release(connection)
        self._paths.on_direct(replica)
        self._pool.close_idle_relayed(replica.entry.address)
        log.info("relays: %s is reached directly again", replica.entry.incarnation)
        return True
