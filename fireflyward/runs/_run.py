"""Decisions of one run: messages in, actions out, no I/O."""

from dataclasses import dataclass
from functools import singledispatchmethod

from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineEvent,
    Finished,
    Piece,
    Refused,
)

_MAX_ATTEMPTS = 4
_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Begin:
    """The request is admitted."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """Routing's answer to ``Choose``; None when no replica can take the run."""

    replica: str | None


@dataclass(frozen=True, slots=True)
class AttemptEvent:
    """An event of attempt number ``attempt``."""

    attempt: int
    event: EngineEvent


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


Message = Begin | Chosen | AttemptEvent | CallerGone


@dataclass(frozen=True, slots=True)
class Choose:
    """Ask routing for a replica other than those that failed."""

    without: frozenset[str]


@dataclass(frozen=True, slots=True)
class Start:
    """Start the run on a replica."""

    attempt: int
    replica: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Read the run again on the same replica from an offset."""

    attempt: int
    replica: str
    offset: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give text to the caller."""

    text: str
    offset: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell a replica to stop a run that nobody waits for."""

    replica: str


@dataclass(frozen=True, slots=True)
class End:
    """The run's one outcome."""

    outcome: Outcome


Action = Choose | Start | Resume | Deliver | Cancel | End


class Run:
    """One run's state.

    A stream that breaks is resumed once on its replica at the offset that the
    caller has; after that the run goes to another replica of the same weight
    version, and the tokens that the caller already has are skipped there.
    """

    __slots__ = (
        "_attempt",
        "_deadline_ms",
        "_delivered",
        "_ended",
        "_failed",
        "_replica",
        "_resumed",
        "may_have_run",
    )

    def __init__(self, deadline_ms: int) -> None:
        self._deadline_ms = deadline_ms
        self._attempt = 0
        self._delivered = 0
        self._ended = False
        self._failed: frozenset[str] = frozenset()
        self._replica = ""
        self._resumed = False
        self.may_have_run = False

    def __repr__(self) -> str:
        return f"Run(attempt={self._attempt}, delivered={self._delivered})"

    def decide(self, now_ms: int, message: Message) -> list[Action]:
        """Return what is to be done after ``message``."""
        if self._ended:
            return []
        return self._on(message, now_ms)

    @singledispatchmethod
    def _on(self, message: Message, now_ms: int) -> list[Action]:
        raise TypeError(f"no decision for {message!r}")

    @_on.register
    def _(self, message: Begin, now_ms: int) -> list[Action]:
        return [Choose(self._failed)]

    @_on.register
    def _(self, message: Chosen, now_ms: int) -> list[Action]:
        if message.replica is None:
            return self._give_up(Reason.NO_UPSTREAM, "no replica can take it now")
        self._attempt += 1
        self._replica = message.replica
        self._resumed = False
        return [Start(self._attempt, message.replica)]

    @_on.register
    def _(self, message: CallerGone, now_ms: int) -> list[Action]:
        actions = self._give_up(Reason.CALLER_GONE, "the caller closed")
        return [Cancel(self._replica), *actions] if self._replica else actions

    @_on.register
    def _(self, message: AttemptEvent, now_ms: int) -> list[Action]:
        """Act on an event of the current attempt; crossed ones are dropped."""
        if message.attempt != self._attempt:
            return []
        return self._event(message.event, now_ms)

    @singledispatchmethod
    def _event(self, event: EngineEvent, now_ms: int) -> list[Action]:
        raise TypeError(f"no decision for {event!r}")

    @_event.register
    def _(self, event: Accepted, now_ms: int) -> list[Action]:
        self.may_have_run = True
        return []

    @_event.register
    def _(self, event: Piece, now_ms: int) -> list[Action]:
        if event.offset > self._delivered:
            return self._broken(now_ms)
        if event.offset + event.tokens <= self._delivered:
            return []
        self._delivered = event.offset + event.tokens
        return [Deliver(event.text, event.offset, event.tokens)]

    @_event.register
    def _(self, event: Finished, now_ms: int) -> list[Action]:
        if event.usage.completion_tokens != self._delivered:
            return self._broken(now_ms)
        self._ended = True
        return [End(Answered(event.usage))]

    @_event.register
    def _(self, event: Refused, now_ms: int) -> list[Action]:
        return self._elsewhere(now_ms)

    @_event.register
    def _(self, event: Broken, now_ms: int) -> list[Action]:
        self.may_have_run = self.may_have_run or event.may_have_run
        if not event.may_have_run:
            return self._elsewhere(now_ms)
        return self._broken(now_ms)

    def _broken(self, now_ms: int) -> list[Action]:
        if self._resumed:
            return [Cancel(self._replica), *self._elsewhere(now_ms)]
        self._resumed = True
        self._attempt += 1
        return [Resume(self._attempt, self._replica, self._delivered)]

    def _elsewhere(self, now_ms: int) -> list[Action]:
        self._failed = self._failed | {self._replica}
        if now_ms >= self._deadline_ms:
            return self._give_up(Reason.DEADLINE, "the deadline has passed")
        if len(self._failed) >= _MAX_ATTEMPTS:
            return self._give_up(Reason.UPSTREAM_FAILED, "no replica answered")
        return [Choose(self._failed)]

    def _give_up(self, reason: Reason, detail: str) -> list[Action]:
        self._ended = True
        kind = Unknown if self.may_have_run else NotRun
        return [End(kind(reason, detail, _RETRY_AFTER_MS))]
