"""Connects one request with the rule of who yields first in a shortage."""

from fireflyward.deployment import ClientAccount
from fireflyward.limits import (
    FairRequest,
    FairVerdict,
    request_cost,
)
from fireflyward.outcomes import NotRun, Outcome, Reason
from fireflyward.platform import CallerRequest
from fireflyward.routes import Allowed

from ._admission import LatencyEstimate
from ._dependencies import Dependencies
from ._trace import Trace

# Half of the shortest Retry-After. A caller that has used up more of its deadline than
# this before its request has probably been rejected before.
_MIN_SPENT_MS = 100.0
_SHORTAGE_REASONS = frozenset((Reason.OVERLOADED, Reason.NO_UPSTREAM))
_PERCENT = 100


class FairCheck:
    """Judges one request, and records its decision once, however often it is sent."""

    __slots__ = (
        "_admission",
        "_fairness",
        "_request",
        "_trace",
        "_verdict",
        "_was_admitted",
    )

    def __init__(
        self,
        deps: Dependencies,
        caller: CallerRequest,
        allowed: Allowed,
        spent_ms: float,
        trace: Trace,
    ) -> None:
        self._admission = deps.admission
        self._fairness = deps.fairness
        self._verdict = FairVerdict()
        self._request = _fair_request(caller, allowed, spent_ms)
        self._trace = trace
        self._was_admitted: bool | None = None

    def check(self, now_ms: int, estimate: LatencyEstimate) -> NotRun | None:
        """Return why the request is rejected, None if it is admitted.

        The inputs of the verdict are written into the trace.
        """
        self._verdict = self._fairness.judge(now_ms, self._request)
        self._record_verdict(self._verdict)
        return self._admission.check(estimate, self._verdict)

    def may_wait(self, estimate: LatencyEstimate) -> bool:
        """Return whether the rejected request may wait for a slot instead."""
        return self._admission.may_wait(estimate, self._verdict)

    def _record_verdict(self, verdict: FairVerdict) -> None:
        trace = self._trace
        trace.fair_reason = verdict.reason
        trace.pressure_percent = round(_PERCENT * verdict.pressure)
        if verdict.reason:
            trace.fair_percent = round(_PERCENT * verdict.factor)
            trace.share_percent = round(_PERCENT * verdict.account_ratio)
            trace.totals_age_ms = verdict.age_ms
            trace.is_returning = self._request.is_returning

    def on_decision(
        self, now_ms: int, estimate: LatencyEstimate, *, is_admitted: bool
    ) -> None:
        """Record the first decision, and whether the estimate shows a shortage.

        A request that was admitted and then rejected, because it had to be sent again,
        is recorded as not admitted.
        """
        is_late = self._admission.shows_shortage(
            estimate, is_returning=self._request.is_returning
        )
        if self._was_admitted is None:
            self._record(now_ms, is_admitted=is_admitted, is_late=is_late)
        elif self._was_admitted and not is_admitted:
            self._was_admitted = False
            self._fairness.on_not_run(now_ms, self._request, is_late=is_late)

    def _record(self, now_ms: int, *, is_admitted: bool, is_late: bool) -> None:
        self._was_admitted = is_admitted
        self._fairness.on_decision(
            now_ms, self._request, is_admitted=is_admitted, is_late=is_late
        )

    def on_outcome(self, now_ms: int, outcome: Outcome, *, has_time: bool) -> None:
        """Record a request that no replica took, although it was not rejected here.

        A request whose deadline passed before a replica was chosen is not recorded.
        """
        if not isinstance(outcome, NotRun) or outcome.reason not in _SHORTAGE_REASONS:
            return
        if self._was_admitted is None:
            if has_time:
                self._record(now_ms, is_admitted=False, is_late=True)
        elif self._was_admitted:
            self._was_admitted = False
            self._fairness.on_not_run(now_ms, self._request)


def _fair_request(
    caller: CallerRequest, allowed: Allowed, spent_ms: float
) -> FairRequest:
    account = allowed.account
    # A shared prefix is prefilled once, so it isn't part of each request's cost.
    own_tokens = caller.parts[-1].tokens if caller.parts else caller.prompt_tokens
    return FairRequest(
        service=allowed.service,
        route=allowed.route.name,
        account=account.name if account is not None else "",
        priority=allowed.priority,
        cost=request_cost(own_tokens, caller.max_output_tokens),
        size=caller.prompt_tokens,
        is_returning=spent_ms >= _MIN_SPENT_MS,
        weight=_weight_of(account),
    )


def _weight_of(account: ClientAccount | None) -> float:
    if account is None or account.weight is None:
        return 1.0
    return account.weight
