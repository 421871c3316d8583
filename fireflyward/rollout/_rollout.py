"""The decisions of the process that drives a rollout."""

from functools import singledispatchmethod

from fireflyward.backing import Row
from fireflyward.leases import Claim
from fireflyward.upstreams import (
    Broken,
    EngineState,
    OrderReason,
    OrderRefused,
)

from ._budget import LoadBudget
from ._fencing_orders import FencingOrders
from ._fleet import Fleet
from ._health import Health
from ._limits import RolloutLimits
from ._messages import (
    Action,
    DriverStarted,
    DriverStopped,
    HealthUpdated,
    Message,
    OrderAnswered,
    PlanUpdated,
    ReadRow,
    ReadState,
    RowAnswered,
    SendOrder,
    StateAnswered,
    StepReached,
    TakeNewFencing,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._next_row import RolloutSnapshot, needs_new_fencing, next_row
from ._plan import Plan, Target
from ._progress import Progress, Verdict
from ._row import Phase
from ._row_tracker import RowTracker
from ._steps import STEP_AFTER_WRITE, RolloutStep


class Rollout:
    """Decides without I/O how the replicas reach the state that the bundle defines.

    After every message it compares the bundle, the row in the table and the states
    that the replicas report. The next actions follow from the differences, so a new
    driver that has only the row and the replicas can continue from any point.

        rollout = Rollout(RolloutLimits())
        rollout.decide(now_ms, PlanUpdated(plan_of(bundle)))
        for action in rollout.decide(now_ms, DriverStarted(claim)):
            ...
    """

    def __init__(self, limits: RolloutLimits) -> None:
        self._limits = limits
        self._plan: Plan | None = None
        self._reset()

    def __repr__(self) -> str:
        return f"Rollout({self._claim}, {self._row_tracker.row})"

    def _reset(self) -> None:
        self._claim: Claim | None = None
        self._row_tracker = RowTracker()
        self._fleet = Fleet(self._limits)
        self._fencing_orders = FencingOrders(fencing=0)
        self._progress_by_order: dict[str, Progress] = {}
        self._health: dict[tuple[str, str], Health] = {}
        self._watch_until_ms: int | None = None
        self._earlier_orders_arrived_ms = 0
        self._last_lost_order_ms: int | None = None
        self._has_lost_order = False
        self._new_fencing_requested_ms: int | None = None
        self._last_write_ms = 0

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Process a message; return the actions in the order of their execution."""
        actions = self._handle(message, now_ms)
        return actions + self._next_actions(now_ms)

    def has_no_orders_in_flight(self, now_ms: int) -> bool:
        """Return whether no order of this process can still be in flight."""
        if self._fencing_orders.in_flight:
            return False
        if any(progress.in_flight for progress in self._progress_by_order.values()):
            return False
        if self._last_lost_order_ms is None:
            return True
        return now_ms - self._last_lost_order_ms >= self._limits.order_flight_ms

    @singledispatchmethod
    def _handle(self, message: Message, now_ms: int) -> list[Action]:
        raise TypeError(f"no handler for {message!r}")

    @_handle.register
    def _(self, message: PlanUpdated, now_ms: int) -> list[Action]:
        if self._plan is None or message.plan.bundle_number > self._plan.bundle_number:
            self._plan = message.plan
        return []

    @_handle.register
    def _(self, message: DriverStarted, now_ms: int) -> list[Action]:
        self._reset()
        self._claim = message.claim
        self._fencing_orders = FencingOrders(fencing=message.claim.fencing)
        self._budget = LoadBudget(
            per_minute=self._limits.loads_per_minute, now_ms=now_ms
        )
        wait_ms = self._limits.order_flight_ms if message.claim.after_expiry else 0
        self._earlier_orders_arrived_ms = now_ms + wait_ms
        return [ReadRow()]

    @_handle.register
    def _(self, message: DriverStopped, now_ms: int) -> list[Action]:
        self._reset()
        return []

    @_handle.register
    def _(self, message: Tick, now_ms: int) -> list[Action]:
        return self._row_tracker.on_tick() if self._claim else []

    @_handle.register
    def _(self, message: HealthUpdated, now_ms: int) -> list[Action]:
        self._health = dict(message.health_by_version)
        return []

    @_handle.register
    def _(self, message: RowAnswered, now_ms: int) -> list[Action]:
        if self._claim is None:
            return []
        actions: list[Action] = [StepReached(RolloutStep.ROW_SEEN)]
        write = self._row_tracker.on_row(message.result)
        if write and self._row_tracker.is_settled:
            actions += self._on_row_written(now_ms, write)
        elif write:
            actions.append(write)
        if isinstance(message.result, Row) and self._has_later_driver():
            self._reset()
            actions.append(StepReached(RolloutStep.FOLLOWED))
        return actions

    @_handle.register
    def _(self, message: WriteAnswered, now_ms: int) -> list[Action]:
        if self._claim is None:
            return []
        result = self._row_tracker.on_answer(message.result)
        if isinstance(result, WriteRow):
            return self._on_row_written(now_ms, result)
        return [result] if result else []

    @_handle.register
    def _(self, message: StateAnswered, now_ms: int) -> list[Action]:
        if self._claim:
            self._fleet.on_state(now_ms, message.replica, message.result)
        return []

    @_handle.register
    def _(self, message: OrderAnswered, now_ms: int) -> list[Action]:
        if self._fencing_orders.is_own(message.replica, message.order_id):
            return self._on_fencing_answer(now_ms, message)
        progress = self._progress_by_order.get(message.order_id)
        if progress is None:
            return []
        progress.in_flight = False
        progress.answered_ms = now_ms
        return self._on_order_answer(message.result, progress, now_ms)

    @singledispatchmethod
    def _on_order_answer(
        self, result: object, progress: Progress, now_ms: int
    ) -> list[Action]:
        raise TypeError(f"no handler for {result!r}")

    @_on_order_answer.register
    def _(self, result: EngineState, progress: Progress, now_ms: int) -> list[Action]:
        self._fleet.on_state(now_ms, progress.claim.replica, result)
        return [StepReached(RolloutStep.ORDER_TAKEN, progress.claim.replica)]

    @_on_order_answer.register
    def _(self, result: Broken, progress: Progress, now_ms: int) -> list[Action]:
        self._has_lost_order |= result.may_have_run
        return self._on_order_lost(now_ms, progress.claim.replica, result)

    @_on_order_answer.register
    def _(self, result: OrderRefused, progress: Progress, now_ms: int) -> list[Action]:
        if result.reason is OrderReason.OLD_FENCING:
            return self._on_old_fencing(result)
        progress.refusal = f"refused: {result.reason.value} {result.detail}".strip()
        return []

    def _on_fencing_answer(self, now_ms: int, message: OrderAnswered) -> list[Action]:
        result, replica = message.result, message.replica
        self._fencing_orders.on_answer(now_ms, replica, result)
        if isinstance(result, EngineState):
            self._fleet.on_state(now_ms, replica, result)
            detail = f"{replica}: only raises its fencing number"
            return [StepReached(RolloutStep.ORDER_TAKEN, detail)]
        if isinstance(result, Broken):
            return self._on_order_lost(now_ms, replica, result)
        if result.reason is OrderReason.OLD_FENCING:
            return self._on_old_fencing(result)
        return []

    def _on_order_lost(self, now_ms: int, replica: str, result: Broken) -> list[Action]:
        if result.may_have_run:
            self._last_lost_order_ms = now_ms
        return [StepReached(RolloutStep.ORDER_LOST, replica)]

    def _on_old_fencing(self, refusal: OrderRefused) -> list[Action]:
        """Stop driving, since a replica has received a later holder's number.

        This process has lost its lease without noticing, and must not change anything
        any more.
        """
        self._reset()
        return [StepReached(RolloutStep.FOLLOWED, refusal.detail)]

    def _has_later_driver(self) -> bool:
        row = self._row_tracker.row
        return row is not None and row.fencing > self._claim.fencing

    def _on_row_written(self, now_ms: int, write: WriteRow) -> list[Action]:
        """Adopt a row that has been written to the table."""
        self._last_write_ms = now_ms
        inherited = write.step is RolloutStep.TAKE_OVER_SENT
        current = self._progress_by_order
        self._progress_by_order = {
            claim.order_id: current.get(claim.order_id)
            or Progress(claim, now_ms, inherited)
            for claim in write.row.claims
        }
        if write.step is RolloutStep.BEGIN_SENT:
            self._watch_until_ms = None
            self._health = {}
        return [StepReached(STEP_AFTER_WRITE[write.step])]

    def _next_actions(self, now_ms: int) -> list[Action]:
        """Compare bundle, row and replicas; return the actions that follow."""
        row = self._row_tracker.row
        if self._claim is None or row is None:
            return []
        if row.fencing != self._claim.fencing:
            return self._take_over()
        actions = self._read_actions(now_ms)
        verdicts = self._verdicts(now_ms)
        actions += self._fencing_actions()
        actions += self._order_actions(now_ms, verdicts)
        if self._row_tracker.may_write and self._plan:
            actions += self._write_actions(now_ms, verdicts)
        return actions

    def _take_over(self) -> list[Action]:
        """Write this holder's fencing number: earlier holders' writes then conflict."""
        if not self._row_tracker.may_write:
            return []
        # A row without a number was never written, so no driver has sent an order.
        self._fencing_orders.is_needed = self._row_tracker.row.fencing > 0
        row = self._row_tracker.row.changed(fencing=self._claim.fencing)
        return [self._row_tracker.write(row, RolloutStep.TAKE_OVER_SENT)]

    def _read_actions(self, now_ms: int) -> list[Action]:
        claimed = {claim.replica for claim in self._row_tracker.row.claims}
        names = sorted({*self._names(), *claimed})
        return [ReadState(name) for name in self._fleet.due(now_ms, names, claimed)]

    def _names(self) -> tuple[str, ...]:
        return tuple(self._targets())

    def _verdicts(self, now_ms: int) -> dict[str, Verdict]:
        return {
            order_id: progress.verdict(
                now_ms,
                self._fleet.state_of(progress.claim.replica),
                is_fresh=self._fleet.requested_since(
                    progress.claim.replica, progress.answered_ms
                ),
                limits=self._limits,
            )
            for order_id, progress in self._progress_by_order.items()
        }

    def _fencing_actions(self) -> list[Action]:
        """Raise the fencing numbers of replicas that this driver does not order.

        A replica whose claim this driver has ordered, or will order, gets the number
        with that order.
        """
        reserved = {
            progress.claim.replica
            for progress in self._progress_by_order.values()
            if progress.ordered_ms is not None or not self._is_halting()
        }
        return self._fencing_orders.due(
            self._targets(),
            self._fleet,
            reserved=reserved,
            at_once=self._limits.fencing_orders_at_once,
        )

    def _targets(self) -> dict[str, Target]:
        return self._plan.target_by_replica if self._plan else {}

    def _order_actions(self, now_ms: int, verdicts: dict[str, Verdict]) -> list[Action]:
        actions: list[Action] = []
        for order_id, verdict in verdicts.items():
            progress = self._progress_by_order[order_id]
            if verdict is Verdict.SEND and self._may_order(now_ms, progress):
                actions += self._order(now_ms, progress)
        return actions

    def _may_order(self, now_ms: int, progress: Progress) -> bool:
        if self._fencing_orders.is_in_flight(progress.claim.replica):
            return False
        target = self._targets().get(progress.claim.replica)
        honours_fencing = target is not None and target.honours_fencing
        if now_ms < self._earlier_orders_arrived_ms and not honours_fencing:
            return False
        if progress.ordered_ms is not None:
            return True
        if self._is_halting():
            return False
        return self._budget.try_acquire(now_ms)

    def _is_halting(self) -> bool:
        """Return whether no new load may start: a hold, or a newer bundle waits."""
        row = self._row_tracker.row
        superseded = self._plan and self._plan.bundle_number > row.bundle_number
        return bool(superseded) or row.phase == Phase.HELD

    def _order(self, now_ms: int, progress: Progress) -> list[Action]:
        first = progress.ordered_ms is None
        progress.ordered_ms = now_ms if first else progress.ordered_ms
        progress.in_flight = True
        self._has_lost_order |= self._fencing_orders.may_be_late(progress.claim.replica)
        order = progress.order(self._claim.fencing)
        send = SendOrder(progress.claim.replica, order)
        drained = StepReached(RolloutStep.DRAINED, progress.claim.replica)
        return [drained, send] if first else [send]

    def _write_actions(self, now_ms: int, verdicts: dict[str, Verdict]) -> list[Action]:
        """Write the row that follows from the current state, if it differs."""
        actions: list[Action] = []
        for order_id, verdict in verdicts.items():
            progress = self._progress_by_order[order_id]
            if verdict is Verdict.CONFIRMED:
                actions.append(
                    StepReached(RolloutStep.CONFIRMED, progress.claim.replica)
                )
                if self._watch_until_ms is None:
                    self._watch_until_ms = now_ms + self._limits.watch_ms
        snapshot = self._snapshot(now_ms, verdicts)
        if needs_new_fencing(snapshot):
            return self._take_new_fencing(now_ms)
        next_write = next_row(snapshot)
        if next_write is None:
            return []
        row, step = next_write
        return [*actions, self._row_tracker.write(row, step)]

    def _take_new_fencing(self, now_ms: int) -> list[Action]:
        """Request a new number, again after a while if it has not been assigned."""
        requested_ms = self._new_fencing_requested_ms
        if requested_ms is not None:
            if now_ms - requested_ms < self._limits.new_fencing_retry_ms:
                return []
        self._new_fencing_requested_ms = now_ms
        return [TakeNewFencing()]

    def _snapshot(self, now_ms: int, verdicts: dict[str, Verdict]) -> RolloutSnapshot:
        cancellable = {
            order_id: progress.is_cancellable(
                self._fleet.state_of(progress.claim.replica),
                is_current=self._fleet.requested_since(
                    progress.claim.replica, self._earlier_orders_arrived_ms
                ),
            )
            for order_id, progress in self._progress_by_order.items()
        }
        is_watching = self._watch_until_ms is not None and now_ms < self._watch_until_ms
        return RolloutSnapshot(
            row=self._row_tracker.row,
            plan=self._plan,
            fleet=self._fleet,
            limits=self._limits,
            progress_by_order=self._progress_by_order,
            verdict_by_order=verdicts,
            cancellable_by_order=cancellable,
            health_by_version=self._health,
            is_watching=is_watching,
            is_fenced=not self._fencing_orders.unfenced(self._targets(), self._fleet),
            has_lost_order=self._has_lost_order,
            next_version=self._row_tracker.next_version,
            is_status_due=now_ms - self._last_write_ms
            >= self._limits.status_interval_ms,
        )
