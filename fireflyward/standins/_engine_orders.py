"""How the engine stand-in handles orders and loads weights."""

from collections import Counter
from dataclasses import dataclass, field

from fireflyward.upstreams import (
    Broken,
    EngineOrder,
    EngineState,
    OrderReason,
    OrderRefused,
    OrderResult,
)

from ._engine_model import EngineModel

_LOST = Broken(True, "answer lost")
_UNAVAILABLE = Broken(False, "the engine stand-in is unavailable")
_FULL_RATE_LOADS = 2


@dataclass(slots=True)
class _Load:
    remaining_ms: float


class WeightSource:
    """The weight store, whose bandwidth the loading engines share.

    Two loads run at full rate; more loads share the bandwidth of two equally.
    Tests check ``max_concurrent_loads`` against the limit of two loads at once.
    """

    def __init__(self) -> None:
        self.max_concurrent_loads = 0
        self._load_by_replica: dict[int, _Load] = {}
        self._finished_ms_by_replica: dict[int, float] = {}
        self._advanced_to_ms = 0.0

    def start_load(self, now_ms: float, replica: int, load_ms: float) -> None:
        """Start a replica's load; a load in progress starts again from zero."""
        self.advance(now_ms)
        self._load_by_replica[replica] = _Load(load_ms)
        self._finished_ms_by_replica.pop(replica, None)
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, len(self._load_by_replica)
        )

    def finished_ms(self, now_ms: float, replica: int) -> float | None:
        """Return when a replica's load finished, or None if it has not."""
        self.advance(now_ms)
        return self._finished_ms_by_replica.get(replica)

    def advance(self, now_ms: float) -> None:
        """Continue and finish the loads, in order of time, up to ``now_ms``."""
        while self._load_by_replica and self._advanced_to_ms < now_ms:
            rate = min(1.0, _FULL_RATE_LOADS / len(self._load_by_replica))
            replica, shortest = min(
                self._load_by_replica.items(), key=lambda item: item[1].remaining_ms
            )
            elapsed_ms = min(
                now_ms - self._advanced_to_ms, shortest.remaining_ms / rate
            )
            self._advanced_to_ms += elapsed_ms
            for load in self._load_by_replica.values():
                load.remaining_ms -= elapsed_ms * rate
            if shortest.remaining_ms <= 1e-6:
                del self._load_by_replica[replica]
                self._finished_ms_by_replica[replica] = self._advanced_to_ms
        self._advanced_to_ms = max(self._advanced_to_ms, now_ms)


