"""The lease of the node that orders weights, and the duties that come with it."""

from collections.abc import Callable

from fireflyward.backing import Position, stored_ms
from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.leases import (
    Gained,
    LeaseAnnouncer,
    LeaseRow,
    LeaseTask,
    Lost,
    Standby,
)
from fireflyward.peers import PeerLink
from fireflyward.platform import LeaseTable, StoreClient
from fireflyward.presence import PresenceTask
from fireflyward.supervision import Run

from ._peers import NodeRegistry

# The number of nodes that contend for the lease. If all nodes did, each would make one
# call per second without announcements. The other nodes are on standby.
_MAX_CONTENDERS = 7
_LEASE = "weights"


class LeaseComponents:
    """Creates and connects the lease, its announcements and the check of the list."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        clock: Clock,
        store: StoreClient,
        registry: NodeRegistry,
        is_stopping: Callable[[], bool],
        can_act: Callable[[], bool],
        on_change: Callable[[Gained | Lost], None],
        on_row_read: Callable[[LeaseRow, Position], None],
        poll_interval_ms: Callable[[], float],
    ) -> None:
        """The last five are called by the lease; see ``LeaseTask``."""
        self._registry = registry
        self._is_stopping = is_stopping
        self.lease = LeaseTask(
            _LEASE,
            clock=clock,
            table=LeaseTable(store),
            holder=settings.node,
            lease_ms=settings.bounds.lease_ms,
            contends=self._contends,
            standby=Standby.with_announcements(
                settings.bounds.lease_ms, place=lambda: registry.place(_LEASE)
            ),
            can_act=can_act,
            on_change=on_change,
            on_row_written=lambda row, position: self._announcer.announce(
                row, position
            ),
            on_row_read=on_row_read,
            store_ms=lambda: stored_ms(store.time, clock.now_ms()),
            poll_interval_ms=poll_interval_ms,
        )
        self._announcer = LeaseAnnouncer(
            self.lease,
            contenders=lambda: registry.addresses_of_first(_MAX_CONTENDERS, _LEASE),
            others=lambda: registry.addresses_after_first(_MAX_CONTENDERS, _LEASE),
        )
        self._presence = PresenceTask(
            clock=clock,
            listed=registry.listed,
            end_rows=registry.end_rows,
            may_act=lambda: self.lease.claim() is not None,
        )

    def use(self, link: PeerLink) -> None:
        """Exchange announcements and questions over a link from now on."""
        self._announcer.use(link)
        self._presence.use(link)

    def runs(self) -> tuple[tuple[str, Run], ...]:
        """Return what to run besides the lease, with the names of the tasks."""
        return (("presence", self._presence.run),)

    def gauges(self) -> dict[str, int]:
        """Return the values of the metrics."""
        return {
            "nodes_listed": len(self._registry.names()),
            "node_rows_ended_total": self._presence.ended,
        }

    def _contends(self) -> bool:
        return not self._is_stopping() and self._registry.is_among_first(
            _MAX_CONTENDERS, _LEASE
        )
