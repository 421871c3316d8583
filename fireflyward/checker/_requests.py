"""Checks the outcomes of requests against what callers sent and upstreams ran."""

from dataclasses import dataclass, field
from functools import singledispatchmethod

from ._observations import (
    AttemptEnded,
    AttemptStatus,
    CallerDisconnected,
    NodeLost,
    Observation,
    RequestSent,
    RunStarted,
    StopStarted,
)
from ._promises import Promise, Violation

_MAX_SHOWN_CHARACTERS = 40


@dataclass(slots=True)
class _Request:
    sent: RequestSent
    runs: list[RunStarted] = field(default_factory=list)
    attempts: list[AttemptEnded] = field(default_factory=list)
    refused_run_ids: set[str] = field(default_factory=set)
    is_finished: bool = False


class RequestChecker:
    """Keeps a record of each request: its runs, attempts and refusals."""

    __slots__ = (
        "_owner_by_answer",
        "_request_by_name",
        "_stopping_nodes",
        "violations",
    )

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._request_by_name: dict[str, _Request] = {}
        self._owner_by_answer: dict[str, str] = {}
        self._stopping_nodes: set[str] = set()

    def finish(self, now_ms: int) -> list[Violation]:
        """Return all violations; a request without an outcome now counts as lost."""
        lost = [
            Violation(Promise.NOTHING_LOST, now_ms, f"{name} never got an outcome")
            for name, request in self._request_by_name.items()
            if not request.is_finished
        ]
        return self.violations + lost + self._late_false_refusals()

    def _late_false_refusals(self) -> list[Violation]:
        """Return violations for runs of refused non-idempotent requests.

        Runs that an attempt which was not refused may have caused are left out.
        """
        return [
            _false_refusal(run.at_ms, name)
            for name, request in self._request_by_name.items()
            if request.sent.is_non_idempotent and request.refused_run_ids
            for run in request.runs
            if not any(_may_have_caused(attempt, run) for attempt in request.attempts)
        ]

    @singledispatchmethod
    def observe(self, observation: Observation) -> None:
        """Record and check one observation of a caller, an upstream or a node."""
        raise TypeError(f"no check handles {observation!r}")

    @observe.register
    def _(self, observation: RequestSent) -> None:
        if observation.request in self._request_by_name:
            return
        self._request_by_name[observation.request] = _Request(observation)
        for answer in observation.answers:
            self._owner_by_answer.setdefault(answer, observation.request)

    @observe.register
    def _(self, observation: CallerDisconnected) -> None:
        self._request_by_name[observation.request].is_finished = True

    @observe.register
    def _(self, observation: StopStarted) -> None:
        self._stopping_nodes.add(observation.node)

    @observe.register
    def _(self, observation: NodeLost) -> None:
        self._stopping_nodes.discard(observation.node)

    @observe.register
    def _(self, observation: RunStarted) -> None:
        request = self._request_by_name.get(observation.request)
        if request is None:
            detail = (
                f"{observation.upstream} ran {observation.request!r}, "
                "which no caller sent"
            )
            self._add(Promise.OWN_ACCOUNT, observation.at_ms, detail)
            return
        request.runs.append(observation)
        if request.sent.is_non_idempotent:
            self._check_at_most_once(observation, request)
        elif observation.run_id in request.refused_run_ids:
            found = _false_refusal(observation.at_ms, observation.request)
            self.violations.append(found)

    def _check_at_most_once(self, observation: RunStarted, request: _Request) -> None:
        if len(request.runs) > 1:
            detail = f"{observation.request} ran {len(request.runs)} times"
            self._add(Promise.AT_MOST_ONCE, observation.at_ms, detail)

    @observe.register
    def _(self, observation: AttemptEnded) -> None:
        request = self._request_by_name[observation.request]
        request.is_finished = request.is_finished or observation.is_final
        if request.sent.is_non_idempotent:
            request.attempts.append(observation)
        self._check_answer(observation, request)
        if observation.status is AttemptStatus.NOT_RUN:
            self._check_refusal(observation, request)
        if (
            observation.status is AttemptStatus.CUT
            and observation.node in self._stopping_nodes
        ):
            detail = f"{observation.node} cut {observation.request}"
            self._add(Promise.GRACEFUL_STOP, observation.at_ms, detail)

    def _check_refusal(self, observation: AttemptEnded, request: _Request) -> None:
        """Check "not run" against earlier runs, and record it to check later runs.

        An idempotent request may run for another attempt of its caller, so only the
        runs of this attempt count. For a non-idempotent request every earlier run
        counts, because a caller that receives "not run" may perform the action by
        other means.
        """
        request.refused_run_ids.add(observation.run_id)
        if any(
            request.sent.is_non_idempotent or _belongs_to_attempt(run, observation)
            for run in request.runs
        ):
            found = _false_refusal(observation.at_ms, observation.request)
            self.violations.append(found)

    def _check_answer(self, observation: AttemptEnded, request: _Request) -> None:
        text = observation.text
        if observation.status is AttemptStatus.ANSWERED:
            if text in request.sent.answers:
                return
        elif any(answer.startswith(text) for answer in request.sent.answers):
            return
        owner = self._owner_by_answer.get(text)
        other = self._request_by_name[owner].sent.account if owner else None
        shown = f"{observation.request} got {text[:_MAX_SHOWN_CHARACTERS]!r}"
        if other is not None and other != request.sent.account:
            self._add(Promise.OWN_ACCOUNT, observation.at_ms, f"{shown} of {owner}")
        else:
            self._add(Promise.WHOLE_ANSWER, observation.at_ms, shown)

    def _add(self, promise: Promise, at_ms: int, detail: str) -> None:
        self.violations.append(Violation(promise, at_ms, detail))


def _belongs_to_attempt(run: RunStarted, ended: AttemptEnded) -> bool:
    """Return whether a run belongs to an attempt, by run id or by node and time."""
    if run.run_id == ended.run_id:
        return True
    has_window = ended.started_ms >= 0 and run.node == ended.node != ""
    return has_window and ended.started_ms <= run.at_ms <= ended.at_ms


def _may_have_caused(attempt: AttemptEnded, run: RunStarted) -> bool:
    """Return whether an attempt that was not refused may have caused a run."""
    if attempt.status is AttemptStatus.NOT_RUN:
        return False
    if attempt.run_id == run.run_id:
        return True
    return attempt.node == run.node != "" and attempt.started_ms <= run.at_ms


def _false_refusal(at_ms: int, name: str) -> Violation:
    return Violation(Promise.TRUE_REFUSAL, at_ms, f"{name} was refused but ran")
