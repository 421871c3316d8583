"""How far one claimed load is, as the driver that is at it knows."""

import enum
from dataclasses import dataclass

from fireflyward.upstreams import EngineState

from ._limits import RolloutLimits
from ._plan import Target
from ._row import LoadClaim


class Verdict(enum.Enum):
    """What is to be done about a claim."""

    WAIT = "wait"
    SEND = "send"
    CONFIRMED = "confirmed"
    FAILED = "failed"
    STUCK = "stuck"


@dataclass(slots=True)
class Progress:
    """One claim's progress; ``inherited`` ones may have been ordered by others."""

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

    def verdict(
        self,
        now_ms: int,
        state: EngineState | None,
        *,
        is_fresh: bool,
        limits: RolloutLimits,
    ) -> Verdict:
        """Judge by the replica's own state; ``is_fresh``: asked after the answer."""
        if self.refusal:
            return Verdict.FAILED
        if state is not None and not self.in_flight:
            if self.target.is_met_by(state):
                return Verdict.CONFIRMED
            if state.order_id == self.claim.order_id and not state.loading:
                return Verdict.FAILED
        begun_ms = self.claimed_ms if self.ordered_ms is None else self.ordered_ms
        if now_ms - begun_ms >= limits.load_limit_ms:
            idle = state is not None and not state.loading and not self.in_flight
            return Verdict.FAILED if idle else Verdict.STUCK
        if state is None or self.in_flight:
            return Verdict.WAIT
        if state.order_id == self.claim.order_id:
            return Verdict.WAIT
        if self.ordered_ms is not None:
            # The order was lost on its way, or its answer was and the replica has
            # another order by now. Sending it again under the same id is safe.
            return Verdict.SEND if is_fresh else Verdict.WAIT
        return Verdict.SEND if self._is_drained(now_ms, state, limits) else Verdict.WAIT

    def is_untouched(self, state: EngineState | None, *, is_settled: bool) -> bool:
        """Tell whether the claim can be given up, since no order can arrive.

        ``is_settled`` says that ``state`` was asked for after everything that an
        earlier driver may have sent has arrived.
        """
        if self.ordered_ms is not None or self.in_flight:
            return False
        if not self.inherited:
            return True
        return (
            is_settled
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
