"""The task that orders replicas to load weights, on the node with the lease."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from fireflyward.clock import Clock, Standstills
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import Gained, LeaseTask, Lost
from fireflyward.platform import OrderResult, ReplicaApi, ReplicaReport
from fireflyward.replicas import ReplicaDirectory, ReplicaState

from ._announcer import LoadAnnouncer
from ._load_times import LoadTimes
from ._plan import Order, ReplicaView, WeightPlan
from ._progress import OrderProgress

log = logging.getLogger("fireflyward.weights")

_ORDER_PERIOD_MS = 100
# A node without the lease checks less often, since each check costs every node about
# 0.1 ms of CPU time. A new holder may order only after a longer wait than this.
_IDLE_PERIOD_MS = 400
# A holder orders only within this share of the lease after a renewal, and renews the
# lease when it wants to order. The next holder has to wait until this window of the
# last one has passed, so a long window delays a rollout whose holder is lost.
_ORDER_WINDOW_SHARE = 0.1
# An announcement, a report and an order take about 60 ms together and have to fit into
# the window. The window is never longer than a third of the lease.
_MIN_ORDER_WINDOW_MS = 250.0
_MAX_ORDER_WINDOW_SHARE = 1 / 3
# During a rollout the other nodes check this often whether the lease has expired, so
# that a rollout whose holder is lost continues half a second sooner.
_ROLLOUT_LEASE_POLL_MS = 400
_LEASE_POLLS_PER_LEASE = 3
_REPORT_TIMEOUT_MS = 400
_ORDER_TIMEOUT_MS = 800
# A replica that leaves this many orders in a row without response gives its place to
# another one. The nodes avoid it until then.
_MAX_ORDERS_IN_A_ROW = 4
# How often an order that waits for a renewed lease checks it, and for how long.
_RENEWAL_POLL_MS = 50
_RENEWAL_WAIT_MS = 500
# Wait for the announcement to reach the other nodes before the order makes the replica
# reject the requests that they send.
_ANNOUNCEMENT_DELAY_MS = 40
# How long the other nodes avoid a loading replica if they receive no announcement that
# it has loaded.
_LOADING_ASSUMED_MS = 5_000
# Replicas are polled frequently, since a loaded replica gets no requests until a poll
# has shown that it is ready.
_REPORT_POLL_MS = 80
# The replica finishes the requests in flight before it loads: their output after a load
# would be worthless, and cancelled requests would have to be computed again.
_LOAD_MODE = "wait"


class WeightTask:
    """Orders loads while this node holds the lease and has just renewed it.

    Replicas that do not check fencing tokens accept orders from any node. Two holders
    that order within one lease duration of each other could make a replica load two
    versions alternately. So a new holder waits until the last holder's orders are older
    than that, and a holder stops ordering well before its lease expires.

    What a holder knows from before a standstill of its process may be as old as that.
    It gives no order before it has read what arrived meanwhile, and none that was
    decided under an earlier claim or for a version that is not the newest any more.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease: LeaseTask,
        api: ReplicaApi,
        directory: ReplicaDirectory,
        weights: WeightVersions,
        announcer: LoadAnnouncer,
        busy_ms: Callable[[int, ReplicaState], float],
        node: str,
        lease_ms: int,
        slack_ms: int,
        standstills: Standstills,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._api = api
        self._directory = directory
        self._weights = weights
        self._announcer = announcer
        self._busy_ms = busy_ms
        self._node = node
        self._lease_ms = lease_ms
        self._slack_ms = slack_ms
        self._standstills = standstills
        self._claims = 0
        self._plan = WeightPlan()
        self._load_times = LoadTimes()
        self._may_order_at_ms = 0
        self._loads: set[asyncio.Task[None]] = set()

    def on_change(self, change: Gained | Lost) -> None:
        """Handle a lease that was gained or lost."""
        if not isinstance(change, Gained):
            return
        self._claims += 1
        self._plan.clear()
        wait_ms = self._lease_ms + self._slack_ms
        if change.claim.fencing == 1:
            wait_ms = 0
        elif change.claim.after_expiry:
            # The last holder renewed the lease at least one lease duration ago, and
            # stopped ordering one order window after that.
            wait_ms = int(self._order_window_ms) + self._slack_ms
        self._may_order_at_ms = self._clock.now_ms() + wait_ms
        log.info("weights: this node may give orders in %d ms", wait_ms)

    async def run(self) -> None:
        """Give pending orders periodically, until cancelled."""
        while True:
            is_holder = self._lease.claim() is not None
            await self._clock.sleep_ms(
                _ORDER_PERIOD_MS if is_holder else _IDLE_PERIOD_MS
            )
            self._give_pending_orders()

    def _fencing(self) -> int | None:
        """Return the fencing token for an order, None if no order may be given now."""
        now_ms = self._clock.now_ms()
        claim = self._lease.claim()
        if claim is None or now_ms < self._may_order_at_ms:
            return None
        if self._standstills.has_backlog(now_ms):
            return None
        if claim.until_ms - now_ms < self._lease_ms - self._order_window_ms:
            return None
        return claim.fencing

    @property
    def _order_window_ms(self) -> float:
        """Return how long after a renewal an order may be given."""
        max_window_ms = self._lease_ms * _MAX_ORDER_WINDOW_SHARE
        return min(
            max_window_ms,
            max(_MIN_ORDER_WINDOW_MS, self._lease_ms * _ORDER_WINDOW_SHARE),
        )

    def lease_poll_ms(self) -> float:
        """Return how long to wait before the next check of the lease."""
        default_ms = self._lease_ms // _LEASE_POLLS_PER_LEASE
        return (
            min(_ROLLOUT_LEASE_POLL_MS, default_ms)
            if self._outdated_models()
            else default_ms
        )

    def _give_pending_orders(self) -> None:
        now_ms = self._clock.now_ms()
        if self._lease.claim() is None or now_ms < self._may_order_at_ms:
            return
        target_by_model = self._weights.targets()
        for model in self._outdated_models():
            version = target_by_model[model]
            views = self._views(now_ms, model)
            orders = self._plan.next(now_ms, model, version, views)
            if orders and self._fencing() is None:
                self._lease.request_renewal()
                return
            for order in orders:
                self._plan.on_order_started(now_ms, order)
            if orders:
                self._spawn(self._announce_and_order(model, version, orders))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        load = asyncio.create_task(work)
        self._loads.add(load)
        load.add_done_callback(self._loads.discard)

    async def _announce_and_order(
        self, model: str, version: int, orders: list[Order]
    ) -> None:
        """Announce the loads, so that nodes avoid the replicas, then send orders."""
        claims = self._claims
        replicas = [order.incarnation_id for order in orders]
        await self._announcer.announce_loading(
            replicas, model, version, _LOADING_ASSUMED_MS
        )
        await self._clock.sleep_ms(_ANNOUNCEMENT_DELAY_MS)
        for order in orders:
            self._spawn(self._load(order, claims))

    def _outdated_models(self) -> set[str]:
        """Return the models of which some replica has older weights than the target.

        This is called frequently, so it only compares versions. How busy a replica
        is, which takes 10 us to calculate, is needed only when a version is outdated.
        """
        target_by_model = self._weights.targets()
        return {
            model
            for state in self._directory.all()
            if not state.is_leaving
            for model, version in state.version_by_model.items()
            if version < target_by_model.get(model, version)
        }

    def _views(self, now_ms: int, model: str) -> list[ReplicaView]:
        views = []
        min_version = self._weights.min_version(now_ms, model)
        evacuated = self._directory.evacuated
        for state in self._directory.all():
            version = state.version_by_model.get(model)
            if version is not None and not state.is_leaving:
                entry = state.entry
                views.append(
                    ReplicaView(
                        entry.incarnation,
                        state.incarnation_id,
                        entry.address,
                        version,
                        self._busy_ms(now_ms, state),
                        may_serve=version >= min_version,
                        is_evacuated=entry.failure_domain in evacuated,
                    )
                )
        return views

    async def _load(self, order: Order, claims: int) -> None:
        """Order one replica to load, and poll it until it has.

        An order that was lost is repeated as soon as the reports show it. ``claims`` is
        the count of claims under which the order was decided.
        """
        for _ in range(_MAX_ORDERS_IN_A_ROW):
            if claims != self._claims:
                return
            report = await self._report(order)
            if report is None:
                self._on_not_reached(order, "no load report")
                return
            if self._is_replaced(order, report):
                self._on_order_failed(order, "restarted")
                return
            progress = await self._order(order, report, claims)
            if progress is None:
                return
            version = await self._wait_until_loaded(order, progress, claims)
            if version is None:
                return
            self._plan.on_order_started(self._clock.now_ms(), order)
        await self._announce_unchanged(order, version)
        self._on_not_reached(order, "lost")

    async def _order(
        self, order: Order, report: ReplicaReport, claims: int
    ) -> OrderProgress | None:
        """Send the order unless it is being carried out; return None if that failed."""
        now_ms = self._clock.now_ms()
        has_version = report.version_by_model.get(order.model) == order.version
        if has_version or report.is_loading:
            return OrderProgress(
                sent_ms=now_ms,
                orders_seen=report.orders,
                has_response=True,
                was_loading=report.is_loading,
            )
        fencing = await self._wait_for_fencing(claims)
        newest = self._weights.newest(order.model) or 0
        if fencing is None or newest > order.version:
            if claims == self._claims:
                await self._withdraw(order, report)
            return None
        sent_ms = self._clock.now_ms()
        result = await self._send_order(order, report.orders, fencing)
        if result.has_response and not result.is_accepted:
            self._on_order_failed(order, "order not accepted")
            return None
        return OrderProgress(
            sent_ms=sent_ms,
            orders_seen=report.orders,
            has_response=result.has_response,
        )

    async def _withdraw(self, order: Order, report: ReplicaReport) -> None:
        """Give up an order that was not sent; the nodes may use the replica again."""
        log.info("weights: order to %s withdrawn", order.incarnation)
        version = report.version_by_model.get(order.model)
        if version is not None:
            await self._announce_unchanged(order, version)
        self._plan.on_withdrawn(order)

    async def _announce_unchanged(self, order: Order, version: int) -> None:
        """Announce that a replica does not load, unless another node may order it to.

        Otherwise the nodes would avoid it for as long as they assume a load.
        """
        if self._lease.claim() is not None:
            await self._announcer.announce_loaded(
                order.incarnation_id, order.model, version
            )

    async def _wait_for_fencing(self, claims: int) -> int | None:
        """Renew the claim if need be; return None if it may not be used for orders."""
        until_ms = self._clock.now_ms() + _RENEWAL_WAIT_MS
        while claims == self._claims and self._lease.claim() is not None:
            fencing = self._fencing()
            if fencing is not None or self._clock.now_ms() >= until_ms:
                return fencing
            self._lease.request_renewal()
            await self._clock.sleep_ms(_RENEWAL_POLL_MS)
        return None

    async def _report(self, order: Order) -> ReplicaReport | None:
        return await self._api.report(
            order.address, order.incarnation, limit_ms=_REPORT_TIMEOUT_MS
        )

    def _is_replaced(self, order: Order, report: ReplicaReport) -> bool:
        """Return whether the incarnation that the order is for no longer exists.

        The report of a later incarnation with the same name must not be used for this
        order: its count of orders starts at zero again, and it gets orders of its own
        as soon as the list contains it.
        """
        state = self._directory.find_incarnation(order.incarnation_id)
        if state is None:
            return True
        started_ms = state.entry.started_ms
        return bool(report.started_ms) and report.started_ms != started_ms

    def _on_order_failed(self, order: Order, reason: str) -> None:
        log.info("weights: order to %s failed: %s", order.incarnation, reason)
        self._plan.on_order_failed(self._clock.now_ms(), order)

    def _on_not_reached(self, order: Order, reason: str) -> None:
        log.info("weights: %s not reached by orders: %s", order.incarnation, reason)
        self._plan.on_not_reached(self._clock.now_ms(), order)

    async def _send_order(
        self, order: Order, orders_seen: int, fencing: int
    ) -> OrderResult:
        result = await self._api.order_weights(
            order.address,
            order.incarnation,
            model=order.model,
            version=order.version,
            mode=_LOAD_MODE,
            holder=self._node,
            fencing=fencing,
            orders_seen=orders_seen,
            limit_ms=_ORDER_TIMEOUT_MS,
        )
        log.info(
            "weights: %s ordered to %s version %d, token %d: %s",
            order.incarnation,
            order.model,
            order.version,
            fencing,
            result.detail,
        )
        return result

    async def _wait_until_loaded(
        self, order: Order, progress: OrderProgress, claims: int
    ) -> int | None:
        """Poll the replica until it has the ordered weights.

        If it does not load them, return the version that it has, else None.
        """
        ordered_ms = self._clock.now_ms()
        await self._clock.sleep_ms(
            progress.first_poll_ms(ordered_ms, self._load_times.first_poll_ms)
        )
        while self._plan.is_loading(self._clock.now_ms(), order):
            await self._clock.sleep_ms(_REPORT_POLL_MS)
            asked_ms = self._clock.now_ms()
            report = await self._report(order)
            if claims != self._claims:
                return None
            if report is None:
                continue
            if self._is_replaced(order, report):
                return None
            version = report.version_by_model.get(order.model)
            if version == order.version and not report.is_loading:
                await self._announcer.announce_loaded(
                    order.incarnation_id, order.model, order.version
                )
                self._load_times.on_loaded(self._clock.now_ms() - ordered_ms)
                self._plan.on_loaded(order)
                self._give_pending_orders()
                return None
            if progress.has_failed(asked_ms, report):
                return version or 0
        return None
