"""Runs one request: sends it to replicas until it has an outcome."""

from fireflyward.deployment import RouteKind
from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.platform import (
    CallerRequest,
    ReplicaHeaders,
    ResponseFacts,
)
from fireflyward.quarantine import fingerprint_of
from fireflyward.replicas import Choice, ReplicaState
from fireflyward.routes import Allowed

from ._admission import LatencyEstimate
from ._dependencies import Dependencies
from ._exchange import Reply, StreamProgress
from ._messages import (
    Deliver,
    Finish,
    NoReplica,
    NotRunThere,
    Rejected,
    RejectionReason,
    SendResult,
    Streamed,
    Unsent,
    WholeAnswer,
)
from ._plan import AttemptPlan
from ._prompt_requirements import PromptRequirements
from ._quarantine_check import QuarantineCheck
from ._replica_send import ReplicaSend
from ._trace import Trace

# A replica is a few ms away, and TCP resends a lost packet after 200 ms.
_CONNECT_TIMEOUT_MS = 350
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_LOWEST_PRIORITY = 9
_LATE_PRIORITY_STEP = 5


class RequestRun:
    """One request, from its arrival until its caller has an outcome or disconnects."""

    __slots__ = (
        "_allowed",
        "_body",
        "_caller",
        "_clock",
        "_due_ms",
        "_is_late",
        "_objective_ms",
        "_deps",
        "_requirements",
        "_quarantine_check",
        "_plan",
        "_progress",
        "_reply",
        "_service",
        "_trace",
        "_tried",
        "_waits_late",
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
        trace.fingerprint = fingerprint_of(trace.account, caller.target, body)
        trace.service = allowed.service
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
        self._due_ms = arrived_ms + limit_ms
        spent_ms = deps.callers.spent_ms(allowed.route.name, caller.deadline_ms)
        self._objective_ms = arrived_ms + allowed.route.objective_ms - spent_ms
        self._is_late = False
        self._waits_late = False
        self._progress = StreamProgress()
        self._requirements = PromptRequirements(
            caller, allowed, planner=deps.planner, weights=deps.weights
        )
        self._tried: set[int] = set()
        self._quarantine_check = QuarantineCheck(deps.gate, trace.fingerprint)
        self._plan = AttemptPlan(
            max_attempts=allowed.route.max_attempts,
            may_repeat=allowed.route.may_repeat,
            take_budget=self._take_retry_budget,
        )

    async def run(self) -> Outcome:
        """Send the request until its plan finishes it; see ``Forwarder.serve``."""
        try:
            return await self._send_until_done()
        finally:
            # The caller may close its connection before its request was sent.
            self._stop_late_wait(None)
            self._quarantine_check.close()

    async def _send_until_done(self) -> Outcome:
        self._deps.budget.on_request(self._clock.now_ms(), self._service)
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
                return decision.outcome
            self._trace.on_retry(self._caller.request_id, result, self._left_ms())
            if decision.pause_ms:
                await self._clock.sleep_ms(decision.pause_ms)

    async def _deliver(self, answer: WholeAnswer) -> Outcome:
        if self._progress.has_begun:
            return Unknown(Reason.UPSTREAM_FAILED, "no replica continued the stream")
        if _has_not_run_status(answer):
            # If the caller received this status, it would assume that the request has
            # not run.
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
            self._trace.on_choice(choice)
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
            if backpressure.changes == changes:
                self._quarantine_check.on_send(choice)
                return await self._send_over(connection, choice)
            # The replica's limit, backoff or leaving state changed while the connection
            # was opened, so the choice is no longer valid.
            self._deps.pool.release(connection)
            self._stop_late_wait(None)

    def _no_replica(self) -> NoReplica:
        now_ms = self._clock.now_ms()
        return NoReplica(int(self._deps.chooser.wait_ms(now_ms, self._service)))

    async def _connect(
        self, replica: ReplicaState, left_ms: float
    ) -> HttpConnection | NotConnected:
        return await self._deps.pool.acquire(
            replica.entry.address,
            connect_ms=min(_CONNECT_TIMEOUT_MS, left_ms),
            fresh=replica.is_suspect(self._clock.now_ms()),
        )

    def _on_unsent(self, replica: ReplicaState, failure: NotConnected) -> Unsent:
        replica.on_send_failure(self._clock.now_ms())
        if not failure.is_refused:
            self._deps.reach.on_silent(replica)
        self._quarantine_check.on_connect_failed(replica, is_refused=failure.is_refused)
        self._tried.add(replica.incarnation_id)
        self._stop_late_wait(None)
        return Unsent(failure.detail)

    def _admit(self, choice: Choice, left_ms: float) -> NotRun | None:
        """Reject a first send that would be late, unless it may wait for a slot.

        This method also records whether the request is late and whether it waits.
        """
        if not self._caller.model or self._plan.may_have_run:
            return None
        estimate = LatencyEstimate(
            choice.queue_ms,
            choice.first_token_ms,
            self._objective_ms - self._clock.now_ms(),
            left_ms,
            choice.slot_ms,
        )
        admission = self._deps.admission
        self._is_late = admission.is_late(estimate)
        rejection = admission.check(estimate)
        if rejection is None or not admission.may_wait(estimate):
            return rejection
        self._waits_late = self._deps.late_limit.try_acquire(
            self._service, choice.slots
        )
        self._trace.waits_late = self._waits_late
        return None if self._waits_late else rejection

    def _stop_late_wait(self, replica: ReplicaState | None) -> None:
        """Stop counting a late request as waiting: it got its slot, or it ended."""
        if not self._waits_late:
            return
        self._waits_late = False
        self._deps.late_limit.release(self._service)
        if replica is not None:
            replica.waiting_late -= 1
            replica.in_flight += 1

    async def _send_over(
        self, connection: HttpConnection, choice: Choice
    ) -> SendResult:
        replica, route = choice.replica, self._allowed.route
        headers = self._headers(choice)

        def on_first_data(took_ms: int) -> None:
            self._stop_late_wait(replica)
            self._record_first_token(choice, took_ms)

        if self._waits_late:
            replica.waiting_late += 1
        else:
            replica.in_flight += 1
        self._trace.sends += 1
        self._trace.stored_tokens = headers.stored_tokens
        self._tried.add(replica.incarnation_id)
        send = ReplicaSend(
            self._deps,
            connection,
            choice,
            unprefilled_tokens=self._caller.prompt_tokens - headers.stored_tokens,
            peak_tokens=self._requirements.peak_tokens,
            on_first_data=on_first_data,
        )
        try:
            result = await send.run(
                self._caller,
                headers,
                self._body,
                due_ms=self._due_ms,
                is_stream=route.kind is RouteKind.STREAM,
                may_repeat=route.may_repeat,
                progress=self._progress,
                reply=self._reply,
                on_pause=self._trace.on_pause,
            )
        finally:
            self._stop_late_wait(replica)
            replica.in_flight -= 1
        if isinstance(result, NotRunThere):
            return self._on_rejected(choice, result.facts)
        if isinstance(result, Unsent):
            self._trace.sends -= 1
            self._quarantine_check.on_not_sent()
            return result
        self._quarantine_check.on_result(replica, result)
        return result

    def _on_rejected(self, choice: Choice, facts: ResponseFacts) -> Rejected:
        replica, now_ms = choice.replica, self._clock.now_ms()
        replica.rejections += 1
        if not facts.is_other_replica:
            newest = self._deps.weights.newest(self._caller.model)
            if newest is not None and choice.weights != newest:
                replica.on_loading(now_ms)
            else:
                replica.on_full(now_ms)
            return Rejected(RejectionReason.FULL)
        is_same = facts.incarnation == replica.entry.incarnation
        if is_same and choice.weights is not None:
            self._tried.discard(replica.incarnation_id)
            self._correct_weights(replica, choice, facts)
            return Rejected(RejectionReason.OTHER_WEIGHTS)
        replica.on_send_failure(now_ms)
        return Rejected(RejectionReason.OTHER_REPLICA)

    def _correct_weights(
        self, replica: ReplicaState, choice: Choice, facts: ResponseFacts
    ) -> None:
        """Prefer the replica's own report to the list, which lags by a heartbeat."""
        model = self._caller.model
        other = self._deps.weights.newest(model)
        if other is None or other == choice.weights:
            other = replica.entry.version_of(model)
        replica.version_by_model[model] = facts.weights or other or choice.weights

    def _choose(self) -> Choice | None:
        now_ms = self._clock.now_ms()
        criteria = self._requirements.criteria(now_ms)
        choice = self._deps.chooser.choose(
            now_ms, criteria, without=frozenset(self._tried)
        )
        if choice is None and self._tried and not self._plan.may_have_run:
            choice = self._deps.chooser.choose(now_ms, criteria)
        return choice

    def _priority(self) -> int:
        """Return the priority at the replica; late requests come after all others."""
        priority = self._allowed.priority + (
            _LATE_PRIORITY_STEP if self._is_late else 0
        )
        return min(priority, _LOWEST_PRIORITY)

    def _headers(self, choice: Choice) -> ReplicaHeaders:
        account = self._allowed.account
        last_number = self._progress.last_number
        last_event_id = self._caller.last_event_id
        if last_number is not None:
            last_event_id = str(last_number)
        salt, kv = self._requirements.plan_kv(self._clock.now_ms(), choice)
        return ReplicaHeaders(
            incarnation=choice.replica.entry.incarnation,
            left_ms=int(self._left_ms()),
            account=account.name if account is not None else None,
            priority=self._priority(),
            weights=choice.weights,
            cache_salt=salt,
            kv_sources=kv.sources,
            kv_saves=kv.saves,
            stored_tokens=kv.stored_tokens,
            last_event_id=last_event_id,
        )

    def _record_first_token(self, choice: Choice, took_ms: int) -> None:
        if self._caller.model:
            self._trace.first_token_ms = took_ms
            choice.replica.on_first_token(
                expected_ms=choice.first_token_ms, took_ms=took_ms
            )

    def _left_ms(self) -> float:
        return self._due_ms - self._clock.now_ms()

    def _take_retry_budget(self) -> bool:
        return self._deps.budget.try_acquire(self._clock.now_ms(), self._service)


def _has_not_run_status(answer: WholeAnswer) -> bool:
    return answer.head.status in _NOT_RUN_STATUSES
