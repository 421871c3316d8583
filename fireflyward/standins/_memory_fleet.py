"""Replicas of one deployment in memory, as a rollout's driver sees them."""

from collections.abc import Iterable, Mapping

from fireflyward.clock import Clock
from fireflyward.upstreams import Broken, EngineOrder, EngineState, OrderResult

from ._engine_model import EngineCosts, EngineModel
from ._engine_orders import EngineOrders, WeightSource

_CALL_MS = 0


class MemoryOrderedEngine:
    """One replica's orders without a network; a call takes ``call_ms`` each way.

    ``hold_orders`` keeps orders on their way until ``let_go`` delivers them.
    """

    def __init__(self, orders: EngineOrders, clock: Clock) -> None:
        self.orders = orders
        self.call_ms = _CALL_MS
        self.hold_orders = False
        self._clock = clock
        self._held: list[EngineOrder] = []

    async def send_order(self, order: EngineOrder) -> OrderResult:
        await self._clock.sleep_ms(self.call_ms)
        if self.hold_orders:
            self._held.append(order)
            return Broken(True, "no answer yet")
        result = self.orders.take(self._clock.now_ms(), order)
        await self._clock.sleep_ms(self.call_ms)
        return result

    async def state(self) -> EngineState | Broken:
        await self._clock.sleep_ms(self.call_ms)
        result = self.orders.state(self._clock.now_ms())
        await self._clock.sleep_ms(self.call_ms)
        return result

    def let_go(self) -> list[OrderResult]:
        """Deliver the orders that were kept on their way."""
        held, self._held = self._held, []
        self.hold_orders = False
        return [self.orders.take(self._clock.now_ms(), order) for order in held]


class MemoryFleet:
    """Replicas that share one weight store."""

    def __init__(
        self,
        clock: Clock,
        names: Iterable[str],
        version_by_model: Mapping[str, str],
        *,
        honours_fencing: bool = True,
        costs: EngineCosts | None = None,
    ) -> None:
        self.weights = WeightSource()
        self.orders_by_name = {
            name: EngineOrders(
                EngineModel(dict(version_by_model), costs or EngineCosts()),
                weights=self.weights,
                honours_fencing=honours_fencing,
            )
            for name in names
        }
        self.engine_by_name = {
            name: MemoryOrderedEngine(orders, clock)
            for name, orders in self.orders_by_name.items()
        }

    def serving(self, now_ms: float, model: str, version: str = "") -> int:
        """Count the replicas that take new runs of a model, at one version or any."""
        count = 0
        for orders in self.orders_by_name.values():
            state = orders.state(now_ms)
            if isinstance(state, Broken) or model not in state.version_by_model:
                continue
            count += version in ("", state.version_by_model[model])
        return count
