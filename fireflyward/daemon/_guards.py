"""Rate limits and circuit breakers for a node's requests to the platform."""

import random
from collections.abc import Callable

from fireflyward.backing import (
    Budget,
    Guard,
    GuardedObjects,
    GuardedTable,
    GuardedVms,
    GuardedWeights,
    Objects,
    Table,
    Vms,
    Weights,
)
from fireflyward.clock import Clock
from fireflyward.membership import Members, MemberState
from fireflyward.observe import Metrics
from fireflyward.settings import Settings

_LIST_READS_PER_S = 100
_MAX_READ_WAIT_MS = 1_000
# With 350 nodes, each node's share is one write every 1.5 s. With a shorter wait, a
# node that sends its writes one after the other would be rejected although it stays
# within its share.
_MAX_WRITE_WAIT_MS = 2_000


class Guards:
    """Wraps the platform clients of one node; each service has its own breaker."""

    def __init__(
        self, settings: Settings, *, clock: Clock, members: Members, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._nodes = count_nodes(members)

    def table(self, table: Table) -> Table:
        return GuardedTable(table, self._store_guard("table"))

    def objects(self, objects: Objects) -> Objects:
        return GuardedObjects(objects, self._store_guard("objects"))

    def weights(self, weights: Weights) -> Weights:
        return GuardedWeights(weights, self._list_guard("weights"))

    def vms(self, vms: Vms) -> Vms:
        return GuardedVms(vms, self._list_guard("vms"))

    def _store_guard(self, name: str) -> Guard:
        return self._guard(
            name,
            reads=self._budget(self._settings["store_reads_per_s"]),
            writes=self._budget(
                self._settings["store_writes_per_s"],
                max_wait_ms=_MAX_WRITE_WAIT_MS,
            ),
        )

    def _list_guard(self, name: str) -> Guard:
        return self._guard(name, reads=self._budget(_LIST_READS_PER_S))

    def _budget(
        self, per_second: float, *, max_wait_ms: int = _MAX_READ_WAIT_MS
    ) -> Budget:
        return Budget(per_second=per_second, nodes=self._nodes, max_wait_ms=max_wait_ms)

    def _guard(
        self, name: str, *, reads: Budget, writes: Budget | None = None
    ) -> Guard:
        return Guard(
            name,
            clock=self._clock,
            metrics=self._metrics,
            rng=random.Random(),
            reads=reads,
            writes=writes,
        )


def count_nodes(members: Members) -> Callable[[], int]:
    """Return a function that counts the nodes that may be using the platform.

    Nodes of an unreachable failure domain are included: they may be unreachable only
    from this node and may still use their share.
    """
    return lambda: sum(
        member.state is not MemberState.DEAD for member in members.stored_all()
    )
