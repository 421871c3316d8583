"""Decides after each send whether a request goes to another replica."""

from collections.abc import Callable
from functools import singledispatchmethod

from fireflyward.limits import bounded_retry_after_ms
from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.quarantine import Held

from ._admission import MAX_WAIT_SHARE, SHORTEST_RETRY_AFTER_MS
from ._messages import (
    Decision,
    Deliver,
    Failed,
    Finish,
    NoPath,
    NoReplica,
    Rejected,
    RejectionReason,
    SendResult,
    TryAgain,
    Unsent,
    WholeAnswer,
    Withdrawn,
)

# A send that the replica does not run costs little, but each one counts as an arrival
# at the service.
_MAX_REJECTIONS = 3
_MAX_UNSENT = 4
# A replica that answers with another incarnation shows that the list of replicas is out
# of date.
_MAX_MISDIRECTED = 3
# With less time left than this, another replica could not answer before the deadline.
_MIN_RETRY_WINDOW_MS = 40
# About the time after which a rejected caller finds a free slot again.
_RETRY_AFTER_MS = 300
_RETRY_PAUSE_MS = 15


class AttemptPlan:
    """Decides on the attempts of one request across replicas; no I/O.

    A non-idempotent request is finished after the first send that may have run. Any
    other request is sent to another replica as long as the route's limit, the shared
    retry budget and the deadline allow it. A request that certainly did not run is
    reported as not run, so that the caller may retry it.

    >>> plan = AttemptPlan(max_attempts=2, may_repeat=False, take_budget=lambda: True)
    >>> plan.decide(1_000, Failed("connection closed"))
    Finish(outcome=Unknown(reason=<Reason.UPSTREAM_FAILED: 'upstream_failed'>, \
detail='connection closed', retry_after_ms=0))
    """

    __slots__ = (
        "_fallback",
        "_max_attempts",
        "_may_repeat",
        "_misdirected",
        "_rejections",
        "_possible_runs",
        "_take_budget",
        "_unsent",
    )

    def __init__(
        self, *, max_attempts: int, may_repeat: bool, take_budget: Callable[[], bool]
    ) -> None:
        self._max_attempts = max_attempts
        self._may_repeat = may_repeat
        self._take_budget = take_budget
        self._fallback: WholeAnswer | None = None
        self._possible_runs = 0
        self._rejections = 0
        self._misdirected = 0
        self._unsent = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have begun on the request."""
        return self._possible_runs > 0

    def decide(self, left_ms: float, result: SendResult) -> Decision:
        """Return the next step after a send, with ``left_ms`` until the deadline."""
        return self._decide(result, left_ms)

    def may_send_second(self, left_ms: float) -> bool:
        """Return whether a second send may start while the first one is open.

        Both count as possible runs. If it may start, the retry budget is charged.
        """
        return (
            self._possible_runs + 2 <= self._max_attempts
            and self.may_repeat_at(left_ms)
            and self._take_budget()
        )

    def may_repeat_at(self, left_ms: float) -> bool:
        """Return whether route and deadline permit another send that may run."""
        is_below_limit = self._possible_runs + 1 < self._max_attempts
        return self._may_repeat and is_below_limit and left_ms > _MIN_RETRY_WINDOW_MS

    def on_cancelled(self) -> None:
        """Count a send that was cancelled or ended by an unexpected exception."""
        self._possible_runs += 1

    def on_other_result(self, result: SendResult) -> None:
        """Count the result of one of two sends; the other one is decided on."""
        if isinstance(result, Failed | Withdrawn | WholeAnswer):
            self._possible_runs += 1
        if isinstance(result, WholeAnswer):
            self._fallback = result

    def abort(
        self, reason: Reason, detail: str, *, retry_after_ms: int = _RETRY_AFTER_MS
    ) -> Finish | Deliver:
        """Finish the request now; the outcome says whether it may have run."""
        if self._fallback is not None:
            return Deliver(self._fallback)
        if self._possible_runs:
            return Finish(Unknown(reason, detail))
        return Finish(NotRun(reason, detail, retry_after_ms))

    @singledispatchmethod
    def _decide(self, result: SendResult, left_ms: float) -> Decision:
        raise TypeError(f"no decision for {result!r}")

    @_decide.register
    def _(self, result: Held, left_ms: float) -> Decision:
        return self.abort(
            Reason.CRASHES_UPSTREAMS,
            result.detail,
            retry_after_ms=result.retry_after_ms,
        )

    @_decide.register
    def _(self, result: NoReplica, left_ms: float) -> Decision:
        return self.abort(
            Reason.NO_UPSTREAM,
            result.detail,
            retry_after_ms=max(_RETRY_AFTER_MS, result.wait_ms),
        )

    @_decide.register
    def _(self, result: NoPath, left_ms: float) -> Decision:
        return self.abort(
            Reason.NO_UPSTREAM,
            "no replica can be reached from this node",
            retry_after_ms=_bounded_retry_after_ms(left_ms),
        )

    @_decide.register
    def _(self, result: Unsent, left_ms: float) -> Decision:
        self._unsent += 1
        if self._unsent < _MAX_UNSENT and left_ms > _MIN_RETRY_WINDOW_MS:
            return TryAgain()
        return self.abort(
            Reason.NO_UPSTREAM,
            result.detail,
            retry_after_ms=_bounded_retry_after_ms(left_ms),
        )

    @_decide.register
    def _(self, result: Rejected, left_ms: float) -> Decision:
        if result.reason is RejectionReason.FULL:
            self._rejections += 1
        else:
            self._misdirected += 1
        may_retry = (
            self._rejections < _MAX_REJECTIONS
            and self._misdirected < _MAX_MISDIRECTED
            and left_ms > _MIN_RETRY_WINDOW_MS
        )
        if may_retry and self._take_budget():
            return TryAgain(_RETRY_PAUSE_MS if self._rejections > 1 else 0)
        return self.abort(
            Reason.OVERLOADED,
            f"replicas say {result.reason.value}",
            retry_after_ms=_bounded_retry_after_ms(left_ms),
        )

    @_decide.register
    def _(self, result: Failed, left_ms: float) -> Decision:
        self._possible_runs += 1
        if self._may_rerun(left_ms):
            return TryAgain()
        reason = Reason.DEADLINE if result.is_late else Reason.UPSTREAM_FAILED
        return self.abort(reason, result.detail)

    @_decide.register
    def _(self, result: Withdrawn, left_ms: float) -> Decision:
        self._possible_runs += 1
        if self._may_rerun(left_ms):
            return TryAgain()
        return self.abort(Reason.UPSTREAM_FAILED, result.detail)

    @_decide.register
    def _(self, result: WholeAnswer, left_ms: float) -> Decision:
        self._possible_runs += 1
        if not result.is_failure:
            return Deliver(result)
        self._fallback = result
        if self._may_rerun(left_ms):
            return TryAgain()
        return Deliver(result)

    def _may_rerun(self, left_ms: float) -> bool:
        return (
            self._may_repeat
            and self._possible_runs < self._max_attempts
            and left_ms > _MIN_RETRY_WINDOW_MS
            and self._take_budget()
        )


def _bounded_retry_after_ms(left_ms: float) -> int:
    return bounded_retry_after_ms(
        _RETRY_AFTER_MS,
        min_ms=SHORTEST_RETRY_AFTER_MS,
        max_ms=MAX_WAIT_SHARE * left_ms,
    )
