"""How the engine stand-in takes orders and loads weights."""

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
_AWAY = Broken(False, "away")
_FULL_RATE_LOADS = 2


@dataclass(slots=True)
class _Load:
    remaining_ms: float


class WeightSource:
    """The weight store as loading engines share it.

    Two loads go at full rate; of more each gets an equal part of what two have.
    ``max_concurrent_loads`` is what a test holds against the rule of two.
    """

    def __init__(self) -> None:
        self.max_concurrent_loads = 0
        self._load_by_replica: dict[int, _Load] = {}
        self._ended_ms_by_replica: dict[int, float] = {}
        self._seen_ms = 0.0

    def begin(self, now_ms: float, replica: int, load_ms: float) -> None:
        """Start a load for a replica; one that it already has starts anew."""
        self.advance(now_ms)
        self._load_by_replica[replica] = _Load(load_ms)
        self._ended_ms_by_replica.pop(replica, None)
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, len(self._load_by_replica)
        )

    def ended_ms(self, now_ms: float, replica: int) -> float | None:
        """Return when a replica's load ended, or None while it goes on."""
        self.advance(now_ms)
        return self._ended_ms_by_replica.get(replica)

    def advance(self, now_ms: float) -> None:
        """Let loads go on, and end in the order of time, up to ``now_ms``."""
        while self._load_by_replica and self._seen_ms < now_ms:
            rate = min(1.0, _FULL_RATE_LOADS / len(self._load_by_replica))
            replica, first = min(
                self._load_by_replica.items(), key=lambda item: item[1].remaining_ms
            )
            passed_ms = min(now_ms - self._seen_ms, first.remaining_ms / rate)
            self._seen_ms += passed_ms
            for load in self._load_by_replica.values():
                load.remaining_ms -= passed_ms * rate
            if first.remaining_ms <= 1e-6:
                del self._load_by_replica[replica]
                self._ended_ms_by_replica[replica] = self._seen_ms
        self._seen_ms = max(self._seen_ms, now_ms)


@dataclass(slots=True)
class EngineOrders:
    """Decides what becomes of an order; the caller gives the time.

    An engine holds the weights of a model once: from an order that changes them
    it takes no new runs of that model, lets those that it has run to their end,
    loads, and then takes runs of the new version. Its other models go on.

    ``fail_loads``, ``lose_answers`` and ``refuse`` count what is to go wrong,
    ``slow`` multiplies the time of a load, and ``unavailable`` cuts the engine off.
    """

    model: EngineModel
    weights: WeightSource = field(default_factory=WeightSource)
    honours_fencing: bool = True
    deduplicates_orders: bool = True
    known_versions: frozenset[str] | None = None
    fail_loads: int = 0
    lose_answers: int = 0
    refuse: int = 0
    slow: float = 1.0
    unavailable: bool = False
    fencing: int = 0
    order_id: str = ""
    failed: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    applied_orders: list[EngineOrder] = field(default_factory=list)
    loads: int = 0
    _waiting: dict[str, str] = field(default_factory=dict)
    _loading: str = ""
    _ids: set[str] = field(default_factory=set)

    def take(self, now_ms: float, order: EngineOrder) -> OrderResult:
        """Take an order or say why not."""
        if self.unavailable:
            return _AWAY
        self._advance(now_ms)
        refusal = self._refusal(order)
        if refusal:
            return refusal
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id not in self._ids or not self.deduplicates_orders:
            self._ids.add(order.order_id)
            self._apply(order)
        self._advance(now_ms)
        if self.lose_answers:
            self.lose_answers -= 1
            return _LOST
        return self._state()

    def state(self, now_ms: float) -> EngineState | Broken:
        """Return what the engine is at ``now_ms``."""
        if self.unavailable:
            return _AWAY
        self._advance(now_ms)
        return self._state()

    def _refusal(self, order: EngineOrder) -> OrderRefused | None:
        if self.honours_fencing and order.fencing < self.fencing:
            detail = f"{order.fencing} is older than {self.fencing}"
            return OrderRefused(OrderReason.OLD_FENCING, detail, self.fencing)
        if self.refuse:
            self.refuse -= 1
            return OrderRefused(OrderReason.NOT_NOW, "told to refuse", self.fencing)
        versions = set(order.version_by_model.values())
        if self.known_versions is not None and versions - self.known_versions:
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
        coming = self._waiting
        self._waiting = {
            name: version
            for name, version in order.version_by_model.items()
            if serving.get(name) != version or name in reloads
        }
        if self._waiting.get(self._loading) != coming.get(self._loading):
            self._loading = ""
        for name in self._waiting:
            serving.pop(name, None)
        self.adapters = order.adapters

    def _advance(self, now_ms: float) -> None:
        """Start the next load when its runs have ended, and end the one that is."""
        self.model.advance(now_ms)
        while self._waiting:
            if not self._loading and not self._begin_load(now_ms):
                return
            ended_ms = self.weights.ended_ms(now_ms, id(self))
            if ended_ms is None:
                return
            self._end_load()

    def _begin_load(self, now_ms: float) -> bool:
        running = self._running_by_model()
        drained = [name for name in sorted(self._waiting) if not running.get(name)]
        if not drained:
            return False
        self._loading = drained[0]
        self.loads += 1
        load_ms = self.model.costs.load_ms * self.slow
        self.weights.begin(now_ms, id(self), load_ms)
        return True

    def _end_load(self) -> None:
        name = self._loading
        version = self._waiting.pop(name)
        self._loading = ""
        if self.fail_loads:
            self.fail_loads -= 1
            self.failed = f"load of {name} {version} failed"
            self._waiting.clear()
            return
        self.model.version_by_model[name] = version

    def _running_by_model(self) -> dict[str, int]:
        model = self.model
        run_ids = [*model._running, *(item[2] for item in model._queue)]
        return dict(Counter(model.run_by_id[run_id].call.model for run_id in run_ids))

    def _state(self) -> EngineState:
        return EngineState(
            version_by_model=dict(self.model.version_by_model),
            loading=dict(self._waiting),
            adapters=self.adapters,
            fencing=self.fencing,
            order_id=self.order_id,
            failed=self.failed,
            running_by_model=self._running_by_model(),
            role=self.role,
        )
