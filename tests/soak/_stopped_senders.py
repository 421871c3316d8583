"""Nodes that stand still after they sent requests that wait at engines."""

import asyncio

from ._standstills import OrderFault, Standstills

_NAMED_S = 1.0
_HOLD_FROM_S = _NAMED_S + 7.2
_HELD_S = 7.0
_HOLDS_FOR_S = 9.0
_STOP_FROM_S = _HOLD_FROM_S + 0.5
_STANDSTILL_S = 9.0
# The first of them are lost before the standstill, the rest after it.
_LOST_ORDERS = 8


class StoppedSenders(Standstills):
    """All engines keep older weights and hold requests; then all nodes stand still."""

    def _draw_faults(self):
        yield self._name_version
        yield self._lose_orders
        yield self._hold_requests
        yield self._stop_all

    async def _name_version(self):
        await asyncio.sleep(_NAMED_S)
        self._fleet.name_version()

    async def _lose_orders(self):
        for engine in self._fleet.engines():
            engine.order_faults = [OrderFault.LOST] * _LOST_ORDERS
            engine.loading_s = 2.0

    async def _hold_requests(self):
        await asyncio.sleep(_HOLD_FROM_S)
        for engine in self._fleet.engines():
            engine.hold_s = _HELD_S
        await asyncio.sleep(_HOLDS_FOR_S)
        for engine in self._fleet.engines():
            engine.hold_s = 0.0

    async def _stop_all(self):
        await asyncio.sleep(_STOP_FROM_S)
        async with asyncio.TaskGroup() as group:
            for node in self._fleet.nodes:
                group.create_task(self._stop(node, 0.0, _STANDSTILL_S))
