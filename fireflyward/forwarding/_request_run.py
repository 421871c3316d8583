"""Runs one request: sends it to replicas until it has an outcome."""

from fireflyward.attribution import UsedConnections
from fireflyward.deployment import RouteKind
from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.platform import (
    CallerRequest,
    ReplicaHeaders,
)
from fireflyward.poison import part_keys
from fireflyward.quarantine import fingerprint_of
from fireflyward.replicas import Choice, ReplicaState
from fireflyward.routes import Allowed

from ._admission import estimate_latency
from ._dependencies import Dependencies
from ._exchange import Reply, StreamProgress
from ._fair_check import FairCheck
from ._messages import (
    Deliver,
    Failed,
    Finish,
    NoPath,
    NoReplica,
    NotRunThere,
    Rejected,
    RejectionReason,
    SendResult,
    Streamed,
    Superseded,
    Unsent,
    WholeAnswer,
    Withdrawn,
)
from ._plan import AttemptPlan
from ._prompt_requirements import PromptRequirements
from ._quarantine_check import QuarantineCheck
from ._rejection import on_rejected
from ._replica_choice import ReplicaChoice
from ._replica_send import ReplicaSend
from ._second_send import SecondSend
from ._send_headers import replica_headers
from ._send_race import SendRace
from ._stream_version import StreamVersion
from ._trace import Trace
from ._waiting_sends import WithdrawableSend
from ._weights_check import WeightsCheck

# A replica is a few ms away, and TCP resends a lost packet after 200 ms.
_CONNECT_TIMEOUT_MS = 350


