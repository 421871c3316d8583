"""Puts a guard before each service of the platform that a node asks."""

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
_LONGEST_READ_WAIT_MS = 1_000
# One of 350 nodes has a write every 1.5 s. A node that writes one after the other
# would otherwise be refused though it never asks for more than its share.
_LONGEST_WRITE_WAIT_MS = 2_000


class Guards:
    """Makes the guarded clients of one node, each service with its own breaker."""

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
                max_wait_ms=_LONGEST_WRITE_WAIT_MS,
            ),
        )

    def _list_guard(self, name: str) -> Guard:
        return self._guard(name, reads=self._budget(_LIST_READS_PER_S))

    def _budget(
        self, per_second: float, *, max_wait_ms: int = _LONGEST_READ_WAIT_MS
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
    """Return a count of the nodes that may be asking the platform.

    Nodes of a failure domain that is not heard count too: they may be cut off
    from this one only, and still use their share.
    """
    return lambda: sum(
        member.state is not MemberState.DEAD for member in members.stored_all()
    )
