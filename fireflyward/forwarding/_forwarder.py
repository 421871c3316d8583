"""The task of one request: sends it, reads answers, and gives one back."""

import logging
from typing import Protocol

from fireflyward.clock import Clock
from fireflyward.deployment import RouteKind
from fireflyward.http1 import (
    BodyPart,
    Broken,
    ConnectionPool,
    End,
    Head,
    HttpConnection,
    NotConnected,
)
from fireflyward.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from fireflyward.platform import (
    CallerRequest,
    ReplicaHeaders,
    ResponseFacts,
    decode_response,
    encode_request,
)
from fireflyward.prefixes import KvPlan, PartPlanner, cache_salt
from fireflyward.replicas import Choice, Chooser, ReplicaState, Wanted
from fireflyward.retries import RetryBudget
from fireflyward.routes import Allowed

from ._admission import Admission, Prospect
from ._events import EventSplitter
from ._messages import (
    Deliver,
    Failed,
    Finish,
    NoReplica,
    Rejected,
    RejectedBecause,
    SendResult,
    Streamed,
    Trace,
    Unsent,
    WholeAnswer,
)
from ._plan import AttemptPlan
from ._weights import WeightBook

log = logging.getLogger("fireflyward.forwarding")

# A replica is a few ms away; one lost packet takes 200 ms to be sent again.
_CONNECT_MS = 350
# Larger answers than this are not read into memory; these services answer a few
# kilobytes.
_LARGEST_ANSWER = 16 * 1_024 * 1_024
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_LOWEST_PRIORITY = 9
_LATE_STEP = 5


class Reply(Protocol):
    """The way back to the caller."""

    async def whole(self, head: Head, body: bytes) -> None: ...

    async def begin(self, head: Head) -> None: ...

    async def event(self, data: bytes) -> None: ...

    async def end(self) -> None: ...


class _Stream:
    """How much of a stream the caller has had."""

    __slots__ = ("has_begun", "last_number")

    def __init__(self) -> None:
        self.has_begun = False
        self.last_number: int | None = None


