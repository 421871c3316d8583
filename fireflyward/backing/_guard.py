"""Platform clients with deadlines, call budgets and circuit breakers."""

import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from fireflyward.clock import Clock
from fireflyward.connections import within
from fireflyward.observe import Metrics

from ._breaker import Breaker
from ._budget import Budget
from ._messages import (
    Committed,
    Conflict,
    Missing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
    VmList,
)
from ._protocols import Objects, Table, Vms, Weights

log = logging.getLogger("fireflyward.backing")

_DEADLINE_MS = 2_500
T = TypeVar("T")


class Guard:
    """Protects one service with a circuit breaker, call budgets and a deadline.

    A call that the guard does not send returns ``Unavailable`` at once, and nothing
    has been written. A write that exceeds its deadline returns ``Uncertain``, because
    the service may have applied it.
    """

    __slots__ = ("_breaker", "_clock", "_metrics", "_name", "_reads", "_writes")

    def __init__(
        self,
        name: str,
        *,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        reads: Budget,
        writes: Budget | None = None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._breaker = Breaker(rng)
        self._reads = reads
        self._writes = writes or reads

    def __repr__(self) -> str:
        return f"Guard({self._name!r}, is_open={self._breaker.is_open})"

    async def read(self, request: Callable[[], Awaitable[T]]) -> T | Unavailable:
        """Make a call without side effects."""
        return await self._call(request, self._reads, Unavailable)

    async def write(
        self, request: Callable[[], Awaitable[T]]
    ) -> T | Unavailable | Uncertain:
        """Make a call that may take effect even if no answer arrives."""
        return await self._call(request, self._writes, Uncertain)

    async def _call(
        self,
        request: Callable[[], Awaitable[T]],
        budget: Budget,
        timeout_result: Callable[[str], Unavailable | Uncertain],
    ) -> T | Unavailable | Uncertain:
        rejection = await self._wait_for_turn(budget)
        if rejection:
            self._count("refused")
            return rejection
        try:
            result = await within(self._clock, _DEADLINE_MS, request())
        except TimeoutError:
            result = timeout_result(f"{self._name}: no answer within {_DEADLINE_MS} ms")
        self._record_result(result)
        return result

    async def _wait_for_turn(self, budget: Budget) -> Unavailable | None:
        now_ms = self._clock.now_ms()
        if not self._breaker.may_call(now_ms):
            return Unavailable(
                f"{self._name}: unavailable, not called until the next probe"
            )
        wait_ms = budget.reserve(now_ms)
        if wait_ms is None:
            return Unavailable(f"{self._name}: this node has used its share of calls")
        if wait_ms:
            await self._clock.sleep_ms(wait_ms)
        return None

    def _record_result(self, result: object) -> None:
        now_ms = self._clock.now_ms()
        if isinstance(result, Unavailable | Uncertain):
            self._count("failed")
            if self._breaker.on_failure(now_ms):
                log.warning("platform: %s is away", self._name)
            return
        self._count("answered")
        if self._breaker.on_success(now_ms):
            self._reads.begin_ramp(now_ms)
            self._writes.begin_ramp(now_ms)
            log.warning("platform: %s is back", self._name)

    def _count(self, result: str) -> None:
        self._metrics.count("platform_calls_total", service=self._name, result=result)


class GuardedTable:
    """The table service behind a guard."""

    __slots__ = ("_guard", "_table")

    def __init__(self, table: Table, guard: Guard) -> None:
        self._table = table
        self._guard = guard

    async def get(self, key: str) -> Row | Missing | Unavailable:
        return await self._guard.read(lambda: self._table.get(key))

    async def scan(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        return await self._guard.read(lambda: self._table.scan(prefix))

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] = (),
        era: int = 0,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        return await self._guard.write(
            lambda: self._table.commit(
                expected=expected, puts=puts, deletes=deletes, era=era
            )
        )


class GuardedObjects:
    """The object store behind a guard."""

    __slots__ = ("_guard", "_objects")

    def __init__(self, objects: Objects, guard: Guard) -> None:
        self._objects = objects
        self._guard = guard

    async def get(self, name: str) -> bytes | Missing | Unavailable:
        return await self._guard.read(lambda: self._objects.get(name))

    async def put(self, name: str, body: bytes) -> Stored | Unavailable | Uncertain:
        return await self._guard.write(lambda: self._objects.put(name, body))


class GuardedWeights:
    """The weight store's list behind a guard."""

    __slots__ = ("_guard", "_weights")

    def __init__(self, weights: Weights, guard: Guard) -> None:
        self._weights = weights
        self._guard = guard

    async def versions(self) -> dict[str, tuple[str, ...]] | Unavailable:
        return await self._guard.read(self._weights.versions)


class GuardedVms:
    """The list of VMs behind a guard."""

    __slots__ = ("_guard", "_vms")

    def __init__(self, vms: Vms, guard: Guard) -> None:
        self._vms = vms
        self._guard = guard

    async def list(self) -> VmList | Unavailable:
        return await self._guard.read(self._vms.list)
