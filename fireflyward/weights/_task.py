"""The task of the one node that orders replicas to load weights."""

import asyncio
import logging

from fireflyward.clock import Clock
from fireflyward.forwarding import WeightBook
from fireflyward.leases import Gained, LeaseTask, Lost
from fireflyward.platform import ReplicaApi
from fireflyward.replicas import ReplicaDirectory

from ._plan import Order, RolloutView, WeightPlan

log = logging.getLogger("fireflyward.weights")

_PERIOD_MS = 250
_REPORT_MS = 400
_ORDER_MS = 800
# Runs that have begun end before the load: what they make afterwards would be
# worth nothing, and cancelled ones are computed twice.
_MODE = "wait"


class WeightTask:
    """Orders loads while it holds the lease, and only while that is fresh.

    Replicas that do not check fencing tokens obey whoever speaks. Two holders
    that order within one lease's length of each other would load a replica back
    and forth. So a new holder waits until the last one's orders are that old, and
    a holder stops well before its lease ends.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease: LeaseTask,
        api: ReplicaApi,
        directory: ReplicaDirectory,
        weights: WeightBook,
        node: str,
        lease_ms: int,
        slack_ms: int,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._api = api
        self._directory = directory
        self._weights = weights
        self._node = node
        self._lease_ms = lease_ms
        self._slack_ms = slack_ms
        self._plan = WeightPlan()
        self._may_order_at_ms = 0

    def on_change(self, change: Gained | Lost) -> None:
        """Hear of a lease gained or lost."""
        if not isinstance(change, Gained):
            return
        self._plan.forget()
        wait_ms = self._lease_ms + self._slack_ms
        if change.claim.fencing == 1:
            wait_ms = 0
        elif change.claim.after_lapse:
            # The last holder stopped a third of a lease after its last renewal,
            # and that was a whole lease ago.
            wait_ms = self._lease_ms // 3 + self._slack_ms
        self._may_order_at_ms = self._clock.now_ms() + wait_ms

    async def run(self) -> None:
        """Give the orders that are due, until cancelled."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            if self._fencing() is not None:
                await self._order_due()

    def _fencing(self) -> int | None:
        """Return the fencing token to order with, None if none may be given now."""
        now_ms = self._clock.now_ms()
        claim = self._lease.claim()
        if claim is None or now_ms < self._may_order_at_ms:
            return None
        if claim.until_ms - now_ms < self._lease_ms * 2 // 3:
            return None
        return claim.fencing

    async def _order_due(self) -> None:
        now_ms = self._clock.now_ms()
        orders = []
        for model, version in self._weights.targets().items():
            views = self._views(now_ms, model)
            orders += self._plan.next(now_ms, model, version, views)
        await asyncio.gather(*(self._give(order) for order in orders))

    def _views(self, now_ms: int, model: str) -> list[RolloutView]:
        views = []
        for state in self._directory.all():
            version = state.entry.version_of(model)
            if version is not None and not state.entry.is_leaving:
                entry = state.entry
                views.append(
                    RolloutView(
                        entry.incarnation, entry.address, version, state.load_at(now_ms)
                    )
                )
        return views

    async def _give(self, order: Order) -> None:
        report = await self._api.report(
            order.address, order.incarnation, limit_ms=_REPORT_MS
        )
        if report is None:
            self._plan.on_ordered(self._clock.now_ms(), order, is_certain=False)
            return
        if (
            report.is_loading
            or report.version_by_model.get(order.model) == order.version
        ):
            self._plan.on_ordered(self._clock.now_ms(), order, is_certain=False)
            return
        fencing = self._fencing()
        if fencing is None:
            return
        result = await self._api.order_weights(
            order.address,
            order.incarnation,
            model=order.model,
            version=order.version,
            mode=_MODE,
            holder=self._node,
            fencing=fencing,
            orders_seen=report.orders,
            limit_ms=_ORDER_MS,
        )
        log.info(
            "weights: %s ordered to %s version %d, token %d: %s",
            order.incarnation,
            order.model,
            order.version,
            fencing,
            result.detail,
        )
        if result.is_accepted or not result.is_known:
            self._plan.on_ordered(
                self._clock.now_ms(), order, is_certain=result.is_accepted
            )
