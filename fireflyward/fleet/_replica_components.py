"""The components of a node that track replicas and choose among them."""

from collections.abc import Collection

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.hedging import Hedging, SilentReplicaCost
from fireflyward.http1 import ConnectionPool
from fireflyward.notices import NoticeTask
from fireflyward.peers import PeerLink
from fireflyward.reach import ReachTask
from fireflyward.replicas import (
    Chooser,
    ColdShares,
    LoadReportTask,
    PeerLoad,
    RateLimits,
    ReplicaDirectory,
)


class ReplicaComponents:
    """Creates and connects the components around the list of replicas."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        pool: ConnectionPool,
        aggregators: Aggregators,
    ) -> None:
        self._clock = clock
        self.directory = ReplicaDirectory()
        peer_load = PeerLoad()
        self.load_report_task = LoadReportTask(
            clock=clock,
            directory=self.directory,
            peers=peer_load,
            aggregators=aggregators,
            node=settings.node,
            failure_domain=settings.failure_domain,
            link_mbps=settings.link_mbps,
        )
        self.cold_shares = ColdShares(settings.node)
        self.rate_limits = RateLimits(settings.node)
        self.hedging = Hedging()
        self.chooser = Chooser(
            self.directory,
            failure_domain=settings.failure_domain,
            peers=peer_load,
            cold_shares=self.cold_shares,
            rate_limits=self.rate_limits,
            cost_terms=(SilentReplicaCost(self.hedging.silent),),
        )
        self.reach = ReachTask(
            clock=clock,
            pool=pool,
            directory=self.directory,
            peers=aggregators.all_addresses,
        )
        self.notices = NoticeTask(
            clock=clock, directory=self.directory, peers=aggregators.all_addresses
        )

    def set_nodes(self, names: Collection[str]) -> None:
        """Set the names of all nodes, which share the limits of the replicas."""
        self.cold_shares.set_nodes(names)
        self.rate_limits.set_nodes(names)

    def use(self, link: PeerLink) -> None:
        """Send and receive messages over a link from now on."""
        self.reach.use(link)
        self.notices.use(link)

    def gauges(self) -> dict[str, int]:
        """Return how many replicas there are, and how many get fewer or no requests."""
        now_ms, states = self._clock.now_ms(), self.directory.all()
        backpressures = [state.backpressure for state in states]
        return {
            "replicas": len(self.directory),
            "cold_replicas": sum(state.is_cold(now_ms) for state in states),
            "cold_sends_total": self.cold_shares.granted,
            "leaving_replicas": sum(state.is_leaving for state in states),
            "limited_replicas": sum(
                x.limit.per_second is not None for x in backpressures
            ),
            "resting_replicas": sum(x.backoff_ms(now_ms) > 0 for x in backpressures),
            "evacuated_failure_domains": len(self.directory.evacuated),
            "unreachable_failure_domains": len(self.directory.unreachable),
            "silent_replicas": self.hedging.silent.count(now_ms),
            "second_sends_total": self.hedging.second_sends.made,
            "second_sends_won_total": self.hedging.second_sends.won,
            "second_sends_cancelled_total": self.hedging.second_sends.cancelled,
        }
