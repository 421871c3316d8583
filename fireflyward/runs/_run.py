"""Decisions of one run: messages in, actions out, no I/O."""

from functools import singledispatch

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
from ._delivery_cursor import Delivered, Diverged, Gap
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
_MAX_QUIET_RESUMES = 10
_RETRY_AFTER_MS = 1_000


class Run:
    """One run's state.

    A stream that breaks or falls silent is resumed over a new connection at the
    offset that the caller has. An answer to that tells a slow replica from a lost
    connection; only a replica that gives none is left, for another that holds
    the same weight version, where the answer is made again and cut to fit.

    A run that is ``is_once`` is dispatched again only after a replica said, or the
    connection proved, that the dispatch before did not run.
    """

    __slots__ = (
        "_attempt",
        "_budget",
        "_deadline_ms",
        "_delivered",
        "_ended",
        "_failed",
        "_heard",
        "_is_once",
        "_is_resume",
        "_is_streamed",
        "_mark",
        "_may_run",
        "_quiet_resumes",
        "_ran_before",
        "_reads_only",
        "_refusal",
        "_retries",
        "_version",
    )

    def __init__(
        self,
        deadline_ms: int,
        *,
        version: str = "",
        is_once: bool = False,
        is_streamed: bool = True,
        budget: RetryBudget | None = None,
        mark: Mark | None = None,
    ) -> None:
        self._attempt = 0
        self._budget = budget or RetryBudget()
        self._deadline_ms = deadline_ms
        self._delivered = Delivered(mark)
        self._ended = False
        self._failed: frozenset[str] = frozenset()
        self._heard = False
        self._is_once = is_once
        self._is_resume = False
        self._is_streamed = is_streamed
        self._mark = mark
        self._may_run = False
        self._quiet_resumes = 0
        self._ran_before = mark is not None
        self._reads_only = False
        self._refusal: Refused | None = None
        self._retries = 0
        self._version = version

    def __repr__(self) -> str:
        return f"Run(attempt={self._attempt}, delivered={self._delivered.tokens})"

    @property
    def may_have_run(self) -> bool:
        """Tell whether any replica may have run any of it."""
        return self._may_run or self._ran_before

    @property
    def has_ended(self) -> bool:
        return self._ended

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Return what is to be done after ``message``."""
        if self._ended:
            return []
        return _on(message, self, now_ms)

    def _broken(self, now_ms: int, detail: str) -> list[Action]:
        """Resume, unless the replica did not even answer the last resume."""
        is_lost = self._is_resume and not self._heard
        if is_lost or self._quiet_resumes >= _MAX_QUIET_RESUMES:
            return self._leave(now_ms, detail)
        self._quiet_resumes += 1
        return self._resume()

    def _resume(self) -> list[Action]:
        self._attempt += 1
        self._is_resume = True
        self._heard = False
        replica = self._delivered.replica
        self._delivered.resume(replica)
        return [Resume(self._attempt, replica, self._delivered.tokens)]

    def _leave(self, now_ms: int, detail: str) -> list[Action]:
        """Go on at another replica, stopping what may still run at this one."""
        if self._reads_only:
            what = "an earlier request with this key was dispatched; its run is lost"
            return self._give_up(Reason.DUPLICATE_RUNNING, what)
        if self._is_once and self.may_have_run:
            return self._give_up(Reason.UPSTREAM_FAILED, detail)
        cancel = Cancel(self._delivered.replica)
        self._ran_before = self.may_have_run
        self._may_run = False
        if not self._is_streamed:
            self._delivered = Delivered(Mark(self._delivered.replica))
        return [cancel, *self._elsewhere(now_ms, detail, costs_budget=True)]

    def _elsewhere(
        self, now_ms: int, detail: str, *, costs_budget: bool = False
    ) -> list[Action]:
        """Ask for another replica after a pause.

        A retry of what a replica may have worked on costs budget, and so does one
        after an overloaded replica's refusal. A dispatch that never arrived put no
        load anywhere; leaving it free keeps the budget for the retries that can
        grow into a storm.
        """
        self._failed = self._failed | {self._delivered.replica}
        if len(self._failed) >= _MAX_REPLICAS:
            return self._give_up_refused(f"no replica answered, last: {detail}")
        if costs_budget and not self._budget.take():
            return self._give_up_refused(f"no budget for a retry, last: {detail}")
        self._retries += 1
        pause_ms = self._budget.pause_ms(self._retries)
        if now_ms + pause_ms >= self._deadline_ms:
            return self._give_up(Reason.DEADLINE, "no time is left for a retry")
        return [Wait(pause_ms)]

    def _diverged(self) -> list[Action]:
        detail = "another replica's answer is not the one that was begun"
        replica = self._delivered.replica
        return [Cancel(replica), *self._give_up(Reason.UPSTREAM_FAILED, detail)]

    def _abandon(self, reason: Reason, detail: str) -> list[Action]:
        """End a run that nobody waits for; what must be known is not stopped."""
        actions = self._give_up(reason, detail)
        if self._may_run and not self._is_once:
            return [Cancel(self._delivered.replica), *actions]
        return actions

    def _give_up_unplaced(self) -> list[Action]:
        if self._refusal:
            return self._give_up_refused(self._refusal.detail)
        return self._give_up(Reason.NO_UPSTREAM, "no replica can take it now")

    def _give_up_refused(self, detail: str) -> list[Action]:
        """Pass on why the last replica refused, and when asking again may help."""
        if self._refusal is None:
            return self._give_up(Reason.UPSTREAM_FAILED, detail)
        wait_ms = self._refusal.retry_after_ms or _RETRY_AFTER_MS
        return self._give_up(self._refusal.reason, detail, retry_after_ms=wait_ms)

    def _give_up(
        self, reason: Reason, detail: str, *, retry_after_ms: int = _RETRY_AFTER_MS
    ) -> list[Action]:
        self._ended = True
        kind = Unknown if self.may_have_run else NotRun
        outcome: Outcome = kind(reason, detail, retry_after_ms)
        return [End(outcome)]


@singledispatch
def _on(message: Message, run: Run, now_ms: int) -> list[Action]:
    raise TypeError(f"no decision for {message!r}")


@_on.register
def _(message: Begin, run: Run, now_ms: int) -> list[Action]:
    run._budget.on_request()
    if run._mark is None:
        return [Choose(run._failed)]
    run._reads_only = run._is_once
    run._delivered.replica = run._mark.replica
    return run._resume()


@_on.register
def _(message: Chosen, run: Run, now_ms: int) -> list[Action]:
    if message.replica is None:
        return run._give_up_unplaced()
    run._attempt += 1
    run._is_resume = False
    run._heard = False
    run._quiet_resumes = 0
    run._delivered.begin(message.replica)
    return [Start(run._attempt, message.replica)]


@_on.register
def _(message: Dispatching, run: Run, now_ms: int) -> list[Action]:
    run._may_run = run._may_run or message.attempt == run._attempt
    return []


@_on.register
def _(message: Denied, run: Run, now_ms: int) -> list[Action]:
    if message.attempt != run._attempt:
        return []
    run._ended = True
    return [End(message.outcome)]


@_on.register
def _(message: Stored, run: Run, now_ms: int) -> list[Action]:
    if message.attempt != run._attempt:
        return []
    run._ended = True
    tokens = message.usage.completion_tokens
    return [Deliver(message.text, 0, tokens), End(Answered(message.usage))]


@_on.register
def _(message: RunsElsewhere, run: Run, now_ms: int) -> list[Action]:
    """Read the run of the earlier request; never dispatch a second one."""
    if message.attempt != run._attempt:
        return []
    run._reads_only = True
    run._ran_before = True
    run._delivered.replica = message.replica
    return run._resume()


@_on.register
def _(message: Waited, run: Run, now_ms: int) -> list[Action]:
    return [Choose(run._failed)]


@_on.register
def _(message: DeadlinePassed, run: Run, now_ms: int) -> list[Action]:
    return run._abandon(Reason.DEADLINE, "the deadline has passed")


@_on.register
def _(message: CallerGone, run: Run, now_ms: int) -> list[Action]:
    if run._is_once and run._may_run:
        return []
    return run._abandon(Reason.CALLER_GONE, "the caller closed")


@_on.register
def _(message: AttemptEvent, run: Run, now_ms: int) -> list[Action]:
    """Act on an event of the current attempt; crossed ones are dropped."""
    if message.attempt != run._attempt:
        return []
    return _event(message.event, run, now_ms)


@singledispatch
def _event(event: EngineEvent, run: Run, now_ms: int) -> list[Action]:
    raise TypeError(f"no decision for {event!r}")


@_event.register
def _(event: Accepted, run: Run, now_ms: int) -> list[Action]:
    run._heard = True
    run._may_run = True
    if run._version and event.version and event.version != run._version:
        return run._leave(now_ms, f"answered by version {event.version}")
    return [Placed(run._delivered.mark())]


@_event.register
def _(event: KeepAlive, run: Run, now_ms: int) -> list[Action]:
    run._heard = True
    return []


@_event.register
def _(event: Piece, run: Run, now_ms: int) -> list[Action]:
    run._heard = True
    run._may_run = True
    result = run._delivered.take(event)
    if isinstance(result, Gap):
        return run._broken(now_ms, "a piece was missing")
    if isinstance(result, Diverged):
        return run._diverged()
    if result is None:
        return []
    run._quiet_resumes = 0
    return [result]


@_event.register
def _(event: Finished, run: Run, now_ms: int) -> list[Action]:
    if event.usage.completion_tokens != run._delivered.tokens:
        return run._broken(now_ms, "the end came before the last piece")
    run._ended = True
    return [End(Answered(event.usage))]


@_event.register
def _(event: Refused, run: Run, now_ms: int) -> list[Action]:
    if run._is_resume:
        return run._leave(now_ms, event.detail)
    if event.reason is Reason.DUPLICATE_RUNNING:
        run._may_run = True
        return run._resume()
    run._may_run = False
    run._refusal = _for_caller(event)
    is_overloaded = event.reason is Reason.OVERLOADED
    return run._elsewhere(now_ms, event.detail, costs_budget=is_overloaded)


@_event.register
def _(event: Broken, run: Run, now_ms: int) -> list[Action]:
    if event.may_have_run or run._is_resume or run._heard:
        return run._broken(now_ms, event.detail)
    run._may_run = False
    return run._elsewhere(now_ms, event.detail)


def _for_caller(refusal: Refused) -> Refused:
    """Return a replica's refusal as one of the whole request.

    A replica without the version says that it does not know the model. Told to the
    caller, this would read as a mistake of its own that no later try can mend,
    though another replica or a later moment can.
    """
    if refusal.reason is not Reason.UNKNOWN_MODEL:
        return refusal
    return Refused(Reason.NO_UPSTREAM, refusal.detail, refusal.retry_after_ms)