class RequestRun:
    """One request, from its arrival until its caller has an outcome or disconnects."""

    __slots__ = (
        "_allowed",
        "_arrived_ms",
        "_body",
        "_caller",
        "_clock",
        "_due_ms",
        "_fair",
        "_is_late",
        "_objective_ms",
        "_deps",
        "_requirements",
        "_quarantine_check",
        "_plan",
        "_progress",
        "_reply",
        "_replica_choice",
        "_service",
        "_stream_version",
        "_trace",
        "_used_connections",
        "_waits_late",
        "_weights_check",
    )

    def __init__(
        self,
        deps: Dependencies,
        caller: CallerRequest,
        body: bytes,
        allowed: Allowed,
        arrived_ms: int,
        reply: Reply,
        trace: Trace,
    ) -> None:
        self._trace = trace
        trace.route = allowed.route.name
        trace.account = allowed.account.name if allowed.account else ""
        trace.fingerprint = fingerprint_of(
            trace.account,
            caller.target,
            body,
            model=caller.model,
            parts=(part.part_id for part in caller.parts),
        )
        trace.service = allowed.service
        trace.shared_parts = ",".join(part.part_id for part in caller.parts[:-1])
        trace.resumed_from = caller.first_request_id or ""
        trace.configuration = allowed.configuration_version
        self._deps = deps
        self._clock = deps.clock
        self._caller = caller
        self._body = body
        self._allowed = allowed
        self._reply = reply
        self._service = allowed.service
        limit_ms = allowed.route.timeout_ms
        if caller.deadline_ms is not None:
            limit_ms = min(limit_ms, caller.deadline_ms)
        self._arrived_ms = arrived_ms
        self._due_ms = arrived_ms + limit_ms
        spent_ms = deps.callers.spent_ms(allowed.route.name, caller.deadline_ms)
        self._objective_ms = arrived_ms + allowed.route.objective_ms - spent_ms
        self._fair = FairCheck(deps, caller, allowed, spent_ms, trace)
        self._is_late = False
        self._waits_late = False
        self._progress = StreamProgress()
        self._used_connections = UsedConnections()
        self._stream_version = StreamVersion(
            deps, caller, allowed, self._progress, trace
        )
        self._requirements = PromptRequirements(
            caller, allowed, planner=deps.planner, weights=deps.weights
        )
        self._replica_choice = ReplicaChoice(
            deps.chooser, self._requirements, self._stream_version, clock=deps.clock
        )
        self._weights_check = WeightsCheck(
            deps.weights, caller.model, trace, clock=deps.clock
        )
        self._quarantine_check = QuarantineCheck(
            deps.gate,
            trace.fingerprint,
            deps.part_gate,
            part_keys(allowed.service, caller.model, caller.parts),
        )
        self._plan = AttemptPlan(
            max_attempts=allowed.route.max_attempts,
            may_repeat=allowed.route.may_repeat,
            # A reference to this run would keep it until the garbage collector runs.
            take_budget=lambda: deps.budget.try_acquire(
                deps.clock.now_ms(), allowed.service
            ),
        )

    async def run(self) -> Outcome:
        """Send the request until its plan finishes it; see ``Forwarder.serve``."""
        try:
            outcome = await self._send_until_done()
            has_time = self._left_ms() >= 1
            self._fair.on_outcome(self._clock.now_ms(), outcome, has_time=has_time)
            return outcome
        finally:
            # The caller may close its connection before its request was sent.
            self._stop_late_wait(None)
            self._quarantine_check.close()
            # A traceback or a late task may refer to the run for longer.
            self._body = b""

    async def _send_until_done(self) -> Outcome:
        self._deps.budget.on_request(self._clock.now_ms(), self._service)
        rejection = await self._stream_version.find(self._left_ms())
        if rejection is not None:
            return rejection
        while True:
            result = await self._send_once()
            if isinstance(result, Streamed):
                return Answered()
            if isinstance(result, NotRun):
                return result
            decision = self._plan.decide(self._left_ms(), result)
            if isinstance(decision, Deliver):
                return await self._deliver(decision.answer)
            if isinstance(decision, Finish):
                self._trace.on_finish(result)
                return decision.outcome
            self._trace.on_retry(self._caller.request_id, result, self._left_ms())
            if decision.pause_ms:
                await self._clock.sleep_ms(decision.pause_ms)

    async def _deliver(self, answer: WholeAnswer) -> Outcome:
        if self._progress.has_begun:
            return Unknown(Reason.UPSTREAM_FAILED, "no replica continued the stream")
        if not answer.is_forwardable:
            return Unknown(Reason.UPSTREAM_FAILED, "replica failed after it had begun")
        await self._reply.send_response(answer.head, answer.body)
        return Answered()

    async def _send_once(self) -> SendResult | NotRun:
        held = await self._quarantine_check.admit()
        if held is not None:
            return held
        while True:
            left_ms = self._left_ms()
            if left_ms < 1:
                return NoReplica()
            choice = self._choose()
            if choice is None:
                return self._no_replica()
            if not self._deps.connections.has_path(choice.replica):
                return NoPath()
            self._trace.on_choice(choice)
            self._trace.chosen_after_ms = self._elapsed_ms()
            rejection = self._admit(choice, left_ms)
            if rejection is not None:
                return rejection
            backpressure = choice.replica.backpressure
            changes = backpressure.changes
            connection = await self._connect(choice.replica, left_ms)
            if isinstance(connection, NotConnected):
                return self._on_unsent(choice.replica, connection)
            if self._left_ms() < 1:
                # The deadline passed while the connection was opened. The replica would
                # receive a request whose caller no longer waits.
                self._deps.pool.release(connection)
                return NoReplica()
            if backpressure.changes == changes and self._weights_check.may_serve(
                choice
            ):
                self._quarantine_check.on_send(choice)
                return await self._send_raced(connection, choice)
            # Meanwhile the replica changed its limit or backoff, it must get no new
            # requests, or its weights may no longer serve: the choice is not valid.
            self._deps.pool.release(connection)
            self._stop_late_wait(None)

    def _no_replica(self) -> NoReplica:
        now_ms, chooser = self._clock.now_ms(), self._deps.chooser
        wait_ms = int(chooser.wait_ms(now_ms, self._service))
        detail = self._weights_check.why_none(chooser, self._service)
        return NoReplica(wait_ms, detail) if detail else NoReplica(wait_ms)

    async def _connect(
        self, replica: ReplicaState, left_ms: float
    ) -> HttpConnection | NotConnected:
        started_ms = self._clock.now_ms()
        connection = await self._deps.connections.connect(
            replica,
            connect_ms=_CONNECT_TIMEOUT_MS,
            limit_ms=left_ms,
            fresh=replica.is_suspect(started_ms),
            without=self._used_connections,
        )
        if not isinstance(connection, NotConnected):
            connection = await self._stream_version.confirm(
                connection, replica, self._left_ms()
            )
        self._trace.on_connect(connection, self._clock.now_ms() - started_ms)
        return connection

    def _on_unsent(self, replica: ReplicaState, failure: NotConnected) -> Unsent:
        replica.on_send_failure(self._clock.now_ms())
        if not failure.is_refused:
            self._deps.reach.on_silent(replica)
            if self._left_ms() >= 1:
                # The attempt had its full time; it was not cut short by the deadline.
                self._deps.watch.on_unresponsive(replica)
        self._quarantine_check.on_connect_failed(replica, is_refused=failure.is_refused)
        self._replica_choice.on_tried(replica)
        self._stop_late_wait(None)
        return Unsent(failure.detail)

    def _admit(self, choice: Choice, left_ms: float) -> NotRun | None:
        """Reject a first send that would be late, unless it may wait for a slot.

        A stream that can continue at some replicas only is not rejected: new requests
        can go elsewhere. This method also records whether the request is late, and
        whether it waits.
        """
        if self._plan.may_have_run or self._stream_version.is_bound:
            return None
        now_ms, is_prompt = self._clock.now_ms(), bool(self._caller.model)
        objective_left_ms = self._objective_ms - now_ms
        estimate = estimate_latency(choice, objective_left_ms, left_ms, is_prompt)
        self._is_late = is_prompt and self._deps.admission.is_late(estimate)
        rejection = self._fair.check(now_ms, estimate)
        if rejection is not None and is_prompt and self._fair.may_wait(estimate):
            self._waits_late = self._deps.late_limit.try_acquire(
                self._service, choice.slots
            )
            self._trace.waits_late = self._waits_late
            self._is_late = self._is_late or self._waits_late
        is_admitted = rejection is None or self._waits_late
        self._fair.on_decision(now_ms, estimate, is_admitted=is_admitted)
        return None if is_admitted else rejection

    def _stop_late_wait(self, replica: ReplicaState | None) -> None:
        """Stop counting a late request as waiting: it got its slot, or it ended."""
        if not self._waits_late:
            return
        self._waits_late = False
        self._deps.late_limit.release(self._service)
        if replica is not None:
            replica.waiting_late -= 1
            replica.in_flight += 1

    async def _send_raced(
        self, connection: HttpConnection, choice: Choice
    ) -> SendResult:
        """Send a request; a repeatable one whose response is overdue is sent again."""
        may_have_second = (
            self._plan.may_repeat_at(self._left_ms())
            and not self._progress.has_begun
            and not self._is_late
            and not self._trace.second_send
        )
        if not may_have_second:
            return await self._send_over(connection, choice)
        race = SendRace(self._clock)
        second = SecondSend(
            self._deps,
            self._plan,
            self._trace,
            first=choice,
            service=self._service,
            choose=self._replica_choice.choose_untried,
            connect=lambda choice: self._connect(choice.replica, self._left_ms()),
            quarantine_check=self._quarantine_check,
            on_unsent=self._on_unsent,
            send=lambda connection, choice: self._send_over(
                connection, choice, race, 1
            ),
            left_ms=self._left_ms,
            is_valid=self._weights_check.may_serve,
        )
        overdue_ms = self._deps.hedging.times.overdue_ms(
            self._allowed.route.name, choice.first_token_ms
        )
        send = self._send_over(connection, choice, race, 0)
        results = await race.run(send, second.begin, overdue_ms=overdue_ms)
        return second.finish(race.winner, results)

    async def _send_over(
        self,
        connection: HttpConnection,
        choice: Choice,
        race: SendRace | None = None,
        number: int = 0,
    ) -> SendResult | Superseded:
        replica, route = choice.replica, self._allowed.route
        headers = self._headers(choice)

        def on_first_data(took_ms: int) -> None:
            self._stop_late_wait(replica)
            self._record_first_token(choice, took_ms)

        withdrawable = WithdrawableSend(
            self._deps.waiting, self._caller.model, choice.weights
        )

        def claim() -> bool:
            if race is None or race.claim(number):
                withdrawable.on_begun()
                self._trace.on_choice(choice)
                return True
            return False

        if self._waits_late:
            replica.waiting_late += 1
        else:
            replica.in_flight += 1
        self._used_connections.add(connection)
        self._trace.sends += 1
        self._trace.sent_after_ms = self._elapsed_ms()
        self._weights_check.on_send(choice)
        self._trace.stored_tokens = headers.stored_tokens
        self._replica_choice.on_tried(replica)
        send = ReplicaSend(
            self._deps,
            connection,
            choice,
            unprefilled_tokens=self._caller.prompt_tokens - headers.stored_tokens,
            peak_tokens=self._requirements.peak_tokens,
            shared_prefix=self._requirements.shared_prefix(choice.weights),
            route=route.name,
            claim=claim,
            on_first_data=on_first_data,
            on_unresponsive=race.on_unresponsive if race and number == 0 else None,
        )
        try:
            run = send.run(
                self._caller,
                headers,
                self._body,
                due_ms=self._due_ms,
                is_stream=route.kind is RouteKind.STREAM,
                may_repeat=route.may_repeat,
                progress=self._progress,
                reply=self._reply,
                on_begun=lambda: self._stream_version.on_begun(replica),
                on_pause=self._trace.on_pause,
                on_weights=self._trace.on_served_weights,
            )
            result = await withdrawable.run(run)
        except BaseException:
            self._plan.on_cancelled()
            raise
        finally:
            self._stop_late_wait(replica)
            replica.in_flight -= 1
            self._trace.skipped += connection.skipped
        if isinstance(result, NotRunThere):
            return self._on_rejected(choice, result)
        if isinstance(result, Superseded):
            self._plan.on_cancelled()
            return result
        if isinstance(result, Unsent):
            self._trace.sends -= 1
            self._quarantine_check.on_not_sent()
            return result
        if isinstance(result, Withdrawn):
            # It says nothing about the replica.
            return result
        if isinstance(result, Failed):
            self._trace.unattributed += result.is_unattributed
        self._quarantine_check.on_result(replica, result)
        return result

    def _on_rejected(self, choice: Choice, rejection: NotRunThere) -> Rejected:
        rejected = on_rejected(
            self._clock.now_ms(),
            choice,
            rejection,
            model=self._caller.model,
            weights=self._deps.weights,
        )
        if rejected.reason is RejectionReason.OTHER_WEIGHTS:
            self._replica_choice.on_untried(choice.replica)
        return rejected

    def _choose(self) -> Choice | None:
        if self._plan.may_have_run:
            return self._replica_choice.choose_untried()
        return self._replica_choice.choose()

    def _headers(self, choice: Choice) -> ReplicaHeaders:
        return replica_headers(
            self._clock.now_ms(),
            self._caller,
            self._allowed,
            choice,
            self._requirements,
            progress=self._progress,
            left_ms=self._left_ms(),
            is_late=self._is_late,
            is_bound=self._stream_version.is_bound,
        )

    def _record_first_token(self, choice: Choice, took_ms: int) -> None:
        if self._caller.model:
            self._trace.first_token_ms = took_ms
            choice.on_first_token(self._clock.now_ms(), took_ms)

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._arrived_ms

    def _left_ms(self) -> float:
        return self._due_ms - self._clock.now_ms()
