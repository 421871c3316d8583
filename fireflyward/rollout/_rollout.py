"""The decisions of the one process that drives a rollout."""

from functools import singledispatchmethod

from fireflyward.backing import Row
from fireflyward.leases import Claim
from fireflyward.upstreams import (
    Broken,
    EngineOrder,
    EngineState,
    OrderReason,
    OrderRefused,
)

from ._budget import LoadBudget
from ._fleet import Fleet
from ._health import Health
from ._limits import RolloutLimits
from ._messages import (
    Action,
    Began,
    Ended,
    HealthSeen,
    Message,
    OrderAnswered,
    PlanSeen,
    Reached,
    ReadRow,
    ReadState,
    RowSeen,
    SendOrder,
    StateSeen,
    Tick,
    WriteAnswered,
    WriteRow,
)
from ._next_row import Observed, next_row
from ._plan import Plan
from ._progress import Progress, Verdict
from ._row import LoadClaim, Phase
from ._row_keeper import RowKeeper
from ._steps import RolloutStep

_STEP_AFTER = {
    RolloutStep.TAKE_OVER_SENT: RolloutStep.TAKEN_OVER,
    RolloutStep.BEGIN_SENT: RolloutStep.BEGUN,
    RolloutStep.CLAIM_SENT: RolloutStep.CLAIMED,
    RolloutStep.ADVANCE_SENT: RolloutStep.ADVANCED,
    RolloutStep.HOLD_SENT: RolloutStep.HELD,
    RolloutStep.FINISH_SENT: RolloutStep.FINISHED,
}


