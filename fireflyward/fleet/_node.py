"""One process of a fleet: its parts, put together, from start to stop."""

import asyncio
import logging
import os
from collections.abc import Callable, Collection, Coroutine

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.deployment import Configuration, FleetSettings
from fireflyward.feeds import FeedFollower, Pace, SharedTables, TableUpdate
from fireflyward.forwarding import Forwarder, WeightVersions
from fireflyward.http1 import ConnectionPool
from fireflyward.leases import Gained, LeaseAnnouncer, LeaseTask, Lost
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.platform import (
    CONFIGURATION_TABLE,
    REPLICA_TABLE,
    LeaseTable,
    ReplicaApi,
    StoreClient,
)
from fireflyward.prefixes import GarbageCollector, PartPlanner
from fireflyward.quarantine import Quarantine
from fireflyward.retries import RetryBudget
from fireflyward.routes import RouteTable
from fireflyward.weights import LoadAnnouncer, WeightTask

from ._callers import CallerDoor
from ._gauges import link_gauges
from ._joining import Joining
from ._known_replicas import KnownReplicas
from ._lost_rows import LostRows
from ._own_pages import OwnPages
from ._paces import configuration_pace, replicas_pace
from ._peers import NODE_TABLE, PeerRegister
from ._start_gate import StartGate
from ._stores import StoreFollowing
from ._views import OperatorView, ReplicaView

log = logging.getLogger("fireflyward.node")

# Nodes that look for the lease. All of them looking would be a call a second each;
# if all of these are gone at once the others find it within a minute.
_CONTENDERS = 7
# The balancer takes a node out after two questions, a second apart, without a 200.
_NOTICED_MS = 2_600
# What is kept of the grace for the last writes.
_EXIT_MARGIN_MS = 500
_LEASE = "weights"
_METRICS_PORT_OFFSET = 1