class Forwarder:
    """Serves requests by the decisions of its parts.

    ``serve`` returns ``Answered`` once the caller has a whole answer. Any other
    outcome is still to be told to the caller, unless the stream has begun: then
    the caller's connection must be closed without the end of the response.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_chooser",
        "_clock",
        "_longest_ms_by_route",
        "_planner",
        "_pool",
        "_weights",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        chooser: Chooser,
        budget: RetryBudget,
        weights: WeightBook,
        planner: PartPlanner,
        admission: Admission | None = None,
    ) -> None:
        self._planner = planner
        self._admission = admission or Admission()
        self._longest_ms_by_route: dict[str, float] = {}
        self._clock = clock
        self._pool = pool
        self._chooser = chooser
        self._budget = budget
        self._weights = weights

    async def serve(
        self,
        caller: CallerRequest,
        body: bytes,
        allowed: Allowed,
        *,
        arrived_ms: int,
        reply: Reply,
        trace: Trace,
    ) -> Outcome:
        """Carry one request to its end; ``trace`` is filled on the way."""
        run = _Run(self, caller, body, allowed, arrived_ms, reply, trace)
        return await run.to_end()

    def spent_ms(self, route: str, deadline_ms: float | None) -> float:
        """Return how much of its time a caller had spent before it came here.

        Callers of a route begin with the same deadline; one that was refused and
        comes back has less. The longest one seen is taken for the first.
        """
        if deadline_ms is None:
            return 0.0
        longest_ms = max(self._longest_ms_by_route.get(route, 0.0), deadline_ms)
        self._longest_ms_by_route[route] = longest_ms
        return longest_ms - deadline_ms


class _Run:
    """One request; lives as long as its caller waits."""

    __slots__ = (
        "_allowed",
        "_body",
        "_caller",
        "_clock",
        "_due_ms",
        "_is_late",
        "_objective_ms",
        "_owner",
        "_plan",
        "_reply",
        "_sent_ms",
        "_service",
        "_stream",
        "_trace",
        "_tried",
    )

    def __init__(
        self,
        owner: Forwarder,
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
        trace.service = allowed.service
        trace.configuration = allowed.configuration_version
        self._owner = owner
        self._clock = owner._clock
        self._caller = caller
        self._body = body
        self._allowed = allowed
        self._reply = reply
        self._service = allowed.service
        limit_ms = allowed.route.timeout_ms
        if caller.deadline_ms is not None:
            limit_ms = min(limit_ms, caller.deadline_ms)
        self._due_ms = arrived_ms + limit_ms
        spent_ms = owner.spent_ms(allowed.route.name, caller.deadline_ms)
        self._objective_ms = arrived_ms + allowed.route.objective_ms - spent_ms
        self._is_late = False
        self._stream = _Stream()
        self._sent_ms = arrived_ms
        self._tried: set[str] = set()
        self._plan = AttemptPlan(
            max_attempts=allowed.route.max_attempts,
            may_repeat=allowed.route.may_repeat,
            take=self._take_budget,
        )

    async def to_end(self) -> Outcome:
        """Send until the plan ends the request."""
        self._owner._budget.on_request(self._clock.now_ms(), self._service)
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
            self._log_again(result)
            if decision.pause_ms:
                await self._clock.sleep_ms(decision.pause_ms)

    async def _deliver(self, answer: WholeAnswer) -> Outcome:
        if self._stream.has_begun:
            return Unknown(Reason.UPSTREAM_FAILED, "failed on going on")
        if _says_not_run(answer):
            # Passed on, this status would promise the caller that nothing ran.
            return Unknown(Reason.UPSTREAM_FAILED, "replica failed after it began")
        await self._reply.whole(answer.head, answer.body)
        return Answered()

    async def _send_once(self) -> SendResult | NotRun:
        left_ms = self._left_ms()
        if left_ms < 1:
            return NoReplica()
        choice = self._choose()
        if choice is None:
            return NoReplica()
        self._note_choice(choice)
        refusal = self._admitted(choice, left_ms)
        if refusal is not None:
            return refusal
        replica = choice.replica
        connection = await self._owner._pool.take(
            replica.entry.address,
            connect_ms=min(_CONNECT_MS, left_ms),
            fresh=replica.is_suspect(self._clock.now_ms()),
        )
        if isinstance(connection, NotConnected):
            replica.on_trouble(self._clock.now_ms())
            self._tried.add(replica.entry.incarnation)
            return Unsent(connection.detail)
        return await self._send_on(connection, choice)

    def _note_choice(self, choice: Choice) -> None:
        trace = self._trace
        trace.replica = choice.replica.entry.incarnation
        trace.weights = choice.weights
        trace.queue_ms = int(choice.queue_ms)
        trace.expected_ms = int(choice.first_token_ms)

    def _admitted(self, choice: Choice, left_ms: float) -> NotRun | None:
        """Turn a first send away if it would be late; note if it will be."""
        if not self._caller.model or self._plan.may_have_run:
            return None
        prospect = Prospect(
            choice.queue_ms,
            choice.first_token_ms,
            self._objective_ms - self._clock.now_ms(),
            left_ms,
        )
        self._is_late = self._owner._admission.is_late(prospect)
        return self._owner._admission.refusal(prospect)

    async def _send_on(self, connection: HttpConnection, choice: Choice) -> SendResult:
        replica = choice.replica
        headers = self._headers(choice)
        tokens = self._caller.prompt_tokens - headers.stored_tokens
        replica.in_flight += 1
        replica.unread_tokens += tokens
        replica.held_tokens += self._held_tokens()
        self._sent_ms = self._clock.now_ms()
        self._trace.sends += 1
        self._trace.stored_tokens = headers.stored_tokens
        self._tried.add(replica.entry.incarnation)
        try:
            connection.send(
                self._caller.method,
                self._caller.target,
                encode_request(self._caller, headers),
                self._body,
            )
            return await self._answer(connection, choice, tokens)
        except BaseException:
            # The caller went away: closing tells the replica to stop the work.
            connection.close()
            raise
        finally:
            replica.in_flight -= 1
            replica.unread_tokens -= tokens
            replica.held_tokens -= self._held_tokens()

    async def _answer(
        self, connection: HttpConnection, choice: Choice, tokens: int
    ) -> SendResult:
        event = await connection.next_event_within(self._left_ms())
        if not isinstance(event, Head):
            return self._no_answer(connection, choice.replica, event)
        facts = decode_response(event)
        problem = self._problem(event, facts)
        if problem:
            connection.close()
            choice.replica.on_trouble(self._clock.now_ms())
            return Failed(problem)
        if facts.load is not None:
            total = facts.load.running + facts.load.waiting
            choice.replica.on_load(self._clock.now_ms(), total)
        if self._allowed.route.kind is RouteKind.STREAM and event.status == 200:
            return await self._pass_stream(connection, choice, event, tokens)
        return await self._read_whole(connection, choice, event, facts)

    def _problem(self, head: Head, facts: ResponseFacts) -> str:
        """Say what is wrong with a response that is not this request's answer."""
        if facts.request_id not in (None, self._caller.request_id):
            return f"answer of another request, {facts.request_id}"
        if facts.was_not_run:
            return ""
        if facts.request_id is None:
            return "answer without a request id"
        if head.status < 300 and not facts.is_signed:
            return "answer without a signature"
        if facts.is_encoded:
            return "answer in an encoding that nobody asked for"
        return ""

    def _no_answer(
        self, connection: HttpConnection, replica: ReplicaState, event: object
    ) -> Failed:
        connection.close()
        now_ms = self._clock.now_ms()
        if event is None:
            return Failed("no answer until the deadline", is_late=True)
        replica.on_trouble(now_ms)
        detail = event.detail if isinstance(event, Broken) else "no head"
        return Failed(detail)

    async def _read_whole(
        self,
        connection: HttpConnection,
        choice: Choice,
        head: Head,
        facts: ResponseFacts,
    ) -> SendResult:
        parts, size = [], 0
        while True:
            event = await connection.next_event_within(self._left_ms())
            if isinstance(event, BodyPart) and size < _LARGEST_ANSWER:
                parts.append(event.data)
                size += len(event.data)
            elif isinstance(event, End):
                self._owner._pool.give_back(connection)
                break
            else:
                return self._no_answer(connection, choice.replica, event)
        if facts.was_not_run:
            return self._rejected(choice, facts)
        choice.replica.on_answer(failed=head.status >= 500)
        choice.replica.on_run(self._clock.now_ms() - self._sent_ms)
        return WholeAnswer(head, b"".join(parts))

    def _rejected(self, choice: Choice, facts: ResponseFacts) -> Rejected:
        replica, now_ms = choice.replica, self._clock.now_ms()
        replica.refusals += 1
        if not facts.is_other_replica:
            newest = self._owner._weights.newest(self._caller.model)
            if newest is not None and choice.weights != newest:
                replica.on_loading(now_ms)
            else:
                replica.on_full(now_ms)
            return Rejected(RejectedBecause.FULL)
        is_same = facts.incarnation == replica.entry.incarnation
        if is_same and choice.weights is not None:
            self._tried.discard(replica.entry.incarnation)
            self._correct_weights(replica, choice, facts)
            return Rejected(RejectedBecause.OTHER_WEIGHTS)
        replica.on_trouble(now_ms)
        return Rejected(RejectedBecause.OTHER_REPLICA)

    def _correct_weights(
        self, replica: ReplicaState, choice: Choice, facts: ResponseFacts
    ) -> None:
        """Believe the replica over the list, which lags by a heartbeat."""
        model = self._caller.model
        other = self._owner._weights.newest(model)
        if other is None or other == choice.weights:
            other = replica.entry.version_of(model)
        replica.version_by_model[model] = facts.weights or other or choice.weights

    async def _pass_stream(
        self, connection: HttpConnection, choice: Choice, head: Head, tokens: int
    ) -> SendResult:
        splitter = EventSplitter()
        is_first = True
        try:
            while True:
                event = await connection.next_event_within(self._left_ms())
                if isinstance(event, BodyPart):
                    if is_first:
                        is_first = False
                        self._on_first_token(choice, tokens)
                    await self._pass_events(head, splitter.feed(event.data))
                elif isinstance(event, End):
                    return await self._end_stream(connection, choice, head, splitter)
                else:
                    return self._no_answer(connection, choice.replica, event)
        finally:
            if not is_first:
                choice.replica.unread_tokens += tokens

    async def _pass_events(self, head: Head, events: list) -> None:
        stream = self._stream
        for event in events:
            if event.number is not None and stream.last_number is not None:
                if event.number <= stream.last_number:
                    continue
            if not stream.has_begun:
                stream.has_begun = True
                await self._reply.begin(head)
            await self._reply.event(event.data)
            if event.number is not None:
                stream.last_number = event.number

    async def _end_stream(
        self,
        connection: HttpConnection,
        choice: Choice,
        head: Head,
        splitter: EventSplitter,
    ) -> SendResult:
        if splitter.rest:
            connection.close()
            choice.replica.on_trouble(self._clock.now_ms())
            return Failed("stream ends within an event")
        self._owner._pool.give_back(connection)
        choice.replica.on_answer(failed=False)
        choice.replica.on_run(self._clock.now_ms() - self._sent_ms)
        if not self._stream.has_begun:
            await self._reply.begin(head)
        await self._reply.end()
        return Streamed()

    def _choose(self) -> Choice | None:
        now_ms = self._clock.now_ms()
        wanted = self._wanted(now_ms)
        choice = self._owner._chooser.choose(
            now_ms, wanted, without=frozenset(self._tried)
        )
        if choice is None and self._tried and not self._plan.may_have_run:
            choice = self._owner._chooser.choose(now_ms, wanted)
        return choice

    def _wanted(self, now_ms: int) -> Wanted:
        caller = self._caller
        if not caller.model:
            return Wanted(self._service)
        shared = caller.parts[:-1]
        version = self._owner._weights.newest(caller.model)
        prefix_tokens = sum(part.tokens for part in shared)
        stored_tokens = self._stored_tokens(version)
        return Wanted(
            self._service,
            prefix_key=shared[-1].part_id if shared else "",
            prefix_tokens=prefix_tokens - stored_tokens,
            new_tokens=caller.prompt_tokens - prefix_tokens,
            tokens=self._held_tokens(),
            kv_tokens=self._allowed.kv_tokens,
            model=caller.model,
            version=version,
            least_version=self._owner._weights.least(now_ms, caller.model),
        )

    def _priority(self) -> int:
        """Return the rank at the replica; what is late goes behind all else."""
        priority = self._allowed.priority + (_LATE_STEP if self._is_late else 0)
        return min(priority, _LOWEST_PRIORITY)

    def _stored_tokens(self, version: int | None) -> int:
        """Return how much of the prompt the stores have for the newest weights."""
        if version is None:
            return 0
        salt = self._salt(version)
        parts = ((part.part_id, part.tokens) for part in self._caller.parts[:-1])
        return self._owner._planner.stored_tokens(salt, parts)

    def _headers(self, choice: Choice) -> ReplicaHeaders:
        account = self._allowed.account
        last_number = self._stream.last_number
        last_event_id = self._caller.last_event_id
        if last_number is not None:
            last_event_id = str(last_number)
        salt, kv = self._kv(choice)
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

    def _kv(self, choice: Choice) -> tuple[str | None, KvPlan]:
        """Return the salt and what to fetch and save under it."""
        if choice.weights is None:
            return None, KvPlan((), ())
        salt = self._salt(choice.weights)
        plan = self._owner._planner.plan(
            self._clock.now_ms(),
            salt,
            ((part.part_id, part.tokens) for part in self._caller.parts),
            elsewhere=choice.kv_source,
        )
        return salt, plan

    def _held_tokens(self) -> int:
        """Return what the request takes of a replica's memory at its end."""
        return self._caller.prompt_tokens + self._caller.most_output_tokens

    def _on_first_token(self, choice: Choice, tokens: int) -> None:
        choice.replica.unread_tokens -= tokens
        if self._caller.model:
            took_ms = self._clock.now_ms() - self._sent_ms
            self._trace.first_token_ms = took_ms
            choice.replica.on_first_token(
                expected_ms=choice.first_token_ms, took_ms=took_ms
            )

    def _salt(self, version: int) -> str:
        account = self._allowed.account
        isolated = account.name if account and account.is_isolated else None
        return cache_salt(self._caller.model, version, isolated)

    def _left_ms(self) -> float:
        return self._due_ms - self._clock.now_ms()

    def _take_budget(self) -> bool:
        return self._owner._budget.take(self._clock.now_ms(), self._service)

    def _log_again(self, result: SendResult) -> None:
        log.info(
            "forwarding: again after %s",
            type(result).__name__,
            extra={
                "request": self._caller.request_id,
                "replica": self._trace.replica,
                "detail": _detail(result),
                "left_ms": int(self._left_ms()),
            },
        )


def _detail(result: SendResult) -> str:
    """Say in short what a send came to."""
    if isinstance(result, WholeAnswer):
        return f"status {result.head.status}"
    if isinstance(result, Rejected):
        return result.because.value
    return getattr(result, "detail", "")


def _says_not_run(answer: WholeAnswer) -> bool:
    return answer.head.status in _NOT_RUN_STATUSES
