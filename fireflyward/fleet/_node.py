"""One node of a fleet: creates, connects, starts and stops its components."""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from functools import partial

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock, Standstills
from fireflyward.deployment import Configuration, FleetSettings
from fireflyward.feeds import SharedTables, TableUpdate
from fireflyward.forwarding import Forwarder
from fireflyward.http1 import ConnectionPool, ReadMemory
from fireflyward.inbound import ConnectionMemory
from fireflyward.leases import Gained, Lost
from fireflyward.observe import Metrics
from fireflyward.peers import PeerLink
from fireflyward.platform import ReplicaApi, StoreClient
from fireflyward.prefixes import GarbageCollector, PartPlanner
from fireflyward.retries import RetryBudget
from fireflyward.routes import RouteTable
from fireflyward.streams import SoftwareRows
from fireflyward.supervision import (
    BackgroundTasks,
    MemoryWatch,
    Run,
    read_resource_use,
    return_freed_memory,
)
from fireflyward.weights import LoadAnnouncer, WeightTask

from ._accept_limit import AcceptLimit
from ._callers import MIN_HELD_BYTES, CallerServer
from ._crash_components import CrashComponents
from ._gauges import link_gauges, pool_gauges
from ._joining import Joining
from ._kv_stores import KvStoreFollowers
from ._lease_components import LeaseComponents
from ._own_member import own_member
from ._peers import NODE_TABLE, NodeRegistry, node_row_key
from ._replica_components import ReplicaComponents
from ._start_gate import StartGate
from ._status_server import StatusServer
from ._table_followers import TableFollowers
from ._views import OperatorView, ReplicaView
from ._weight_components import WeightComponents

log = logging.getLogger("fireflyward.node")

# The balancer removes a node after two failed readiness checks, which are 1 s apart.
_BALANCER_NOTICE_MS = 2_600
# The part of the grace period that is reserved for the last writes.
_EXIT_MARGIN_MS = 500
# What the process itself uses, with the tables of a large fleet and all that it records
# about requests. Half of the remaining memory is for requests with their bodies, a
# quarter for idle connections. An eighth of the whole is for responses, and another one
# for what connections hold beside admitted requests. The shares are not all used up at
# once; what the allocator does not give back comes on top.
_OWN_MB = 60
_REQUEST_BYTES_PER_MB = 1 << 19
_MIN_REQUEST_BYTES = 8 << 20
_CONNECTION_BYTES_PER_MB = 1 << 18
_MIN_CONNECTION_BYTES = 8 << 20
_RESPONSE_BYTES_PER_MB = 1 << 17
_MIN_RESPONSE_BYTES = 8 << 20
_HELD_BYTES_PER_MB = 1 << 17
_SOFTWARE_DUTY = "software"
_METRICS_PORT_OFFSET = 1


