"""Decides which replicas are ordered to load new weights now."""

import math
from dataclasses import dataclass

# Share of a model's replicas that may load at once. The others serve all requests
# meanwhile, and loads are slower when more replicas load at once. With this share,
# three rounds of loads fit into the time that a deployment allows for a version.
_LOADING_SHARE = 0.4
# An ordered replica that no longer reports holds its place for this time. A load takes
# one to three seconds after the requests in flight before it have finished.
_ORDER_LOST_AFTER_MS = 6_000
# Delay before the next order to a replica that did not accept one.
_RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """One replica of a model, with its state as assumed by this node.

    ``incarnation`` is the replica's name, ``incarnation_id`` identifies one start of
    it. ``busy_ms`` is the estimated time for the prompts that wait at the replica,
    which a load has to wait for. ``may_serve`` says whether the version of its weights
    may serve new requests, ``is_evacuated`` whether its failure domain is evacuated, so
    that it gets no requests whatever its weights.
    """

    incarnation: str
    incarnation_id: int
    address: str
    version: int
    busy_ms: float
    may_serve: bool = True
    is_evacuated: bool = False


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one replica to load one version of a model's weights."""

    incarnation: str
    incarnation_id: int
    address: str
    model: str
    version: int


class WeightPlan:
    """Decides on orders and tracks those given under one lease claim; no I/O.

    >>> plan = WeightPlan()
    >>> views = [ReplicaView(f"r{i}", i, "", 1, 0.0) for i in range(3)]
    >>> [order.incarnation for order in plan.next(0, "m", 2, views)]
    ['r0']
    """

    __slots__ = (
        "_failures_by_incarnation",
        "_next_order_ms_by_incarnation",
        "_retry_ms_by_incarnation",
    )

    def __init__(self) -> None:
        self._next_order_ms_by_incarnation: dict[int, int] = {}
        self._retry_ms_by_incarnation: dict[int, int] = {}
        self._failures_by_incarnation: dict[int, int] = {}

    def next(
        self, now_ms: int, model: str, version: int, views: list[ReplicaView]
    ) -> list[Order]:
        """Return the orders to give now: oldest weights first, then the least busy.

        Replicas that orders or reports did not reach come last. Otherwise they would
        get each free place again, while the others wait.

        Only a share of the replicas loads at once, so that the others keep serving. A
        replica whose weights are too old to serve is ordered regardless of the share:
        after the lease holder has changed, a rollout would otherwise continue round by
        round while most replicas may not serve at all.

        Replicas of an evacuated failure domain are ordered first. The share is one of
        the other replicas alone: if it included the evacuated ones, most of the
        replicas that still serve might load at once.
        """
        outdated = [view for view in views if view.version < version]
        waiting = [
            view
            for view in outdated
            if self._may_be_ordered(now_ms, view.incarnation_id)
        ]
        loading = [
            view for view in outdated if self._has_place(now_ms, view.incarnation_id)
        ]
        evacuated = [view for view in waiting if view.is_evacuated]
        waiting_elsewhere = [view for view in waiting if not view.is_evacuated]
        not_serving = [view for view in waiting_elsewhere if not view.may_serve]
        serving = [view for view in waiting_elsewhere if view.may_serve]
        serving.sort(
            key=lambda view: (
                self._failures_by_incarnation.get(view.incarnation_id, 0),
                view.version,
                view.busy_ms,
            )
        )
        views_elsewhere = [view for view in views if not view.is_evacuated]
        free_slots = min(
            _max_loading(views_elsewhere)
            - sum(not view.is_evacuated for view in loading),
            _max_loading(views) - len(loading) - len(evacuated),
        )
        chosen = (
            evacuated + not_serving + serving[: max(0, free_slots - len(not_serving))]
        )
        return [
            Order(view.incarnation, view.incarnation_id, view.address, model, version)
            for view in chosen
        ]

    def on_order_started(self, now_ms: int, order: Order) -> None:
        """Record that an order is about to be sent."""
        self._next_order_ms_by_incarnation[order.incarnation_id] = (
            now_ms + _ORDER_LOST_AFTER_MS
        )

    def on_order_failed(self, now_ms: int, order: Order) -> None:
        """Record that a replica did not accept an order, so others may be ordered."""
        self._next_order_ms_by_incarnation[order.incarnation_id] = (
            now_ms + _RETRY_AFTER_MS
        )

    def on_not_reached(self, now_ms: int, order: Order) -> None:
        """Record that a replica does not load, and that another may have its place."""
        incarnation_id = order.incarnation_id
        failures = self._failures_by_incarnation.get(incarnation_id, 0)
        self._failures_by_incarnation[incarnation_id] = failures + 1
        self._retry_ms_by_incarnation[incarnation_id] = now_ms + _RETRY_AFTER_MS
        self._next_order_ms_by_incarnation.pop(incarnation_id, None)

    def on_withdrawn(self, order: Order) -> None:
        """Record that an order was not sent, and that another one may be given."""
        self._next_order_ms_by_incarnation.pop(order.incarnation_id, None)

    def on_loaded(self, order: Order) -> None:
        """Record that a replica has loaded the ordered weights."""
        self._next_order_ms_by_incarnation.pop(order.incarnation_id, None)
        self._failures_by_incarnation.pop(order.incarnation_id, None)

    def is_loading(self, now_ms: int, order: Order) -> bool:
        """Return whether an order is still in progress."""
        return self._has_place(now_ms, order.incarnation_id)

    def clear(self) -> None:
        """Forget all orders: a new holder starts from the list of replicas alone."""
        self._next_order_ms_by_incarnation.clear()
        self._retry_ms_by_incarnation.clear()
        self._failures_by_incarnation.clear()

    def _has_place(self, now_ms: int, incarnation_id: int) -> bool:
        return now_ms < self._next_order_ms_by_incarnation.get(incarnation_id, 0)

    def _may_be_ordered(self, now_ms: int, incarnation_id: int) -> bool:
        retry_ms = self._retry_ms_by_incarnation.get(incarnation_id, 0)
        return now_ms >= retry_ms and not self._has_place(now_ms, incarnation_id)


def _max_loading(views: list[ReplicaView]) -> int:
    """Return how many of the given replicas may load at once."""
    return max(1, math.floor(len(views) * _LOADING_SHARE))