class Rollout:
    """Decides without I/O how replicas become what the bundle says.

    After every message it compares three things: the bundle, the row in the
    table, and what the replicas say they are. What differs gives the next actions,
    so a successor that has only the row and the replicas goes on from any point.

        rollout = Rollout(RolloutLimits())
        rollout.decide(now_ms, PlanSeen(plan_of(bundle)))
        for action in rollout.decide(now_ms, Began(claim)):
            ...
    """

    def __init__(self, limits: RolloutLimits) -> None:
        self._limits = limits
        self._plan: Plan | None = None
        self._stop()

    def __repr__(self) -> str:
        return f"Rollout({self._claim}, {self._keeper.row})"

    def _stop(self) -> None:
        self._claim: Claim | None = None
        self._keeper = RowKeeper()
        self._fleet = Fleet(self._limits)
        self._progress_by_order: dict[str, Progress] = {}
        self._health: dict[tuple[str, str], Health] = {}
        self._watch_until_ms: int | None = None
        self._flight_over_ms = 0
        self._last_lost_ms: int | None = None
        self._written_ms = 0

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Take a message; return what to do, in order."""
        actions = self._on(message, now_ms)
        return actions + self._next(now_ms)

    def is_quiet(self, now_ms: int) -> bool:
        """Tell whether no order of this process can still be on its way."""
        if any(progress.in_flight for progress in self._progress_by_order.values()):
            return False
        if self._last_lost_ms is None:
            return True
        return now_ms - self._last_lost_ms >= self._limits.order_flight_ms

    @singledispatchmethod
    def _on(self, message: Message, now_ms: int) -> list[Action]:
        raise TypeError(f"no decision for {message!r}")

    @_on.register
    def _(self, message: PlanSeen, now_ms: int) -> list[Action]:
        if self._plan is None or message.plan.bundle_number > self._plan.bundle_number:
            self._plan = message.plan
        return []

    @_on.register
    def _(self, message: Began, now_ms: int) -> list[Action]:
        self._stop()
        self._claim = message.claim
        self._budget = LoadBudget(
            per_minute=self._limits.loads_per_minute, now_ms=now_ms
        )
        wait_ms = self._limits.order_flight_ms if message.claim.after_expiry else 0
        self._flight_over_ms = now_ms + wait_ms
        return [ReadRow()]

    @_on.register
    def _(self, message: Ended, now_ms: int) -> list[Action]:
        self._stop()
        return []

    @_on.register
    def _(self, message: Tick, now_ms: int) -> list[Action]:
        return self._keeper.on_tick() if self._claim else []

    @_on.register
    def _(self, message: HealthSeen, now_ms: int) -> list[Action]:
        self._health = dict(message.health_by_version)
        return []

    @_on.register
    def _(self, message: RowSeen, now_ms: int) -> list[Action]:
        if self._claim is None:
            return []
        actions: list[Action] = [Reached(RolloutStep.ROW_SEEN)]
        write = self._keeper.on_row(message.result)
        if write and self._keeper.is_settled:
            actions += self._accepted(now_ms, write)
        elif write:
            actions.append(write)
        if isinstance(message.result, Row) and self._is_followed():
            self._stop()
            actions.append(Reached(RolloutStep.FOLLOWED))
        return actions

    @_on.register
    def _(self, message: WriteAnswered, now_ms: int) -> list[Action]:
        if self._claim is None:
            return []
        result = self._keeper.on_answer(message.result)
        if isinstance(result, WriteRow):
            return self._accepted(now_ms, result)
        return [result] if result else []

    @_on.register
    def _(self, message: StateSeen, now_ms: int) -> list[Action]:
        if self._claim:
            self._fleet.on_state(now_ms, message.replica, message.result)
        return []

    @_on.register
    def _(self, message: OrderAnswered, now_ms: int) -> list[Action]:
        progress = self._progress_by_order.get(message.order_id)
        if progress is None:
            return []
        progress.in_flight = False
        progress.answered_ms = now_ms
        return self._answered(message.result, progress, now_ms)

    @singledispatchmethod
    def _answered(
        self, result: object, progress: Progress, now_ms: int
    ) -> list[Action]:
        raise TypeError(f"no decision for {result!r}")

    @_answered.register
    def _(self, result: EngineState, progress: Progress, now_ms: int) -> list[Action]:
        self._fleet.on_state(now_ms, progress.claim.replica, result)
        return [Reached(RolloutStep.ORDER_TAKEN, progress.claim.replica)]

    @_answered.register
    def _(self, result: Broken, progress: Progress, now_ms: int) -> list[Action]:
        if result.may_have_run:
            self._last_lost_ms = now_ms
        return [Reached(RolloutStep.ORDER_LOST, progress.claim.replica)]

    @_answered.register
    def _(self, result: OrderRefused, progress: Progress, now_ms: int) -> list[Action]:
        if result.reason is OrderReason.OLD_FENCING:
            # A replica knows a later holder: this one has lost its lease without
            # having noticed, and must not touch anything any more.
            self._stop()
            return [Reached(RolloutStep.FOLLOWED, result.detail)]
        progress.refusal = f"refused: {result.reason.value} {result.detail}".strip()
        return []

    def _is_followed(self) -> bool:
        row = self._keeper.row
        return row is not None and row.fencing > self._claim.fencing

    def _accepted(self, now_ms: int, write: WriteRow) -> list[Action]:
        """Take in a row that is in the table now."""
        self._written_ms = now_ms
        inherited = write.step is RolloutStep.TAKE_OVER_SENT
        known = self._progress_by_order
        self._progress_by_order = {
            claim.order_id: known.get(claim.order_id)
            or Progress(claim, now_ms, inherited)
            for claim in write.row.claims
        }
        if write.step is RolloutStep.BEGIN_SENT:
            self._watch_until_ms = None
            self._health = {}
        return [Reached(_STEP_AFTER[write.step])]

    def _next(self, now_ms: int) -> list[Action]:
        """Compare bundle, row and replicas; return what follows from it."""
        row = self._keeper.row
        if self._claim is None or row is None:
            return []
        if row.fencing != self._claim.fencing:
            return self._take_over()
        actions = self._reads(now_ms)
        verdicts = self._verdicts(now_ms)
        actions += self._orders(now_ms, verdicts)
        if self._keeper.may_write and self._plan:
            actions += self._writes(now_ms, verdicts)
        return actions

    def _take_over(self) -> list[Action]:
        """Make the row this holder's, so that an earlier one's writes conflict."""
        if not self._keeper.may_write:
            return []
        row = self._keeper.row.changed(fencing=self._claim.fencing)
        return [self._keeper.write(row, RolloutStep.TAKE_OVER_SENT)]

    def _reads(self, now_ms: int) -> list[Action]:
        claimed = {claim.replica for claim in self._keeper.row.claims}
        names = sorted({*self._names(), *claimed})
        return [ReadState(name) for name in self._fleet.due(now_ms, names, claimed)]

    def _names(self) -> tuple[str, ...]:
        return tuple(self._plan.target_by_replica) if self._plan else ()

    def _verdicts(self, now_ms: int) -> dict[str, Verdict]:
        return {
            order_id: progress.verdict(
                now_ms,
                self._fleet.state_of(progress.claim.replica),
                is_fresh=self._fleet.asked_since(
                    progress.claim.replica, progress.answered_ms
                ),
                limits=self._limits,
            )
            for order_id, progress in self._progress_by_order.items()
        }

    def _orders(self, now_ms: int, verdicts: dict[str, Verdict]) -> list[Action]:
        actions: list[Action] = []
        for order_id, verdict in verdicts.items():
            progress = self._progress_by_order[order_id]
            if verdict is Verdict.SEND and self._may_order(now_ms, progress):
                actions += self._order(now_ms, progress)
        return actions

    def _may_order(self, now_ms: int, progress: Progress) -> bool:
        targets = self._plan.target_by_replica if self._plan else {}
        target = targets.get(progress.claim.replica)
        honours_fencing = target is not None and target.honours_fencing
        if now_ms < self._flight_over_ms and not honours_fencing:
            return False
        if progress.ordered_ms is not None:
            return True
        if self._is_halting():
            return False
        return self._budget.take(now_ms)

    def _is_halting(self) -> bool:
        """Tell whether nothing new may begin: a hold, or a newer bundle waits."""
        row = self._keeper.row
        superseded = self._plan and self._plan.bundle_number > row.bundle_number
        return bool(superseded) or row.phase == Phase.HELD

    def _order(self, now_ms: int, progress: Progress) -> list[Action]:
        first = progress.ordered_ms is None
        progress.ordered_ms = now_ms if first else progress.ordered_ms
        progress.in_flight = True
        order = _order_of(progress.claim, self._claim.fencing)
        send = SendOrder(progress.claim.replica, order)
        drained = Reached(RolloutStep.DRAINED, progress.claim.replica)
        return [drained, send] if first else [send]

    def _writes(self, now_ms: int, verdicts: dict[str, Verdict]) -> list[Action]:
        """Write the row that follows from what is known, if it differs."""
        actions: list[Action] = []
        for order_id, verdict in verdicts.items():
            progress = self._progress_by_order[order_id]
            if verdict is Verdict.CONFIRMED:
                actions.append(Reached(RolloutStep.CONFIRMED, progress.claim.replica))
                if self._watch_until_ms is None:
                    self._watch_until_ms = now_ms + self._limits.watch_ms
        following = next_row(self._observed(now_ms, verdicts))
        if following is None:
            return []
        row, step = following
        return [*actions, self._keeper.write(row, step)]

    def _observed(self, now_ms: int, verdicts: dict[str, Verdict]) -> Observed:
        settled = {
            order_id: progress.is_untouched(
                self._fleet.state_of(progress.claim.replica),
                is_settled=self._fleet.asked_since(
                    progress.claim.replica, self._flight_over_ms
                ),
            )
            for order_id, progress in self._progress_by_order.items()
        }
        watching = self._watch_until_ms is not None and now_ms < self._watch_until_ms
        return Observed(
            row=self._keeper.row,
            plan=self._plan,
            fleet=self._fleet,
            limits=self._limits,
            progress_by_order=self._progress_by_order,
            verdict_by_order=verdicts,
            untouched_by_order=settled,
            health_by_version=self._health,
            is_watching=watching,
            next_version=self._keeper.next_version,
            is_status_due=now_ms - self._written_ms >= self._limits.status_gap_ms,
        )


def _order_of(claim: LoadClaim, fencing: int) -> EngineOrder:
    return EngineOrder(
        claim.order_id, fencing, claim.version_by_model, claim.adapters, claim.role
    )
