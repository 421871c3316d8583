"""The components of a node for connections through other nodes."""

from collections.abc import Callable

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.http1 import ConnectionPool, HttpConnection, NotConnected
from fireflyward.peers import PeerLink
from fireflyward.relays import (
    Connector,
    RelayClient,
    RelayServer,
    ReplicaPaths,
    TunnelStatus,
)
from fireflyward.replicas import ReplicaDirectory, ReplicaState

# A tunnel whose ends do not read holds some hundred kilobytes.
_TUNNELS_PER_MB = 1
# A replica is a few ms away; a lost packet is retransmitted after 200 ms.
_CONNECT_MS = 350
# A node that reaches fewer replicas than others do leaves orders to another node.
_MAX_RELAYED_SHARE = 0.5
_MAX_CONNECT_MS = 1_000


class RelayComponents:
    """Creates and connects both ends of tunnels to replicas."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        aggregators: Aggregators,
        on_silent: Callable[[ReplicaState], None],
        lost_ms: Callable[[int], int],
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self.paths = ReplicaPaths(directory)
        self._client = RelayClient(
            clock=clock,
            failure_domain=settings.failure_domain,
            members=aggregators.responsive_members,
            lost_ms=lost_ms,
        )
        self.connector = Connector(
            clock=clock,
            pool=pool,
            paths=self.paths,
            client=self._client,
            on_silent=on_silent,
        )
        self.server = RelayServer(
            clock=clock,
            directory=directory,
            paths=self.paths,
            max_tunnels=_TUNNELS_PER_MB * settings.memory_mb,
            on_silent=on_silent,
        )

    def use(self, link: PeerLink) -> None:
        """Open and accept tunnels over a link from now on."""
        self._client.use(link)
        self.server.use(link)

    async def probe(self, replica: ReplicaState) -> HttpConnection | NotConnected:
        """Open a new connection to a replica, by the path that works."""
        return await self.connector.connect(
            replica, connect_ms=_CONNECT_MS, limit_ms=_MAX_CONNECT_MS, fresh=True
        )

    def may_give_orders(self) -> bool:
        """Return whether no other node is known to reach many more replicas.

        Orders take no way through other nodes: a replica counts the orders of each
        node as those of another holder of the lease.
        """
        return self.paths.relayed_share() <= _MAX_RELAYED_SHARE

    def gauges(self) -> dict[str, int]:
        """Return how many tunnels there are, and how tunnels were answered for."""
        asked, answered = self._client.answers, self.server.answers
        opened = TunnelStatus.OPENED
        return {
            "directly_reached_percent": int(100 * self.paths.direct_share()),
            "relayed_connections": self._client.open_tunnels,
            "relayed_connections_opened_total": asked[opened],
            "relayed_connections_rejected_total": asked.total() - asked[opened],
            "relay_tunnels": self.server.tunnels,
            "relay_tunnels_opened_total": answered[opened],
            "relay_tunnels_rejected_total": answered.total() - answered[opened],
        }