@dataclass(slots=True)
class EngineOrders:
    """Decides how an engine handles orders; the caller passes the current time.

    An engine has memory for one version of a model's weights. After an order that
    changes the version it rejects new runs of that model, finishes the runs that
    it has accepted, loads the new weights, and then accepts runs of the new
    version. It continues to serve its other models meanwhile.

    ``fail_loads``, ``lose_answers`` and ``refuse`` are how many of the next loads
    fail, answers are lost and orders are refused. ``load_time_factor`` multiplies
    the time of a load, and ``unavailable`` makes the engine unreachable.
    """

    model: EngineModel
    weights: WeightSource = field(default_factory=WeightSource)
    honours_fencing: bool = True
    deduplicates_orders: bool = True
    available_versions: frozenset[str] | None = None
    fail_loads: int = 0
    lose_answers: int = 0
    refuse: int = 0
    load_time_factor: float = 1.0
    unavailable: bool = False
    fencing: int = 0
    order_id: str = ""
    failed: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    applied_orders: list[EngineOrder] = field(default_factory=list)
    loads: int = 0
    _pending_version_by_model: dict[str, str] = field(default_factory=dict)
    _loading_model: str = ""
    _seen_order_ids: set[str] = field(default_factory=set)

    def handle_order(self, now_ms: float, order: EngineOrder) -> OrderResult:
        """Accept an order, or return why it is refused."""
        if self.unavailable:
            return _UNAVAILABLE
        self._advance(now_ms)
        refusal = self._find_refusal(order)
        if refusal:
            return refusal
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id not in self._seen_order_ids or not self.deduplicates_orders:
            self._seen_order_ids.add(order.order_id)
            self._apply(order)
        self._advance(now_ms)
        if self.lose_answers:
            self.lose_answers -= 1
            return _LOST
        return self._state()

    def state(self, now_ms: float) -> EngineState | Broken:
        """Return the engine's state at ``now_ms``."""
        if self.unavailable:
            return _UNAVAILABLE
        self._advance(now_ms)
        return self._state()

    def _find_refusal(self, order: EngineOrder) -> OrderRefused | None:
        if self.honours_fencing and order.fencing < self.fencing:
            detail = f"{order.fencing} is older than {self.fencing}"
            return OrderRefused(OrderReason.OLD_FENCING, detail, self.fencing)
        if self.refuse:
            self.refuse -= 1
            return OrderRefused(OrderReason.NOT_NOW, "fault injected", self.fencing)
        versions = set(order.version_by_model.values())
        if self.available_versions is not None and versions - self.available_versions:
            return OrderRefused(OrderReason.UNKNOWN_VERSION, str(sorted(versions)))
        return None

    def _apply(self, order: EngineOrder) -> None:
        self.applied_orders.append(order)
        self.order_id = order.order_id
        self.failed = ""
        self.role = order.role or self.role
        serving = self.model.version_by_model
        new_adapters = set(order.adapters) - set(self.adapters)
        reloads = {name.partition("/")[0] for name in new_adapters}
        for name in set(serving) - set(order.version_by_model):
            del serving[name]
        previous = self._pending_version_by_model
        self._pending_version_by_model = {
            name: version
            for name, version in order.version_by_model.items()
            if serving.get(name) != version or name in reloads
        }
        if self._pending_version_by_model.get(self._loading_model) != previous.get(
            self._loading_model
        ):
            self._loading_model = ""
        for name in self._pending_version_by_model:
            serving.pop(name, None)
        self.adapters = order.adapters

    def _advance(self, now_ms: float) -> None:
        """Finish the current load if it is due, and start those that can start.

        A load can start when the engine has no accepted run of that model left.
        """
        self.model.advance(now_ms)
        while self._pending_version_by_model:
            if not self._loading_model and not self._start_load(now_ms):
                return
            finished_ms = self.weights.finished_ms(now_ms, id(self))
            if finished_ms is None:
                return
            self._finish_load()

    def _start_load(self, now_ms: float) -> bool:
        running = self._running_by_model()
        drained = [
            name
            for name in sorted(self._pending_version_by_model)
            if not running.get(name)
        ]
        if not drained:
            return False
        self._loading_model = drained[0]
        self.loads += 1
        load_ms = self.model.costs.load_ms * self.load_time_factor
        self.weights.start_load(now_ms, id(self), load_ms)
        return True

    def _finish_load(self) -> None:
        name = self._loading_model
        version = self._pending_version_by_model.pop(name)
        self._loading_model = ""
        if self.fail_loads:
            self.fail_loads -= 1
            self.failed = f"load of {name} {version} failed"
            self._pending_version_by_model.clear()
            return
        self.model.version_by_model[name] = version

    def _running_by_model(self) -> dict[str, int]:
        model = self.model
        run_ids = [*model._running, *(item[2] for item in model._queue)]
        return dict(Counter(model.run_by_id[run_id].call.model for run_id in run_ids))

    def _state(self) -> EngineState:
        return EngineState(
            version_by_model=dict(self.model.version_by_model),
            loading=dict(self._pending_version_by_model),
            adapters=self.adapters,
            fencing=self.fencing,
            order_id=self.order_id,
            failed=self.failed,
            running_by_model=self._running_by_model(),
            role=self.role,
        )
