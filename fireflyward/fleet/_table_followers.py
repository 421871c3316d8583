"""Follows the platform's tables that a node serves requests by."""

from collections.abc import Callable

from fireflyward.aggregators import Aggregators
from fireflyward.clock import Clock
from fireflyward.feeds import FeedFollower, Pace, SharedTables, TableUpdate
from fireflyward.platform import CONFIGURATION_TABLE, REPLICA_TABLE, StoreClient
from fireflyward.supervision import Run

from ._lost_rows import LostRowRecovery
from ._paces import configuration_pace, replicas_pace
from ._start_gate import StartGate

Listener = Callable[[TableUpdate], None]


class TableFollowers:
    """Follows the configuration and the list of replicas, and caches their updates.

    A follower also opens the start gate once the node is ready.
    """

    def __init__(
        self,
        tables: SharedTables,
        *,
        clock: Clock,
        store: StoreClient,
        aggregators: Aggregators,
        gate: StartGate,
        is_ready: Callable[[], bool],
        drain_ms: Callable[[], int],
        config_apply_ms: Callable[[], int],
        on_configuration: Listener,
        on_replicas: Listener,
    ) -> None:
        self._tables = tables
        self._store = store
        self._aggregators = aggregators
        self._gate = gate
        self._is_ready = is_ready
        self._drain_ms = drain_ms
        self._config_apply_ms = config_apply_ms
        self._lost_rows = LostRowRecovery(
            CONFIGURATION_TABLE,
            tables=tables,
            clock=clock,
            on_update=on_configuration,
        )
        self._followers = (
            FeedFollower(
                CONFIGURATION_TABLE,
                reader=tables,
                clock=clock,
                on_update=self._caching_listener(
                    CONFIGURATION_TABLE, self._lost_rows.on_table_update
                ),
                pace=self._configuration_pace,
            ),
            FeedFollower(
                REPLICA_TABLE,
                reader=tables,
                clock=clock,
                on_update=self._caching_listener(REPLICA_TABLE, on_replicas),
                pace=self._replicas_pace,
            ),
        )

    def runs_after_joining(self) -> list[tuple[str, Run]]:
        """Return what to run once this node has joined, with the names of the tasks."""
        return [(f"table {item.table}", item.run) for item in self._followers]

    async def recover_lost_rows(self) -> None:
        """Restore rows that a restored store lacks, until cancelled."""
        await self._lost_rows.run()

    def _configuration_pace(self) -> Pace:
        return configuration_pace(
            self._config_apply_ms(),
            is_shared=self._aggregators.are_needed,
            serves_other_nodes=self._tables.serves_other_nodes,
        )

    def _replicas_pace(self) -> Pace:
        return replicas_pace(
            self._drain_ms(),
            is_shared=self._aggregators.are_needed,
            serves_other_nodes=self._tables.serves_other_nodes,
        )

    def _caching_listener(self, table: str, on_update: Listener) -> Listener:
        """Return a listener that caches a table's updates for other nodes.

        It also opens the start gate once the node is ready.
        """
        is_configuration = table == CONFIGURATION_TABLE
        apply_update = self._tables.caching_listener(
            table, on_update, retains_rows=is_configuration
        )

        def record_era_and_apply(update: TableUpdate) -> None:
            # An aggregator may report a new era to this node before the store does.
            self._store.eras.observe(update.position.era)
            apply_update(update)

        return self._gate.opening_listener(
            record_era_and_apply, is_ready=self._is_ready
        )