class FleetNode:
    """Creates, connects, starts and stops the components of one node."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        balancer_notice_ms: int = _BALANCER_NOTICE_MS,
    ) -> None:
        self._balancer_notice_ms = balancer_notice_ms
        bounds = settings.bounds
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics()
        self.tasks = BackgroundTasks(clock=clock, metrics=self._metrics)
        self._created_ms = clock.now_ms()
        self._standstills = Standstills(clock=clock)
        free_mb = settings.memory_mb - _OWN_MB
        memory = ReadMemory(
            max_bytes=max(
                _MIN_RESPONSE_BYTES, _RESPONSE_BYTES_PER_MB * settings.memory_mb
            ),
            max_request_bytes=max(_MIN_REQUEST_BYTES, _REQUEST_BYTES_PER_MB * free_mb),
        )
        self._memory_watch = MemoryWatch(settings.memory_mb, clock=clock)
        self._pool = ConnectionPool(clock, memory=memory)
        self._store = StoreClient(settings.store.address, clock=clock, memory=memory)
        self._routes = RouteTable(
            revoke_ms=bounds.revoke_ms,
            fails_closed=bounds.fails_closed,
        )
        self._budget = RetryBudget(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_ms=bounds.retry_window_ms,
        )
        self._node_registry = NodeRegistry(self._store, settings.node)
        self._planner = PartPlanner()
        self._api = ReplicaApi(self._pool, clock=clock)
        self._aggregators = Aggregators(
            settings.node,
            settings.failure_domain,
            link_mbps=settings.link_mbps,
            lost_ms=self._lost_ms,
        )
        self._replica_components = ReplicaComponents(
            settings,
            clock=clock,
            pool=self._pool,
            aggregators=self._aggregators,
            lost_ms=self._lost_ms,
        )
        self._directory = self._replica_components.directory
        self._weight_components = WeightComponents(
            clock=clock,
            version_ms=bounds.version_ms,
            directory=self._directory,
            store=self._store,
            aggregators=self._aggregators,
            registry=self._node_registry,
        )
        self._weights = self._weight_components.versions
        self._load_announcer = LoadAnnouncer(
            clock=clock,
            directory=self._directory,
            peer_addresses=self._aggregators.all_addresses,
        )
        self._crashes = CrashComponents(
            clock=clock,
            pool=self._pool,
            directory=self._directory,
            store=self._store,
            table=NODE_TABLE,
            node=own_member(settings),
            aggregators=self._aggregators,
            poll_soon=lambda: self._joining.poll_soon(),
            connect=self._replica_components.relays.probe,
        )
        self._forwarder = self._make_forwarder()
        self._gate = StartGate(clock)
        self._caller_server = CallerServer(
            clock=clock,
            routes=self._routes,
            forwarder=self._forwarder,
            metrics=self._metrics,
            gate=self._gate,
            accept_limit=AcceptLimit(
                max_descriptors=settings.max_descriptors,
                memory_bytes=max(
                    _MIN_CONNECTION_BYTES, _CONNECTION_BYTES_PER_MB * free_mb
                ),
            ),
            loads=self._replica_components.node_loads,
            connection_memory=ConnectionMemory(
                max(MIN_HELD_BYTES, _HELD_BYTES_PER_MB * settings.memory_mb)
            ),
            memory=memory,
        )
        operators = OperatorView(
            clock=clock,
            routes=self._routes,
            weights=self._weights,
            directory=self._directory,
            failure_domains=settings.failure_domains,
            on_configuration=self._on_configuration,
            standstills=self._standstills,
            on_named=self._weight_components.on_named,
        )
        self._replicas = ReplicaView(
            clock=clock,
            directory=self._directory,
            pool=self._pool,
            heartbeat_ms=settings.heartbeat_ms,
            on_removed=self._crashes.quarantine.on_removed,
            on_updated=self._on_replica_list,
        )
        streams = self._replica_components.streams
        self._software_rows = SoftwareRows(
            streams.versions,
            streams.stored,
            clock=clock,
            store=self._store,
            table=NODE_TABLE,
            node_row=node_row_key(settings.node),
            has_recent_list=streams.has_recent_list,
            place=self._place_for_software,
            on_written=streams.on_written,
            poll_soon=lambda: self._joining.poll_soon(),
        )
        streams.read_stored = self._software_rows.read_now
        self._tables = SharedTables(
            self._store,
            clock=clock,
            aggregators=self._aggregators,
            era=lambda: self._store.eras.latest,
            lost_ms=self._lost_ms,
        )
        self._joining = Joining(
            settings,
            clock=clock,
            registry=self._node_registry,
            tables=self._tables,
            aggregators=self._aggregators,
            on_nodes=self._on_nodes,
            on_rows=self._on_rows,
            on_link=self._on_link,
            standstills=self._standstills,
        )
        # A restored store may lack the rows that nodes wrote about themselves. All
        # nodes read these rows, so this node reads the table at once and writes its
        # own row again.
        self._store.eras.on_new_era = self._joining.poll_soon
        self._table_followers = TableFollowers(
            self._tables,
            clock=clock,
            store=self._store,
            aggregators=self._aggregators,
            gate=self._gate,
            is_ready=lambda: self.is_ready,
            drain_ms=lambda: self._settings.bounds.drain_ms,
            config_apply_ms=lambda: self._settings.bounds.config_apply_ms,
            on_configuration=operators.on_table_update,
            on_replicas=self._replicas.on_table_update,
        )
        self._lease_components = LeaseComponents(
            settings,
            clock=clock,
            store=self._store,
            registry=self._node_registry,
            is_stopping=lambda: self._is_stopping,
            can_act=self._replica_components.relays.may_give_orders,
            on_change=self._on_lease,
            on_row_read=self._weight_components.on_lease_row,
            poll_interval_ms=lambda: self._weight_task.lease_poll_ms(),
        )
        self._lease = self._lease_components.lease
        self._weight_task = WeightTask(
            clock=clock,
            lease=self._lease,
            api=self._api,
            directory=self._directory,
            weights=self._weights,
            announcer=self._load_announcer,
            busy_ms=self._replica_components.chooser.queue_ms,
            node=settings.node,
            lease_ms=bounds.lease_ms,
            slack_ms=bounds.thaw_slack_ms,
            standstills=self._standstills,
        )
        self._garbage_collector = GarbageCollector(
            clock=clock,
            planner=self._planner,
            freer=self._api,
            used=self._directory.used_weights,
            newest_by_model=self._weights.targets,
            may_act=lambda: self._lease.claim() is not None,
        )
        self._kv_store_followers = KvStoreFollowers(
            self._planner,
            api=self._api,
            clock=clock,
            aggregators=self._aggregators,
            tasks=self.tasks,
            lost_ms=self._lost_ms,
        )
        self._status_server = StatusServer(
            self._metrics,
            clock=clock,
            is_ready=lambda: self.is_ready,
            update_gauges=self._update_gauges,
        )
        self._is_stopping = False
        self.callers_address = ""
        self.readiness_address = ""

    @property
    def is_ready(self) -> bool:
        """Return whether the node can serve requests now."""
        return (
            not self._is_stopping
            and self._routes.version is not None
            and self._replicas.has_read_table
            and self._routes.may_accept_keys(self._clock.now_ms())
        )

    def reload(self, settings: FleetSettings) -> None:
        """Apply new settings, except those that take effect only at a start."""
        bounds = settings.bounds
        self._routes.set_bounds(
            revoke_ms=bounds.revoke_ms,
            fails_closed=bounds.fails_closed,
        )
        self._budget.set_bounds(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_ms=bounds.retry_window_ms,
        )
        self._settings = settings
        log.info("node: settings reloaded")

    async def start(self) -> None:
        """Start to listen and to follow the store.

        Raise ``CannotListen`` if the address for callers or readiness stays in use.
        """
        return_freed_memory()
        settings = self._settings
        try:
            self.readiness_address = await self._status_server.listen_for_readiness(
                settings.readiness_address
            )
            self.callers_address = await self._caller_server.listen(
                settings.callers_address
            )
        except BaseException:
            await self._status_server.close()
            raise
        for name, run in self._runs():
            self.tasks.start(name, run)
        log.info("node: %s listens at %s", settings.node, settings.callers_address)

    async def _listen_for_metrics(self) -> None:
        port = self._settings.peer_ports[0]
        port += _METRICS_PORT_OFFSET if port else 0
        await self._status_server.listen_for_metrics(f"{self._settings.ip}:{port}")

    def _runs(self) -> Iterable[tuple[str, Run]]:
        """Return what to run until the node stops, with the names of the tasks."""
        yield "standstills", self._standstills.run
        yield "memory", self._memory_watch.run
        yield "caller connections", self._caller_server.run
        yield "status connections", self._status_server.run
        yield "metrics", self._listen_for_metrics
        yield "joining", self._joining.run
        for name, run in self._table_followers.runs_after_joining():
            yield name, partial(self._joining.run_after_joining, run)
        yield "lost rows", self._table_followers.recover_lost_rows
        yield "replica list", self._replicas.run
        # Which nodes contend for the lease is known once the list has been read.
        yield "lease", partial(self._joining.run_after_joining, self._lease.run)
        yield "weights", self._weight_task.run
        yield "garbage collection", self._garbage_collector.run
        yield from self._crashes.runs()
        yield from self._weight_components.runs()
        yield from self._lease_components.runs()
        yield "software rows", self._software_rows.run
        yield "software reads", self._software_rows.run_reads
        yield "notices", self._replica_components.notices.run
        yield "connector", self._replica_components.relays.connector.run

    async def stop(self) -> None:
        """Stop without cutting requests: first leave the balancer, then drain.

        Callers reach this node until the balancer has removed it, and after that over
        connections that are still open. The node therefore continues to serve, and
        closes each connection after its next response.
        """
        started_ms = self._clock.now_ms()
        end_ms = started_ms + self._settings.bounds.grace_ms - _EXIT_MARGIN_MS
        self._is_stopping = True
        self._caller_server.begin_stop()
        relay_server = self._replica_components.relays.server
        relay_server.begin_stop()
        log.info("node: stopping, %d requests in flight", self._caller_server.in_flight)
        lease_handover = asyncio.create_task(self._lease.hand_over())
        await self._clock.sleep_ms(self._balancer_notice_ms)
        self._caller_server.close_listener()
        left_ms = end_ms - self._clock.now_ms()
        await asyncio.gather(
            self._caller_server.drain(left_ms), relay_server.drain(left_ms)
        )
        tasks = [lease_handover, *self._crashes.tasks]
        tasks += self._replica_components.reach.tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(self.tasks.cancel(), *tasks, return_exceptions=True)
        await self._close()
        log.info("node: stopped, %d requests in flight", self._caller_server.in_flight)

    async def _close(self) -> None:
        await self._status_server.close()
        await self._replica_components.streams.hand_over()
        if self._joining.link is not None:
            await self._joining.link.stop()
        self._pool.close()
        self._store.close()

    def _lost_ms(self, since_ms: int) -> int:
        """Return for how long this process did not run since a time."""
        return self._standstills.lost_ms(self._clock.now_ms(), since_ms=since_ms)

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            clock=self._clock,
            pool=self._pool,
            chooser=self._replica_components.chooser,
            budget=self._budget,
            weights=self._weights,
            planner=self._planner,
            gate=self._crashes.quarantine,
            part_gate=self._crashes.poison,
            reach=self._replica_components.reach,
            notices=self._replica_components.notices,
            speeds=self._replica_components.speeds,
            fairness=self._replica_components.fairness,
            hedging=self._replica_components.hedging,
            connections=self._replica_components.relays.connector,
            streams=self._replica_components.streams,
            waiting=self._weight_components.waiting,
        )

    def _on_lease(self, change: Gained | Lost) -> None:
        self._weight_task.on_change(change)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._directory.set_services(configuration.service_by_name)
        self._replica_components.set_configuration(configuration)
        self._kv_store_followers.set_configuration(configuration)

    def _place_for_software(self) -> float:
        """Return this node's place for writing the rows of software; 1 is the last.

        A node that has not joined does not know the others, and would be the first.
        """
        registry = self._node_registry
        return registry.place(_SOFTWARE_DUTY) if registry.is_complete else 1.0

    def _on_replica_list(self) -> None:
        self._replica_components.streams.on_list()
        self._software_rows.on_list()

    def _on_nodes(self, names: Collection[str]) -> None:
        self._budget.set_nodes(len(names))
        self._forwarder.set_nodes(len(names))
        self._replica_components.set_nodes(names)

    def _on_rows(self, update: TableUpdate) -> None:
        self._crashes.on_table_update(update)
        self._software_rows.on_table_update(update)
        self._weight_components.on_table_update(update)

    def _on_link(self, link: PeerLink) -> Callable[[], None]:
        senders = (self._load_announcer, self._tables, self._lease_components)
        weights = self._weight_components
        for part in (*senders, self._crashes, self._replica_components, weights):
            part.use(link)
        return partial(self._start_link_tasks, link)

    def _start_link_tasks(self, link: PeerLink) -> None:
        components = self._replica_components
        self.tasks.start("load reports", partial(components.load_report_task.run, link))
        self.tasks.start("sum reports", partial(components.sum_report_task.run, link))
        self.tasks.start("KV updates", partial(self._kv_store_followers.run, link))

    def _update_gauges(self) -> None:
        now_ms = self._clock.now_ms()
        gauges = {
            "in_flight": self._caller_server.in_flight,
            "process_uptime_ms": now_ms - self._created_ms,
            "process_memory_limit_mb": self._settings.memory_mb,
            "process_descriptor_limit": self._settings.max_descriptors,
            **read_resource_use().gauges(),
            "standstills_total": self._standstills.count,
            **self._weight_components.gauges(),
            **self._lease_components.gauges(),
            "caller_connections_refused_total": self._caller_server.refused,
            "connection_memory_bytes": self._caller_server.connection_memory_bytes,
            "configuration_age_ms": self._routes.age_ms(now_ms),
            "configuration_version": self._routes.version or 0,
            **self._crashes.gauges(),
            "store_calls_total": self._store.calls,
            "store_era": self._store.eras.latest,
            **pool_gauges(self._pool),
            **self._replica_components.gauges(),
            **link_gauges(self._joining.link),
        }
        for name, value in gauges.items():
            self._metrics.gauge(name, value)
        by_service = self._replica_components.gauges_by_service()
        for name, values in by_service.items():
            for service, value in values.items():
                self._metrics.gauge(name, value, service=service)
        duration_ms_by_route = self._caller_server.outages.durations_ms(now_ms)
        for route, duration_ms in duration_ms_by_route.items():
            self._metrics.gauge("route_unanswered_ms", duration_ms, route=route)