class FleetNode:
    """Starts the parts in order, and stops them in the other."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        noticed_ms: int = _NOTICED_MS,
    ) -> None:
        self._noticed_ms = noticed_ms
        bounds = settings.bounds
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics()
        self._pool = ConnectionPool(clock)
        self._store = StoreClient(settings.store.address, clock=clock)
        self._weights = WeightVersions(version_ms=bounds.version_ms)
        self._routes = RouteTable(
            revoke_ms=bounds.revoke_ms,
            closes_without_contact=bounds.closes_without_contact,
        )
        self._budget = RetryBudget(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_ms=bounds.retry_window_ms,
        )
        self._peers = PeerRegister(self._store, settings.node)
        self._planner = PartPlanner()
        self._api = ReplicaApi(self._pool, clock=clock)
        self._aggregators = Aggregators(
            settings.node, settings.failure_domain, link_mbps=settings.link_mbps
        )
        self._known = KnownReplicas(
            settings, clock=clock, pool=self._pool, aggregators=self._aggregators
        )
        self._directory = self._known.directory
        self._news = LoadAnnouncer(
            clock=clock,
            directory=self._directory,
            peer_addresses=self._aggregators.all_addresses,
        )
        self._quarantine = Quarantine(
            clock=clock,
            pool=self._pool,
            directory=self._directory,
            store=self._store,
            table=NODE_TABLE,
            node=settings.node,
            peer_addresses=self._aggregators.all_addresses,
            poll_soon=lambda: self._joining.look_soon(),
        )
        self._forwarder = self._make_forwarder()
        self._gate = StartGate(clock)
        self._door = CallerDoor(
            clock=clock,
            routes=self._routes,
            forwarder=self._forwarder,
            metrics=self._metrics,
            gate=self._gate,
        )
        operators = OperatorView(
            clock=clock,
            routes=self._routes,
            weights=self._weights,
            directory=self._directory,
            failure_domains=settings.failure_domains,
            on_configuration=self._on_configuration,
        )
        self._replicas = ReplicaView(
            clock=clock,
            directory=self._directory,
            pool=self._pool,
            on_removed=self._quarantine.on_removed,
        )
        self._tables = SharedTables(
            self._store,
            clock=clock,
            aggregators=self._aggregators,
            era=lambda: self._store.eras.latest,
        )
        self._joining = Joining(
            settings,
            clock=clock,
            register=self._peers,
            tables=self._tables,
            aggregators=self._aggregators,
            on_nodes=self._on_nodes,
            on_rows=self._quarantine.on_table_update,
            on_link=self._on_link,
        )
        # What nodes wrote of themselves may be lost, and is read by all others.
        self._store.eras.on_new_era = self._joining.look_soon
        self._lost_rows = LostRows(
            CONFIGURATION_TABLE,
            tables=self._tables,
            clock=clock,
            on_news=operators.on_news,
        )
        self._followers = (
            FeedFollower(
                CONFIGURATION_TABLE,
                reader=self._tables,
                clock=clock,
                on_update=self._kept(CONFIGURATION_TABLE, self._lost_rows.heard_by),
                pace=self._configuration_pace,
            ),
            FeedFollower(
                REPLICA_TABLE,
                reader=self._tables,
                clock=clock,
                on_update=self._kept(REPLICA_TABLE, self._replicas.on_news),
                pace=self._replicas_pace,
            ),
        )
        self._lease = self._make_lease()
        self._lease_news = LeaseAnnouncer(
            self._lease,
            contenders=lambda: self._peers.addresses_of_first(_CONTENDERS, _LEASE),
        )
        self._weight_task = WeightTask(
            clock=clock,
            lease=self._lease,
            api=self._api,
            directory=self._directory,
            weights=self._weights,
            announcer=self._news,
            busy_ms=self._known.chooser.queue_ms,
            node=settings.node,
            lease_ms=bounds.lease_ms,
            slack_ms=bounds.thaw_slack_ms,
        )
        self._garbage_collector = GarbageCollector(
            clock=clock,
            planner=self._planner,
            freer=self._api,
            used=self._directory.used_weights,
            newest_by_model=self._weights.targets,
            may_act=lambda: self._lease.claim() is not None,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stores = StoreFollowing(
            self._planner,
            api=self._api,
            clock=clock,
            aggregators=self._aggregators,
            guarded=self._guarded,
        )
        self._own_pages = OwnPages(
            self._metrics,
            is_ready=lambda: self.is_ready,
            take_gauges=self._take_gauges,
        )
        self._is_stopping = False
        self.callers_address = ""
        self.readiness_address = ""

    @property
    def is_ready(self) -> bool:
        """Tell whether requests that come now can be served."""
        return (
            not self._is_stopping
            and self._routes.version is not None
            and self._replicas.is_known
            and self._routes.may_accept_keys(self._clock.now_ms())
        )

    def reload(self, settings: FleetSettings) -> None:
        """Take new settings; what only a start can change stays as it is."""
        bounds = settings.bounds
        self._routes.set_bounds(
            revoke_ms=bounds.revoke_ms,
            closes_without_contact=bounds.closes_without_contact,
        )
        self._budget.set_bounds(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_ms=bounds.retry_window_ms,
        )
        self._settings = settings
        log.info("node: settings reloaded")

    async def start(self) -> None:
        """Listen, and follow the store."""
        settings = self._settings
        port = settings.peer_ports[0]
        port += _METRICS_PORT_OFFSET if port else 0
        self.readiness_address = await self._own_pages.listen(
            settings.readiness_address, f"{settings.ip}:{port}"
        )
        self.callers_address = await self._door.listen(settings.callers_address)
        self._start(
            self._joining.run(),
            *(self._joining.once_joined(follower.run) for follower in self._followers),
            self._lost_rows.run(),
            self._lease.run(),
            self._weight_task.run(),
            self._garbage_collector.run(),
            self._quarantine.run(),
            self._known.notices.run(),
        )
        log.info("node: %s listens at %s", settings.node, settings.callers_address)

    async def stop(self) -> None:
        """Leave without cutting a request: first the balancer, then callers.

        Callers reach this node until the balancer has noticed, and on connections
        that are open for longer, so it serves on and asks each to go elsewhere.
        """
        began_ms = self._clock.now_ms()
        end_ms = began_ms + self._settings.bounds.grace_ms - _EXIT_MARGIN_MS
        self._is_stopping = True
        self._door.begin_stop()
        log.info("node: stopping, %d requests in flight", self._door.in_flight)
        handing_over = asyncio.create_task(self._lease.hand_over())
        await self._clock.sleep_ms(self._noticed_ms)
        self._door.close_listener()
        await self._door.drain(end_ms - self._clock.now_ms())
        tasks = [handing_over, *self._tasks, *self._stores.tasks]
        tasks += [*self._quarantine.tasks, *self._known.reach.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()
        log.info("node: stopped, %d requests in flight", self._door.in_flight)

    async def _close(self) -> None:
        await self._own_pages.close()
        if self._joining.link is not None:
            await self._joining.link.stop()
        self._pool.close()
        self._store.close()

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            clock=self._clock,
            pool=self._pool,
            chooser=self._known.chooser,
            budget=self._budget,
            weights=self._weights,
            planner=self._planner,
            gate=self._quarantine,
            reach=self._known.reach,
            notices=self._known.notices,
        )

    def _make_lease(self) -> LeaseTask:
        return LeaseTask(
            _LEASE,
            clock=self._clock,
            table=LeaseTable(self._store),
            holder=self._settings.node,
            lease_ms=self._settings.bounds.lease_ms,
            contends=self._contends,
            on_change=self._on_lease,
            on_row_written=lambda row, position: self._lease_news.announce(
                row, position
            ),
            poll_interval_ms=lambda: self._weight_task.lease_poll_ms(),
        )

    def _on_lease(self, change: Gained | Lost) -> None:
        self._weight_task.on_change(change)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._directory.set_services(configuration.service_by_name)
        self._stores.take(configuration)

    def _configuration_pace(self) -> Pace:
        return configuration_pace(
            is_shared=self._aggregators.are_needed,
            serves_other_nodes=self._tables.serves_other_nodes,
        )

    def _replicas_pace(self) -> Pace:
        return replicas_pace(
            self._settings.bounds.drain_ms,
            is_shared=self._aggregators.are_needed,
            serves_other_nodes=self._tables.serves_other_nodes,
        )

    def _kept(
        self, table: str, on_news: Callable[[TableUpdate], None]
    ) -> Callable[[TableUpdate], None]:
        """Keep a table's news for others; the last one needed opens the gate."""
        is_operators = table == CONFIGURATION_TABLE
        take = self._tables.caching_listener(table, on_news, retains_rows=is_operators)

        def take_and_note(news: TableUpdate) -> None:
            # An aggregator may tell of a new era before the store itself does.
            self._store.eras.observe(news.position.era)
            take(news)

        return self._gate.opened_by(take_and_note, is_ready=lambda: self.is_ready)

    def _on_nodes(self, names: Collection[str]) -> None:
        self._budget.set_nodes(len(names))
        self._forwarder.set_nodes(len(names))
        self._known.set_nodes(names)

    def _contends(self) -> bool:
        return not self._is_stopping and self._peers.is_among_first(_CONTENDERS, _LEASE)

    def _on_link(self, link: PeerLink) -> Callable[[], None]:
        speaking = (self._news, self._tables, self._lease_news)
        for part in (*speaking, self._quarantine, self._known):
            part.use(link)
        return lambda: self._start(
            self._known.under_way_task.run(link), self._stores.run(link)
        )

    def _start(self, *runs: Coroutine[None, None, None]) -> None:
        self._tasks += [asyncio.create_task(self._guarded(run)) for run in runs]

    async def _guarded(self, run: Coroutine[None, None, None]) -> None:
        """End the process if one of its tasks ends by a fault of the program.

        A node without its feed would go on by an ever older configuration; one
        that starts anew knows everything within a second.
        """
        try:
            await run
        except Exception:
            log.exception("node: a task failed, so the process ends")
            os._exit(3)

    def _take_gauges(self) -> None:
        now_ms = self._clock.now_ms()
        gauges = {
            "in_flight": self._door.in_flight,
            "configuration_age_ms": self._routes.age_ms(now_ms),
            "configuration_version": self._routes.version or 0,
            "requests_cut_by_ends_total": self._quarantine.cut,
            "requests_held": self._quarantine.held,
            "store_calls_total": self._store.calls,
            "store_era": self._store.eras.latest,
            "connections_opened_total": self._pool.opened,
            **self._known.gauges(),
            **link_gauges(self._joining.link),
        }
        for name, value in gauges.items():
            self._metrics.gauge(name, value)
