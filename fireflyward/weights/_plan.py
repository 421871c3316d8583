"""Decides which replicas load new weights now."""

import math
from dataclasses import dataclass

# Of a model's replicas, how many may load at once. The others carry the load
# meanwhile, and loading slows down when many do it; a third keeps three rounds
# within the time that a deployment allows for a version.
_LOADING_SHARE = 1 / 3
# After this long without the new version an order is taken to be lost. A load
# takes one to three seconds after the runs before it have ended.
_LOST_AFTER_MS = 6_000
# An order without an answer is looked into this soon.
_LOOK_AFTER_MS = 700


@dataclass(frozen=True, slots=True)
class RolloutView:
    """One replica of a model, as the list shows it; ``load`` is per slot."""

    incarnation: str
    address: str
    version: int
    load: float


@dataclass(frozen=True, slots=True)
class Order:
    """Order this replica to load this version."""

    incarnation: str
    address: str
    model: str
    version: int


@dataclass(slots=True)
class Loading:
    """An order that was given and is not seen to be done."""

    version: int
    since_ms: int
    is_certain: bool


class WeightPlan:
    """Keeps what was ordered under one claim; no I/O.

    >>> plan = WeightPlan()
    >>> views = [RolloutView(f"r{i}", "", 1, 0.0) for i in range(3)]
    >>> [order.incarnation for order in plan.next(0, "m", 2, views)]
    ['r0']
    """

    __slots__ = ("_loading_by_incarnation",)

    def __init__(self) -> None:
        self._loading_by_incarnation: dict[str, Loading] = {}

    def next(
        self, now_ms: int, model: str, version: int, views: list[RolloutView]
    ) -> list[Order]:
        """Return the orders to give now, the least busy replicas first."""
        self._settle(now_ms, version, views)
        behind = [view for view in views if view.version < version]
        loading = [
            view for view in behind if view.incarnation in self._loading_by_incarnation
        ]
        room = max(1, math.ceil(len(views) * _LOADING_SHARE)) - len(loading)
        waiting = [view for view in behind if view not in loading]
        waiting.sort(key=lambda view: view.load)
        return [
            Order(view.incarnation, view.address, model, version)
            for view in waiting[: max(0, room)]
        ]

    def on_ordered(self, now_ms: int, order: Order, *, is_certain: bool) -> None:
        """Note an order that was accepted, or of which no answer came."""
        self._loading_by_incarnation[order.incarnation] = Loading(
            order.version, now_ms, is_certain
        )

    def forget(self) -> None:
        """Forget everything, as a new holder starts from the list alone."""
        self._loading_by_incarnation.clear()

    def _settle(self, now_ms: int, version: int, views: list[RolloutView]) -> None:
        version_by_incarnation = {view.incarnation: view.version for view in views}
        for name, loading in list(self._loading_by_incarnation.items()):
            limit_ms = _LOST_AFTER_MS if loading.is_certain else _LOOK_AFTER_MS
            done = version_by_incarnation.get(name, version) >= loading.version
            if done or now_ms - loading.since_ms >= limit_ms:
                del self._loading_by_incarnation[name]
