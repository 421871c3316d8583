"""The progress of one claimed load, as the current driver observes it."""

import enum
from dataclasses import dataclass

from fireflyward.upstreams import EngineOrder, EngineState

from ._limits import RolloutLimits
from ._plan import Target
from ._row import LoadClaim


class Verdict(enum.Enum):
    """The state of a claimed load, from which the driver's next action follows."""

    WAIT = "wait"
    SEND = "send"
    CONFIRMED = "confirmed"
    FAILED = "failed"
    STUCK = "stuck"


@dataclass(slots=True)
class Progress:
    """One claim's progress; an earlier driver may have ordered an ``inherited`` one."""

    claim: LoadClaim
    claimed_ms: int
    inherited: bool = False
    ordered_ms: int | None = None
    answered_ms: int = -1
    in_flight: bool = False
    refusal: str = ""

    @property
    def target(self) -> Target:
        claim = self.claim
        return Target(claim.version_by_model, claim.adapters, claim.role)

    def order(self, fencing: int) -> EngineOrder:
        """Return the claim's order under a fencing number."""
        claim = self.claim
        return EngineOrder(
            claim.order_id, fencing, claim.version_by_model, claim.adapters, claim.role
        )

    def verdict(
        self,
        now_ms: int,
        state: EngineState | None,
        *,
        is_fresh: bool,
        limits: RolloutLimits,
    ) -> Verdict:
        """Decide by the replica's state; ``is_fresh``: requested after the answer."""
        if self.refusal:
            return Verdict.FAILED
        if state is not None and not self.in_flight:
            if self.target.is_met_by(state):
                return Verdict.CONFIRMED
            if state.order_id == self.claim.order_id and not state.loading:
                return Verdict.FAILED
        started_ms = self.claimed_ms if self.ordered_ms is None else self.ordered_ms
        if now_ms - started_ms >= limits.load_limit_ms:
            idle = state is not None and not state.loading and not self.in_flight
            return Verdict.FAILED if idle else Verdict.STUCK
        if state is None or self.in_flight:
            return Verdict.WAIT
        if state.order_id == self.claim.order_id:
            return Verdict.WAIT
        if self.ordered_ms is not None:
            # Either the order was lost, or its answer was lost and the replica has
            # received another order since. Resending it with the same id is safe.
            return Verdict.SEND if is_fresh else Verdict.WAIT
        return Verdict.SEND if self._is_drained(now_ms, state, limits) else Verdict.WAIT

    def is_cancellable(self, state: EngineState | None, *, is_current: bool) -> bool:
        """Return whether the claim can be cancelled, since no order can arrive.

        ``is_current`` says that ``state`` was requested after the latest time at which
        an order of an earlier driver can arrive.
        """
        if self.ordered_ms is not None or self.in_flight:
            return False
        if not self.inherited:
            return True
        return (
            is_current
            and state is not None
            and not state.loading
            and state.order_id != self.claim.order_id
        )

    def _is_drained(
        self, now_ms: int, state: EngineState, limits: RolloutLimits
    ) -> bool:
        running = sum(
            state.running_by_model.get(model, 0) for model in self.claim.changes
        )
        return running == 0 or now_ms - self.claimed_ms >= limits.drain_ms
