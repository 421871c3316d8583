"""Replicas of one deployment in memory, for tests of rollouts."""

from collections.abc import Iterable, Mapping

from fireflyward.clock import Clock
from fireflyward.upstreams import Broken, EngineOrder, EngineState, OrderResult

from ._engine_model import EngineCosts, EngineModel
from ._engine_orders import EngineOrders, WeightSource

_DEFAULT_ONE_WAY_MS = 0


class MemoryOrderedEngine:
    """A client for one replica's orders without a network.

    Requests and answers take ``one_way_ms`` each. ``hold_orders`` delays new orders
    until ``deliver_held_orders`` is called.
    """

    def __init__(self, orders: EngineOrders, clock: Clock) -> None:
        self.orders = orders
        self.one_way_ms = _DEFAULT_ONE_WAY_MS
        self.hold_orders = False
        self._clock = clock
        self._held_orders: list[EngineOrder] = []

    async def send_order(self, order: EngineOrder) -> OrderResult:
        await self._clock.sleep_ms(self.one_way_ms)
        if self.hold_orders:
            self._held_orders.append(order)
            return Broken(True, "no answer yet")
        result = self.orders.handle_order(self._clock.now_ms(), order)
        await self._clock.sleep_ms(self.one_way_ms)
        return result

    async def state(self) -> EngineState | Broken:
        await self._clock.sleep_ms(self.one_way_ms)
        result = self.orders.state(self._clock.now_ms())
        await self._clock.sleep_ms(self.one_way_ms)
        return result

    def deliver_held_orders(self) -> list[OrderResult]:
        """Deliver the delayed orders, and return their results."""
        held_orders, self._held_orders = self._held_orders, []
        self.hold_orders = False
        return [
            self.orders.handle_order(self._clock.now_ms(), order)
            for order in held_orders
        ]


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

    def count_serving(self, now_ms: float, model: str, version: str = "") -> int:
        """Count the replicas that accept new runs of a model.

        An empty ``version`` counts all versions.
        """
        count = 0
        for orders in self.orders_by_name.values():
            state = orders.state(now_ms)
            if isinstance(state, Broken) or model not in state.version_by_model:
                continue
            count += version in ("", state.version_by_model[model])
        return count
