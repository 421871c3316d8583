"""The sockets of a node and its clients for other services."""

from aiohttp import web

from fireflyward.backing import (
    HttpObjects,
    HttpTable,
    HttpVms,
    HttpWeights,
    Objects,
    Table,
    Vms,
    Weights,
)
from fireflyward.bundles import Upstream
from fireflyward.clock import Clock
from fireflyward.connections import Sessions
from fireflyward.inbound import InboundAppRunner
from fireflyward.kept import HttpStore, StoreClient
from fireflyward.peers import PeerCodec, PeerLink
from fireflyward.settings import Settings
from fireflyward.upstreams import (
    Engine,
    HttpEngine,
    HttpKvEngine,
    HttpOrderedEngine,
    HttpService,
    KvEngine,
    OrderedEngine,
    PlainService,
)

from ._connection_bounds import connection_bounds
from ._tls import CallerTls


class NodeIO:
    """Opens the sockets and creates the clients that the settings describe.

    Tests replace it by an implementation in memory. ``open`` must be called first,
    because the clients share a session that belongs to the running event loop.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.tls = CallerTls(settings["tls_certificate"], settings["tls_key"])
        self._sessions: Sessions | None = None
        self._runner: InboundAppRunner | None = None

    def make_link(self, incarnation: int) -> PeerLink:
        """Return the link to the other nodes; it is not started yet."""
        return PeerLink(
            node_name=self._settings["node_name"],
            incarnation=incarnation,
            codec=PeerCodec(self._settings["peer_keys"]),
            host=self._settings["peer_host"],
            port=self._settings["peer_port"],
        )

    async def open(self) -> None:
        """Create the sessions that all clients share."""
        self._sessions = Sessions()

    async def listen(self, app: web.Application) -> int:
        """Serve callers and return the port.

        A connection on which no complete request arrives within the idle timeout is
        closed, whether it never sent a request or its last one is finished.
        """
        if self._runner is None:
            bounds = connection_bounds(self._settings)
            self._runner = InboundAppRunner(app, clock=Clock(), **bounds)
            await self._runner.setup()
        host, port = self._settings["host"], self._settings["port"]
        return await self._runner.listen(host, port, ssl_context=self.tls.context)

    async def stop_accepting(self) -> None:
        """Close the port; open connections stay open."""
        if self._runner:
            for site in list(self._runner.sites):
                await site.stop()

    async def stop_listening(self) -> None:
        """Close the connections of callers."""
        if self._runner:
            await self._runner.cleanup()

    async def close(self) -> None:
        """Close the connections of all clients."""
        if self._sessions:
            await self._sessions.close()

    def make_table(self) -> Table:
        return HttpTable(self._sessions.pooled, self._settings["table_url"])

    def make_objects(self) -> Objects:
        return HttpObjects(self._sessions.pooled, self._settings["objects_url"])

    def make_weights(self) -> Weights:
        return HttpWeights(self._sessions.pooled, self._settings["weights_url"])

    def make_vms(self) -> Vms:
        return HttpVms(self._sessions.pooled, self._settings["vms_url"])

    def make_engine(self, name: str, upstream: Upstream) -> Engine:
        """Return the client of the replica ``name``."""
        return HttpEngine(
            self._sessions.pooled, upstream.url, fresh=self._sessions.fresh
        )

    def make_ordered_engine(self, name: str, upstream: Upstream) -> OrderedEngine:
        """Return the client with which the rollout driver controls a replica."""
        return HttpOrderedEngine(self._sessions.pooled, upstream.url)

    def make_kv_engine(self, upstream: Upstream) -> KvEngine:
        """Return the client of a replica's KV cache."""
        return HttpKvEngine(self._sessions.pooled, upstream.url)

    def make_store(self, name: str, url: str) -> StoreClient:
        """Return the client of the store ``name``."""
        return HttpStore(self._sessions.pooled, name, url)

    def make_service(self, name: str, upstream: Upstream) -> PlainService:
        """Return the client of ``name``, a replica of a plain service."""
        return HttpService(
            self._sessions.pooled, upstream.url, fresh=self._sessions.fresh
        )
