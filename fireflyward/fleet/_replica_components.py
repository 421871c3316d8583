"""The components of a node that track replicas and choose among them."""

from collections.abc import Callable, Collection

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.deployment import Configuration, FleetSettings
from fireflyward.hedging import Hedging, SilentReplicaCost, SilentReplicas
from fireflyward.http1 import ConnectionPool
from fireflyward.limits import FairAdmission, LocalSums, PeerSums, SumReportTask
from fireflyward.notices import NoticeTask
from fireflyward.peers import PeerLink
from fireflyward.reach import ReachTask
from fireflyward.replicas import (
    BrittleLimits,
    Chooser,
    ColdShares,
    KvRoom,
    LoadReportTask,
    PeerLoad,
    RateLimits,
    ReplicaDirectory,
)
from fireflyward.speeds import PauseTerm, PauseTimes, SpeedTask
from fireflyward.streams import StreamTask
from fireflyward.subsets import (
    ConnectionCounts,
    IdleConnectionCost,
    SubsetFilter,
)

from ._accept_limit import NodeLoads
from ._own_member import own_member
from ._relay_components import RelayComponents

# How long the sums of requests in flight are used.
_NODE_LOADS_AGE_MS = 100


class ReplicaComponents:
    """Creates and connects the components around the list of replicas."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        pool: ConnectionPool,
        aggregators: Aggregators,
        lost_ms: Callable[[int], int],
    ) -> None:
        """``lost_ms`` returns for how long this process did not run since a time."""
        self._clock = clock
        self.directory = ReplicaDirectory(
            lost_within_ms=lambda duration_ms: lost_ms(
                clock.now_ms() - int(duration_ms)
            )
        )
        peer_load = self._peer_load = PeerLoad()
        self.kv_room = KvRoom()
        self.load_report_task = LoadReportTask(
            clock=clock,
            directory=self.directory,
            peers=peer_load,
            aggregators=aggregators,
            node=settings.node,
            failure_domain=settings.failure_domain,
            link_mbps=settings.link_mbps,
            kv_room=self.kv_room,
        )
        self._peer_sums = PeerSums()
        sums = LocalSums()
        self._weighs_accounts = False
        self._other_nodes = 0
        self._node_loads = NodeLoads(0.0, 0.0)
        self._node_loads_ms = -_NODE_LOADS_AGE_MS
        self.fairness = FairAdmission(
            sums, self._peer_sums, applies=lambda: self._weighs_accounts
        )
        self.sum_report_task = SumReportTask(
            clock=clock,
            sums=sums,
            peers=self._peer_sums,
            aggregators=aggregators,
            applies=lambda: self._weighs_accounts,
        )
        self.cold_shares = ColdShares(settings.node)
        self.rate_limits = RateLimits(settings.node)
        self.brittle_limits = BrittleLimits(settings.node)
        pauses = PauseTimes()
        self.pause_term = PauseTerm(pauses)
        self.connection_counts = ConnectionCounts(pool, self.directory)
        self.subsets = SubsetFilter(
            self.directory,
            self.connection_counts,
            node=settings.node,
            failure_domain=settings.failure_domain,
            peers=peer_load,
        )
        self.hedging = Hedging(silent=SilentReplicas(lost_ms=lost_ms))
        self.chooser = Chooser(
            self.directory,
            failure_domain=settings.failure_domain,
            peers=peer_load,
            cold_shares=self.cold_shares,
            rate_limits=self.rate_limits,
            brittle_limits=self.brittle_limits,
            cost_terms=(
                self.pause_term,
                IdleConnectionCost(pool, self.subsets),
                SilentReplicaCost(self.hedging.silent),
            ),
            candidate_filter=self.subsets,
            kv_room=self.kv_room,
        )
        self.relays = RelayComponents(
            settings,
            clock=clock,
            pool=pool,
            directory=self.directory,
            aggregators=aggregators,
            on_silent=lambda replica: self.reach.on_silent(replica),
            lost_ms=lost_ms,
        )
        self.reach = ReachTask(
            clock=clock,
            pool=pool,
            directory=self.directory,
            peers=aggregators.all_addresses,
            can_relay=self.relays.connector.can_relay,
            is_relayed=self.relays.paths.is_relayed,
        )
        self.notices = NoticeTask(
            clock=clock,
            directory=self.directory,
            peers=aggregators.all_addresses,
            lost_ms=lost_ms,
        )
        self.streams = StreamTask(
            clock=clock,
            directory=self.directory,
            node=own_member(settings),
            members=aggregators.all_members,
            responsive_members=aggregators.responsive_members,
        )
        self.speeds = SpeedTask(
            clock=clock,
            directory=self.directory,
            aggregators=aggregators,
            pauses=pauses,
        )

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply fair admission while the configuration states accounts' weights."""
        self._weighs_accounts = configuration.weighs_accounts

    def set_nodes(self, names: Collection[str]) -> None:
        """Set the names of all nodes, which share the limits of the replicas."""
        self._other_nodes = len(names) - 1
        self.cold_shares.set_nodes(names)
        self.rate_limits.set_nodes(names)
        self.brittle_limits.set_nodes(names)
        self.subsets.set_nodes(len(names))

    def use(self, link: PeerLink) -> None:
        """Send and receive messages over a link from now on."""
        self.reach.use(link)
        self.relays.use(link)
        self.notices.use(link)
        self.speeds.use(link)
        self.streams.use(link)

    def node_loads(self) -> NodeLoads:
        """Return the requests in flight at this node, and at others on average."""
        now_ms = self._clock.now_ms()
        if now_ms - self._node_loads_ms >= _NODE_LOADS_AGE_MS:
            states = self.directory.all()
            own = sum(state.in_flight for state in states)
            others = sum(
                self._peer_load.at(now_ms, state.incarnation_id).requests
                for state in states
            )
            self._node_loads = NodeLoads(own, others / max(1, self._other_nodes))
            self._node_loads_ms = now_ms
        return self._node_loads

    def gauges(self) -> dict[str, int]:
        """Return how many replicas there are, and how many get fewer or no requests."""
        now_ms, states = self._clock.now_ms(), self.directory.all()
        backpressures = [state.backpressure for state in states]
        return {
            "replicas": len(self.directory),
            "replica_list_age_ms": self.directory.confirmation.age_ms(now_ms),
            "replicas_without_entry": len(self.directory.expiry_times_ms()),
            "invalid_account_weights_total": self.fairness.invalid_weights,
            "invalid_fairness_messages_total": self._peer_sums.invalid_messages,
            "cold_replicas": sum(state.is_cold(now_ms) for state in states),
            "cold_sends_total": self.cold_shares.granted,
            "leaving_replicas": sum(state.is_leaving for state in states),
            "limited_replicas": sum(
                x.limit.per_second is not None for x in backpressures
            ),
            "brittle_replicas": sum(state.is_brittle for state in states),
            "resting_replicas": sum(x.backoff_ms(now_ms) > 0 for x in backpressures),
            "slow_replicas": sum(state.speed.factor(now_ms) > 1.0 for state in states),
            "slow_replica_costs_total": self.pause_term.raised,
            "speed_reports_unreadable_total": self.speeds.unreadable,
            "speed_changes_sent_total": self.speeds.announced,
            "speed_changes_received_total": self.speeds.received,
            "speed_changes_expired_total": self.speeds.expired,
            "evacuated_failure_domains": len(self.directory.evacuated),
            "unreachable_failure_domains": len(self.directory.unreachable),
            "isolated_ms": self.reach.isolated_ms,
            **self.relays.gauges(),
            "kv_prompts_moved_total": self.kv_room.moved,
            "kv_prompts_without_room_total": self.kv_room.without_room,
            "streams_recorded": len(self.streams.starts),
            "stream_origins_asked_total": self.streams.asked,
            "stream_origins_unknown_total": self.streams.unknown,
            "silent_replicas": self.hedging.silent.count(now_ms),
            "second_sends_total": self.hedging.second_sends.made,
            "second_sends_won_total": self.hedging.second_sends.won,
            "second_sends_cancelled_total": self.hedging.second_sends.cancelled,
        }

    def gauges_by_service(self) -> dict[str, dict[str, int]]:
        """Return gauges that differ by service, by their name and the service's."""
        self.connection_counts.update(self._clock.now_ms())
        totals = self.connection_counts.totals()
        return {
            "service_connections_opened_total": {
                service: use.opened for service, use in totals.items()
            },
            "service_connections_reused_total": {
                service: use.reused for service, use in totals.items()
            },
            "subset_replicas": self.subsets.sizes(),
            "kv_free_tokens": self._free_kv_tokens(),
        }

    def _free_kv_tokens(self) -> dict[str, int]:
        """Return the unused KV memory of all replicas of each service with engines."""
        now_ms = self._clock.now_ms()
        free_by_service: dict[str, int] = {}
        for state in self.directory.all():
            others = self._peer_load.at(now_ms, state.incarnation_id)
            free = self.kv_room.free_tokens(state, others)
            if free is not None:
                service = state.entry.service
                free_by_service[service] = free_by_service.get(service, 0) + free
        return free_by_service
