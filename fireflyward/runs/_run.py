"""Decides what a run does next: messages in, actions out, no I/O."""

from functools import singledispatch

from fireflyward.limits import MAX_RETRY_AFTER_MS
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineEvent,
    Finished,
    KeepAlive,
    Piece,
    Refused,
)

from ._budget import RetryBudget
from ._delivery_cursor import DeliveryCursor, Diverged, Gap
from ._messages import (
    Action,
    AttemptEvent,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    DeadlinePassed,
    Deliver,
    Denied,
    Dispatching,
    End,
    Mark,
    Message,
    Placed,
    Resume,
    RunsElsewhere,
    Start,
    Stored,
    Wait,
    Waited,
)

_MAX_REPLICAS = 4
_MAX_RESUMES_WITHOUT_PROGRESS = 10
_RETRY_AFTER_MS = 1_000


class Run:
    """The state of one run.

    A stream that breaks or falls silent is resumed over a new connection at the
    offset that the caller has reached. If the replica answers, it is only slow or its
    connection was lost. If it does not answer, the run moves to another replica with
    the same weight version, which generates the answer again, and the part that the
    caller already has is cut off.

    A run with ``is_non_idempotent`` is dispatched again only after a replica has
    reported, or the connection has proved, that the previous dispatch did not run.
    """

    __slots__ = (
        "_attempt",
        "_budget",
        "_deadline_ms",
        "_cursor",
        "_has_ended",
        "_failed",
        "_has_received",
        "_is_non_idempotent",
        "_is_resume",
        "_is_streamed",
        "_mark",
        "_attempt_may_have_run",
        "_resumes_without_progress",
        "_earlier_may_have_run",
        "_is_read_only",
        "_refusal",
        "_retries",
        "_version",
    )

    def __init__(
        self,
        deadline_ms: int,
        *,
        version: str = "",
        is_non_idempotent: bool = False,
        is_streamed: bool = True,
        budget: RetryBudget | None = None,
        mark: Mark | None = None,
    ) -> None:
        self._attempt = 0
        self._budget = budget or RetryBudget()
        self._deadline_ms = deadline_ms
        self._cursor = DeliveryCursor(mark)
        self._has_ended = False
        self._failed: frozenset[str] = frozenset()
        self._has_received = False
        self._is_non_idempotent = is_non_idempotent
        self._is_resume = False
        self._is_streamed = is_streamed
        self._mark = mark
        self._attempt_may_have_run = False
        self._resumes_without_progress = 0
        self._earlier_may_have_run = mark is not None
        self._is_read_only = False
        self._refusal: Refused | None = None
        self._retries = 0
        self._version = version

    def __repr__(self) -> str:
        return f"Run(attempt={self._attempt}, delivered={self._cursor.tokens})"

    @property
    def may_have_run(self) -> bool:
        """Return whether any replica may have executed any part of the run."""
        return self._attempt_may_have_run or self._earlier_may_have_run

    @property
    def has_ended(self) -> bool:
        return self._has_ended

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Return the actions that follow from ``message``."""
        if self._has_ended:
            return []
        return _decide(message, self, now_ms)

    def _on_broken_stream(self, now_ms: int, detail: str) -> list[Action]:
        """Resume the stream, unless the replica did not answer the last resume."""
        is_unreachable = self._is_resume and not self._has_received
        if (
            is_unreachable
            or self._resumes_without_progress >= _MAX_RESUMES_WITHOUT_PROGRESS
        ):
            return self._leave_replica(now_ms, detail)
        self._resumes_without_progress += 1
        return self._resume()

    def _resume(self) -> list[Action]:
        self._attempt += 1
        self._is_resume = True
        self._has_received = False
        replica = self._cursor.replica
        self._cursor.resume_attempt(replica)
        return [Resume(self._attempt, replica, self._cursor.tokens)]

    def _leave_replica(self, now_ms: int, detail: str) -> list[Action]:
        """Continue on another replica, and cancel the run on this one."""
        if self._is_read_only:
            earlier_detail = (
                "an earlier request with this key was dispatched; its run is lost"
            )
            return self._fail(Reason.DUPLICATE_RUNNING, earlier_detail)
        if self._is_non_idempotent and self.may_have_run:
            return self._fail(Reason.UPSTREAM_FAILED, detail)
        cancel = Cancel(self._cursor.replica)
        self._earlier_may_have_run = self.may_have_run
        self._attempt_may_have_run = False
        if not self._is_streamed:
            self._cursor = DeliveryCursor(Mark(self._cursor.replica))
        return [cancel, *self._retry_elsewhere(now_ms, detail, costs_budget=True)]

    def _retry_elsewhere(
        self, now_ms: int, detail: str, *, costs_budget: bool = False
    ) -> list[Action]:
        """Request another replica after a backoff.

        A retry of a run that a replica may have worked on uses the retry budget, and
        so does a retry after an overloaded replica's rejection. A dispatch that never
        arrived caused no load; it uses no budget, which saves the budget for retries
        that could add up to a retry storm.
        """
        self._failed = self._failed | {self._cursor.replica}
        if len(self._failed) >= _MAX_REPLICAS:
            return self._fail_with_refusal(f"no replica answered, last: {detail}")
        if costs_budget and not self._budget.try_acquire():
            return self._fail_with_refusal(
                f"the retry budget is used up, last: {detail}"
            )
        self._retries += 1
        backoff_ms = self._budget.backoff_ms(self._retries)
        if now_ms + backoff_ms >= self._deadline_ms:
            return self._fail(
                Reason.DEADLINE, "no time is left for a retry before the deadline"
            )
        return [Wait(backoff_ms)]

    def _on_diverged(self) -> list[Action]:
        detail = "another replica's answer differs from the part already delivered"
        replica = self._cursor.replica
        return [Cancel(replica), *self._fail(Reason.UPSTREAM_FAILED, detail)]

    def _abandon(self, reason: Reason, detail: str) -> list[Action]:
        """End a run without a waiting caller; a non-idempotent run is not cancelled."""
        actions = self._fail(reason, detail)
        if self._attempt_may_have_run and not self._is_non_idempotent:
            return [Cancel(self._cursor.replica), *actions]
        return actions

    def _fail_without_replica(self) -> list[Action]:
        if self._refusal:
            return self._fail_with_refusal(self._refusal.detail)
        return self._fail(Reason.NO_UPSTREAM, "no replica can execute the request now")

    def _fail_with_refusal(self, detail: str) -> list[Action]:
        """End the run with the reason and retry delay of the last rejection, if any."""
        if self._refusal is None:
            return self._fail(Reason.UPSTREAM_FAILED, detail)
        wait_ms = self._refusal.retry_after_ms or _RETRY_AFTER_MS
        wait_ms = min(wait_ms, MAX_RETRY_AFTER_MS)
        return self._fail(self._refusal.reason, detail, retry_after_ms=wait_ms)

    def _fail(
        self, reason: Reason, detail: str, *, retry_after_ms: int = _RETRY_AFTER_MS
    ) -> list[Action]:
        self._has_ended = True
        kind = Unknown if self.may_have_run else NotRun
        outcome: Outcome = kind(reason, detail, retry_after_ms)
        return [End(outcome)]


@singledispatch
def _decide(message: Message, run: Run, now_ms: int) -> list[Action]:
    raise TypeError(f"no decision for {message!r}")


@_decide.register
def _(message: Begin, run: Run, now_ms: int) -> list[Action]:
    run._budget.on_request()
    if run._mark is None:
        return [Choose(run._failed)]
    run._is_read_only = run._is_non_idempotent
    run._cursor.replica = run._mark.replica
    return run._resume()


@_decide.register
def _(message: Chosen, run: Run, now_ms: int) -> list[Action]:
    if message.replica is None:
        return run._fail_without_replica()
    run._attempt += 1
    run._is_resume = False
    run._has_received = False
    run._resumes_without_progress = 0
    run._cursor.begin_attempt(message.replica)
    return [Start(run._attempt, message.replica)]


@_decide.register
def _(message: Dispatching, run: Run, now_ms: int) -> list[Action]:
    run._attempt_may_have_run = (
        run._attempt_may_have_run or message.attempt == run._attempt
    )
    return []


@_decide.register
def _(message: Denied, run: Run, now_ms: int) -> list[Action]:
    if message.attempt != run._attempt:
        return []
    run._has_ended = True
    return [End(message.outcome)]


@_decide.register
def _(message: Stored, run: Run, now_ms: int) -> list[Action]:
    if message.attempt != run._attempt:
        return []
    run._has_ended = True
    tokens = message.usage.completion_tokens
    return [Deliver(message.text, 0, tokens), End(Answered(message.usage))]


@_decide.register
def _(message: RunsElsewhere, run: Run, now_ms: int) -> list[Action]:
    """Read the run of the earlier request; this request is never dispatched."""
    if message.attempt != run._attempt:
        return []
    run._is_read_only = True
    run._earlier_may_have_run = True
    run._cursor.replica = message.replica
    return run._resume()


@_decide.register
def _(message: Waited, run: Run, now_ms: int) -> list[Action]:
    return [Choose(run._failed)]


@_decide.register
def _(message: DeadlinePassed, run: Run, now_ms: int) -> list[Action]:
    return run._abandon(Reason.DEADLINE, "the deadline has passed")


@_decide.register
def _(message: CallerGone, run: Run, now_ms: int) -> list[Action]:
    if run._is_non_idempotent and run._attempt_may_have_run:
        return []
    return run._abandon(Reason.CALLER_GONE, "the caller closed its connection")


@_decide.register
def _(message: AttemptEvent, run: Run, now_ms: int) -> list[Action]:
    """Handle an event of the current attempt; drop events of earlier attempts."""
    if message.attempt != run._attempt:
        return []
    return _decide_event(message.event, run, now_ms)


@singledispatch
def _decide_event(event: EngineEvent, run: Run, now_ms: int) -> list[Action]:
    raise TypeError(f"no decision for {event!r}")


@_decide_event.register
def _(event: Accepted, run: Run, now_ms: int) -> list[Action]:
    run._has_received = True
    run._attempt_may_have_run = True
    if run._version and event.version and event.version != run._version:
        return run._leave_replica(now_ms, f"answered by version {event.version}")
    return [Placed(run._cursor.mark())]


@_decide_event.register
def _(event: KeepAlive, run: Run, now_ms: int) -> list[Action]:
    run._has_received = True
    return []


@_decide_event.register
def _(event: Piece, run: Run, now_ms: int) -> list[Action]:
    run._has_received = True
    run._attempt_may_have_run = True
    result = run._cursor.on_piece(event)
    if isinstance(result, Gap):
        return run._on_broken_stream(now_ms, "a piece of the answer is missing")
    if isinstance(result, Diverged):
        return run._on_diverged()
    if result is None:
        return []
    run._resumes_without_progress = 0
    return [result]


@_decide_event.register
def _(event: Finished, run: Run, now_ms: int) -> list[Action]:
    if event.usage.completion_tokens != run._cursor.tokens:
        return run._on_broken_stream(now_ms, "the stream ended before the last piece")
    run._has_ended = True
    return [End(Answered(event.usage))]


@_decide_event.register
def _(event: Refused, run: Run, now_ms: int) -> list[Action]:
    if run._is_resume:
        return run._leave_replica(now_ms, event.detail)
    if event.reason is Reason.DUPLICATE_RUNNING:
        run._attempt_may_have_run = True
        return run._resume()
    run._attempt_may_have_run = False
    run._refusal = _for_caller(event)
    is_overloaded = event.reason is Reason.OVERLOADED
    return run._retry_elsewhere(now_ms, event.detail, costs_budget=is_overloaded)


@_decide_event.register
def _(event: Broken, run: Run, now_ms: int) -> list[Action]:
    if event.may_have_run or run._is_resume or run._has_received:
        return run._on_broken_stream(now_ms, event.detail)
    run._attempt_may_have_run = False
    return run._retry_elsewhere(now_ms, event.detail)


def _for_caller(refusal: Refused) -> Refused:
    """Return a replica's rejection in the form that is valid for the whole request.

    A replica without the weight version rejects the request because the model is
    unknown to it. Passed on to the caller, this would look like a permanent mistake in
    the request, although another replica or a later attempt can succeed.
    """
    if refusal.reason is not Reason.UNKNOWN_MODEL:
        return refusal
    return Refused(Reason.NO_UPSTREAM, refusal.detail, refusal.retry_after_ms)
