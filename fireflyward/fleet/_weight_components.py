"""The components of a node that decide which weights may serve."""

from fireflyward.aggregators import Aggregators
from fireflyward.backing import Position
from fireflyward.clock import Clock
from fireflyward.feeds import TableUpdate
from fireflyward.forwarding import WaitingSends, WeightVersions, WithdrawalTask
from fireflyward.leases import LeaseRow
from fireflyward.peers import PeerLink
from fireflyward.platform import StoreClient
from fireflyward.replacements import ReplacementRows, ReplacementTask
from fireflyward.replicas import ReplicaDirectory
from fireflyward.supervision import Run

from ._peers import NODE_TABLE, NodeRegistry

_DUTY = "replacements"


class WeightComponents:
    """Creates and connects the components that know the age of replaced weights."""

    def __init__(
        self,
        *,
        clock: Clock,
        version_ms: int,
        directory: ReplicaDirectory,
        store: StoreClient,
        aggregators: Aggregators,
        registry: NodeRegistry,
    ) -> None:
        self._directory = directory
        self.versions = WeightVersions(version_ms=version_ms)
        self.waiting = WaitingSends()
        self._withdrawals = WithdrawalTask(
            clock=clock, weights=self.versions, sends=self.waiting
        )
        history = self.versions.history
        self._rows = ReplacementRows(history, store=store, table=NODE_TABLE)
        self._replacements = ReplacementTask(
            history,
            self._rows,
            clock=clock,
            addresses=aggregators.all_addresses,
            is_among_first=lambda count: registry.is_among_first(count, _DUTY),
            place=lambda: registry.place(_DUTY),
            has_older_weights=self._has_older_weights,
        )

    def use(self, link: PeerLink) -> None:
        """Ask and answer other nodes over a link from now on."""
        self._replacements.use(link)

    def runs(self) -> tuple[tuple[str, Run], ...]:
        """Return what to run until the node stops, with the names of the tasks."""
        return (
            ("replacements", self._replacements.run),
            ("withdrawals", self._withdrawals.run),
        )

    def on_named(self, model: str, position: Position) -> None:
        """Handle a version that was named by a row at a position."""
        self._rows.on_named(model, position)
        self._replacements.on_named(model)

    def on_lease_row(self, row: LeaseRow, position: Position) -> None:
        """Use the time in the row of the lease."""
        self._rows.on_dated_row(position, row.store_ms)

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the nodes' table."""
        self._rows.on_table_update(update)

    def gauges(self) -> dict[str, int]:
        """Return the values of the metrics."""
        return {
            "sends_on_older_weights_total": self.versions.older_sends.total,
            "requests_withdrawn_total": self._withdrawals.withdrawn,
            "replacement_ages_asked_total": self._replacements.asked,
            "replacement_ages_unknown": sum(
                map(self._replacements.is_unknown, self.versions.targets())
            ),
        }

    def _has_older_weights(self, model: str) -> bool:
        newest = self.versions.newest(model)
        return newest is not None and any(
            state.version_by_model.get(model, newest) < newest
            for state in self._directory.all()
        )
