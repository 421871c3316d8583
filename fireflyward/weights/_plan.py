"""Decides which replicas load new weights now."""

import math
from dataclasses import dataclass

# Of a model's replicas, how many may load at once. The others carry the load
# meanwhile, and loading slows down when more than this do it; three rounds fit into
# the time that a deployment allows for a version.
_LOADING_SHARE = 0.4
# After this long without the new version an order is taken to be lost. A load
# takes one to three seconds after the runs before it have ended.
_LOST_AFTER_MS = 6_000
# A replica that could not be reached is tried again this soon.
_AGAIN_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class RolloutView:
    """One replica of a model, as this node sees it; ``number`` is of its start.

    ``busy_ms`` is how long the prompts take that wait there: so long a load has to
    wait for them. ``may_serve`` tells whether its weights may begin on requests, and
    ``is_evacuated`` that it gets none whatever its weights.
    """

    incarnation: str
    number: int
    address: str
    version: int
    busy_ms: float
    may_serve: bool = True
    is_evacuated: bool = False


@dataclass(frozen=True, slots=True)
class Order:
    """Order this replica to load this version."""

    incarnation: str
    number: int
    address: str
    model: str
    version: int


class WeightPlan:
    """Keeps what was ordered under one claim; no I/O.

    >>> plan = WeightPlan()
    >>> views = [RolloutView(f"r{i}", i, "", 1, 0.0) for i in range(3)]
    >>> [order.incarnation for order in plan.next(0, "m", 2, views)]
    ['r0']
    """

    __slots__ = ("_due_ms_by_number",)

    def __init__(self) -> None:
        self._due_ms_by_number: dict[int, int] = {}

    def next(
        self, now_ms: int, model: str, version: int, views: list[RolloutView]
    ) -> list[Order]:
        """Return the orders to give now: the oldest weights and the least busy first.

        The share keeps the others at work meanwhile. A replica whose weights are too
        old to serve is not at work, so that it is ordered beside the share: after
        its holder changed, a rollout would else go on round by round while most
        replicas may serve nobody. Replicas of an evacuated failure domain go first.
        They have no part in the share: counted in it, they would have most of those
        load that are left to serve.
        """
        behind = [view for view in views if view.version < version]
        waiting = [view for view in behind if self._is_free(now_ms, view.number)]
        loading = [view for view in behind if view not in waiting]
        evacuated = [view for view in waiting if view.is_evacuated]
        rest = [view for view in waiting if not view.is_evacuated]
        idle = [view for view in rest if not view.may_serve]
        serving = [view for view in rest if view.may_serve]
        serving.sort(key=lambda view: (view.version, view.busy_ms))
        at_work = [view for view in views if not view.is_evacuated]
        room = min(
            _share(at_work) - sum(not view.is_evacuated for view in loading),
            _share(views) - len(loading) - len(evacuated),
        )
        chosen = evacuated + idle + serving[: max(0, room - len(idle))]
        return [
            Order(view.incarnation, view.number, view.address, model, version)
            for view in chosen
        ]

    def on_begun(self, now_ms: int, order: Order) -> None:
        """Note that a replica is being ordered."""
        self._due_ms_by_number[order.number] = now_ms + _LOST_AFTER_MS

    def on_unreached(self, now_ms: int, order: Order) -> None:
        """Note that a replica took no order; others are not held up by it."""
        self._due_ms_by_number[order.number] = now_ms + _AGAIN_AFTER_MS

    def on_done(self, order: Order) -> None:
        """Note that a replica has the weights."""
        self._due_ms_by_number.pop(order.number, None)

    def is_loading(self, now_ms: int, order: Order) -> bool:
        """Tell whether an order is still waited for."""
        return not self._is_free(now_ms, order.number)

    def forget(self) -> None:
        """Forget everything, as a new holder starts from the list alone."""
        self._due_ms_by_number.clear()

    def _is_free(self, now_ms: int, number: int) -> bool:
        return now_ms >= self._due_ms_by_number.get(number, 0)


def _share(views: list[RolloutView]) -> int:
    """Return how many of some replicas may load at once."""
    return max(1, math.floor(len(views) * _LOADING_SHARE))
