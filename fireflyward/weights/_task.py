"""The task of the one node that orders replicas to load weights."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from fireflyward.clock import Clock
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import Gained, LeaseTask, Lost
from fireflyward.platform import ReplicaApi, ReplicaReport
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._load_times import LoadTimes
from ._news import LoadNews
from ._plan import Order, RolloutView, WeightPlan

log = logging.getLogger("fireflyward.weights")

_PERIOD_MS = 100
# Whoever holds no lease looks less often whether it does; a new holder may order only
# after longer than this. A wake-up is some 0.1 ms of processor time at every node.
_IDLE_PERIOD_MS = 400
# A holder orders only within this part of the lease after it renewed it, and renews it
# for the purpose: the sooner its last order is known to be past, the sooner the next
# holder may order. With a long one a rollout stands still after its holder is lost.
_FRESH_SHARE = 0.1
# News, a report and an order take some 60 ms; a window shorter than this would close
# before them. It is never more than a third of the lease.
_LEAST_FRESH_MS = 250.0
_MOST_FRESH_SHARE = 1 / 3
# While a rollout is under way other nodes look for a lapsed lease this often, so that
# one whose holder is lost goes on half a second sooner.
_LOOK_MS = 400
_LOOKS_PER_LEASE = 3
_REPORT_MS = 400
_ORDER_MS = 800
# Time for the news to reach the other nodes before the replica turns away what
# they send.
_NEWS_MS = 40
# How long others keep away from a replica of which no further word comes.
_LOADING_MS = 5_000
# A replica that is ready and gets nothing is capacity lost, so looks come soon after
# each other.
_LOOK_PERIOD_MS = 80
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
        weights: WeightVersions,
        news: LoadNews,
        busy_ms: Callable[[int, ReplicaState], float],
        node: str,
        lease_ms: int,
        slack_ms: int,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._api = api
        self._directory = directory
        self._weights = weights
        self._news = news
        self._busy_ms = busy_ms
        self._node = node
        self._lease_ms = lease_ms
        self._slack_ms = slack_ms
        self._plan = WeightPlan()
        self._load_times = LoadTimes()
        self._may_order_at_ms = 0
        self._loads: set[asyncio.Task[None]] = set()

    def on_change(self, change: Gained | Lost) -> None:
        """Hear of a lease gained or lost."""
        if not isinstance(change, Gained):
            return
        self._plan.forget()
        wait_ms = self._lease_ms + self._slack_ms
        if change.claim.fencing == 1:
            wait_ms = 0
        elif change.claim.after_expiry:
            # The last holder stopped a tenth of a lease after its last renewal,
            # and that was a whole lease ago.
            wait_ms = int(self._fresh_ms) + self._slack_ms
        self._may_order_at_ms = self._clock.now_ms() + wait_ms
        log.info("weights: may order in %d ms", wait_ms)

    async def run(self) -> None:
        """Give the orders that are due, until cancelled."""
        while True:
            holds = self._lease.claim() is not None
            await self._clock.sleep_ms(_PERIOD_MS if holds else _IDLE_PERIOD_MS)
            self._order_due()

    def _fencing(self) -> int | None:
        """Return the fencing token to order with, None if none may be given now."""
        now_ms = self._clock.now_ms()
        claim = self._lease.claim()
        if claim is None or now_ms < self._may_order_at_ms:
            return None
        if claim.until_ms - now_ms < self._lease_ms - self._fresh_ms:
            return None
        return claim.fencing

    @property
    def _fresh_ms(self) -> float:
        """Return how long after a renewal an order may be given."""
        longest_ms = self._lease_ms * _MOST_FRESH_SHARE
        return min(longest_ms, max(_LEAST_FRESH_MS, self._lease_ms * _FRESH_SHARE))

    def look_ms(self) -> float:
        """Return how long to wait for the next look at the lease."""
        usual_ms = self._lease_ms // _LOOKS_PER_LEASE
        return min(_LOOK_MS, usual_ms) if self._models_behind() else usual_ms

    def _order_due(self) -> None:
        now_ms = self._clock.now_ms()
        if self._lease.claim() is None or now_ms < self._may_order_at_ms:
            return
        target_by_model = self._weights.targets()
        for model in self._models_behind():
            version = target_by_model[model]
            views = self._views(now_ms, model)
            orders = self._plan.next(now_ms, model, version, views)
            if orders and self._fencing() is None:
                self._lease.request_renewal()
                return
            for order in orders:
                self._plan.on_begun(now_ms, order)
            if orders:
                self._spawn(self._begin(model, version, orders))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        load = asyncio.create_task(work)
        self._loads.add(load)
        load.add_done_callback(self._loads.discard)

    async def _begin(self, model: str, version: int, orders: list[Order]) -> None:
        """Have every node keep away from the replicas, and order them."""
        replicas = [order.number for order in orders]
        await self._news.loading(replicas, model, version, _LOADING_MS)
        await self._clock.sleep_ms(_NEWS_MS)
        for order in orders:
            self._spawn(self._load(order))

    def _models_behind(self) -> set[str]:
        """Return the models of which some replica has older weights than named.

        It is asked for all the time and looks at each replica once; how busy they
        are, which takes 10 us for each, is worked out only when one is behind.
        """
        target_by_model = self._weights.targets()
        return {
            model
            for state in self._directory.all()
            if not state.is_leaving
            for model, version in state.version_by_model.items()
            if version < target_by_model.get(model, version)
        }

    def _views(self, now_ms: int, model: str) -> list[RolloutView]:
        views = []
        least = self._weights.min_version(now_ms, model)
        evacuated = self._directory.evacuated
        for state in self._directory.all():
            version = state.version_by_model.get(model)
            if version is not None and not state.is_leaving:
                entry = state.entry
                views.append(
                    RolloutView(
                        entry.incarnation,
                        state.number,
                        entry.address,
                        version,
                        self._busy_ms(now_ms, state),
                        may_serve=version >= least,
                        is_evacuated=entry.failure_domain in evacuated,
                    )
                )
        return views

    async def _load(self, order: Order) -> None:
        """Order one replica and see it through."""
        report = await self._api.report(
            order.address, order.incarnation, limit_ms=_REPORT_MS
        )
        if report is None:
            self._unreached(order, "no report")
            return
        if self._is_over(order, report):
            self._unreached(order, "started again")
            return
        has_it = report.version_by_model.get(order.model) == order.version
        if not has_it and not report.is_loading:
            if not await self._order(order, report.orders):
                self._unreached(order, "not ordered")
                return
        await self._see_through(order)

    def _is_over(self, order: Order, report: ReplicaReport) -> bool:
        """Tell whether the start that was ordered is over.

        What another start under the same name reports says nothing of this one: its
        count of orders begins anew, and it gets orders of its own once it is listed.
        """
        state = self._directory.find_start(order.number)
        if state is None:
            return True
        started_ms = state.entry.started_ms
        return bool(report.started_ms) and report.started_ms != started_ms

    def _unreached(self, order: Order, why: str) -> None:
        log.info("weights: %s not reached: %s", order.incarnation, why)
        self._plan.on_unreached(self._clock.now_ms(), order)

    async def _order(self, order: Order, orders_seen: int) -> bool:
        """Give the order; return False if the replica surely has not taken it."""
        fencing = self._fencing()
        if fencing is None:
            return False
        result = await self._api.order_weights(
            order.address,
            order.incarnation,
            model=order.model,
            version=order.version,
            mode=_MODE,
            holder=self._node,
            fencing=fencing,
            orders_seen=orders_seen,
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
        return result.is_accepted or not result.is_known

    async def _see_through(self, order: Order) -> None:
        """Look at the replica's reports until it has the weights."""
        ordered_ms = self._clock.now_ms()
        await self._clock.sleep_ms(self._load_times.first_look_ms)
        while self._plan.is_loading(self._clock.now_ms(), order):
            await self._clock.sleep_ms(_LOOK_PERIOD_MS)
            report = await self._api.report(
                order.address, order.incarnation, limit_ms=_REPORT_MS
            )
            if report is None or report.is_loading:
                continue
            if self._is_over(order, report):
                return
            if report.version_by_model.get(order.model) == order.version:
                await self._news.loaded(order.number, order.model, order.version)
                self._load_times.on_loaded(self._clock.now_ms() - ordered_ms)
                self._plan.on_done(order)
                self._order_due()
                return
