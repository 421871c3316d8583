"""Makes the second send of a request whose response is overdue."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from fireflyward.hedging import Refusal, SecondSendReason
from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.replicas import Choice, ReplicaState

from ._dependencies import Dependencies
from ._messages import SendResult, Superseded, Unsent
from ._plan import AttemptPlan
from ._quarantine_check import QuarantineCheck
from ._trace import Trace


class SecondSend:
    """Checks whether a request may have a second send, and opens its connection."""

    __slots__ = (
        "_choices",
        "_choose",
        "_is_valid",
        "_connect",
        "_deps",
        "_is_made",
        "_left_ms",
        "_on_unsent",
        "_plan",
        "_quarantine_check",
        "_send",
        "_service",
        "_started_ms",
        "_trace",
    )

    def __init__(
        self,
        deps: Dependencies,
        plan: AttemptPlan,
        trace: Trace,
        *,
        first: Choice,
        service: str,
        choose: Callable[[], Choice | None],
        connect: Callable[[Choice], Awaitable[HttpConnection | NotConnected]],
        quarantine_check: QuarantineCheck,
        on_unsent: Callable[[ReplicaState, NotConnected], Unsent],
        send: Callable[[HttpConnection, Choice], Awaitable[SendResult | Superseded]],
        left_ms: Callable[[], float],
        is_valid: Callable[[Choice], bool] = lambda choice: True,
    ) -> None:
        """``is_valid`` says of a choice whether its weights may still serve."""
        self._deps = deps
        self._plan = plan
        self._trace = trace
        self._service = service
        self._choose = choose
        self._connect = connect
        self._quarantine_check = quarantine_check
        self._on_unsent = on_unsent
        self._send = send
        self._left_ms = left_ms
        self._is_valid = is_valid
        self._choices = [first]
        self._is_made = False
        self._started_ms = deps.clock.now_ms()
        deps.hedging.second_sends.on_sent(self._started_ms, service)

    def begin(
        self, reason: SecondSendReason
    ) -> Coroutine[Any, Any, SendResult | Superseded | None] | None:
        """Return the second send, or None if there is none for this reason."""
        refusal, choice = self._check(reason)
        if choice is None:
            self._trace.second_refused = str(refusal)
            return None
        self._trace.second_send = str(reason)
        self._trace.second_refused = ""
        self._trace.second_after_ms = self._deps.clock.now_ms() - self._started_ms
        self._choices.append(choice)
        return self._run(choice)

    def finish(
        self, winner: int | None, results: list[tuple[int, SendResult]]
    ) -> SendResult:
        """Record which send won, if there were two; return the result to decide on."""
        for number, other in results[:-1]:
            self._plan.on_other_result(other)
            self._trace.on_other_result(self._choices[number], other)
        number, result = results[-1]
        self._trace.on_choice(self._choices[number])
        if self._is_made and winner is not None:
            self._record_winner(winner, was_cancelled=len(results) == 1)
        return result

    def _record_winner(self, winner: int, *, was_cancelled: bool) -> None:
        self._trace.second_winner = "second" if winner else "first"
        self._deps.hedging.second_sends.on_finished(
            self._deps.clock.now_ms(),
            self._service,
            second_won=winner == 1,
            was_cancelled=was_cancelled,
        )

    def _check(
        self, reason: SecondSendReason
    ) -> tuple[Refusal, None] | tuple[None, Choice]:
        if self._quarantine_check.is_on_trial:
            return Refusal.ON_TRIAL, None
        now_ms, hedging = self._deps.clock.now_ms(), self._deps.hedging
        few_silent = hedging.silent.are_few(now_ms)
        refusal = hedging.second_sends.check(
            now_ms, self._service, reason, few_silent=few_silent
        )
        if refusal is not None:
            return refusal, None
        choice = self._choose()
        if choice is None or self._is_unusable(now_ms, choice.replica):
            return Refusal.NO_REPLICA, None
        if choice.slot_ms > 0 or choice.replica.is_full(now_ms):
            return Refusal.NO_SLOT, None
        if not choice.has_room:
            # The replica would preempt streams for a send that may not be needed.
            return Refusal.NO_ROOM, None
        if not self._plan.may_send_second(self._left_ms()):
            return Refusal.NO_BUDGET, None
        return None, choice

    def _is_unusable(self, now_ms: int, replica: ReplicaState) -> bool:
        silent = self._deps.hedging.silent
        return (
            replica.is_suspect(now_ms)
            or replica.is_loading(now_ms)
            or silent.is_silent(now_ms, replica.incarnation_id)
        )

    async def _run(self, choice: Choice) -> SendResult | Superseded | None:
        backpressure = choice.replica.backpressure
        changes = backpressure.changes
        held = await self._quarantine_check.admit()
        if held is not None or self._quarantine_check.is_on_trial:
            # The gate may have granted a trial while the first send is open. The trial
            # is kept for a send that follows the first one.
            self._trace.second_refused = str(Refusal.ON_TRIAL)
            return None
        connection = await self._connect(choice)
        if isinstance(connection, NotConnected):
            return self._on_unsent(choice.replica, connection)
        has_changed = backpressure.changes != changes or not self._is_valid(choice)
        if has_changed or self._left_ms() < 1:
            # Meanwhile the replica changed its limit or backoff, it must get no new
            # requests, or its weights may no longer serve: the choice is not valid.
            self._deps.pool.release(connection)
            return None
        self._is_made = True
        self._quarantine_check.on_send(choice)
        self._deps.hedging.second_sends.on_made()
        return await self._send(connection, choice)
