"""Calls to plain services, which are repeated only if they are idempotent."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import TypeVar

from fireflyward.clock import Clock
from fireflyward.connections import within
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import (
    Broken,
    PlainService,
    Refused,
    ServiceCall,
    ServiceReply,
)

from ._budget import RetryBudget
from ._detached import detach
from ._idempotency_record import EarlierAnswer, EarlierRun, Permit
from ._request_record import RequestRecord
from ._steps import OnceStep

_MAX_REPLICAS = 3
_REPLY_TIMEOUT_MS = 5_000
_RETRY_AFTER_MS = 1_000

ServiceOutcome = ServiceReply | NotRun | Unknown
T = TypeVar("T")
_Attempt = "asyncio.Task[ServiceReply | Refused | Broken]"


class ServiceTask:
    """Owns the calls of one request to a plain service.

    A plain service sends nothing while it works, so a silent connection may belong to a
    slow call or may be lost. After ``reply_timeout_ms`` an idempotent call is therefore
    made a second time on a new connection, without cancelling the first one, and the
    first reply is used. The caller of a non-idempotent call gets the outcome "unknown"
    instead, and the task waits for the reply until the deadline, to settle the record
    with that reply.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        service_by_name: Mapping[str, PlainService],
        replicas: Sequence[str],
        call: ServiceCall,
        deadline_ms: int,
        record: RequestRecord | None = None,
        budget: RetryBudget | None = None,
        reply_timeout_ms: int = _REPLY_TIMEOUT_MS,
        observe: StepObserver = ignore_step,
        on_refused: Callable[[str], None] = lambda upstream: None,
    ) -> None:
        self._clock = clock
        self._on_refused = on_refused
        self._service_by_name = service_by_name
        self._replicas = list(replicas[:_MAX_REPLICAS])
        self._call = call
        self._deadline_ms = deadline_ms
        self._record = record
        self._budget = budget or RetryBudget()
        self._reply_timeout_ms = reply_timeout_ms
        self._observe = observe
        self._last_failure_detail = "the service has no replica"
        self._possible_runs = 0

    async def outcome(self) -> ServiceOutcome:
        """Return the single outcome of the request."""
        self._budget.on_request()
        if self._record is None:
            return await self._call_idempotent()
        work = detach(self._call_with_record(self._record))
        limit_ms = min(self._remaining_ms(), self._reply_timeout_ms)
        if await self._wait_for_any({work}, limit_ms):
            return work.result()
        detail = "no reply yet; a later reply will be recorded under the request's key"
        return Unknown(Reason.DEADLINE, detail, _RETRY_AFTER_MS)

    async def _call_with_record(self, record: RequestRecord) -> ServiceOutcome:
        """Claim the record, call and settle, even if the caller has disconnected."""
        self._observe(OnceStep.CLAIMING)
        claim_result = await record.claim("")
        self._observe(OnceStep.CLAIMED)
        if isinstance(claim_result, EarlierAnswer):
            body = claim_result.body.encode("latin-1")
            return ServiceReply(claim_result.status, body, claim_result.content_type)
        if not isinstance(claim_result, Permit):
            assert not isinstance(claim_result, EarlierRun)
            return claim_result
        outcome = await self._call_non_idempotent(claim_result)
        detach(self._settle(record, outcome))
        return outcome

    async def _settle(self, record: RequestRecord, outcome: ServiceOutcome) -> None:
        self._observe(OnceStep.SETTLING)
        if isinstance(outcome, ServiceReply):
            await record.settle(
                Answered(),
                outcome.body.decode("latin-1"),
                status=outcome.status,
                content_type=outcome.content_type,
            )
        else:
            await record.settle(outcome, "")
        self._observe(OnceStep.SETTLED)

    async def _call_non_idempotent(self, permit: Permit) -> ServiceOutcome:
        """Call replicas in turn while it is certain that none has executed the call."""

        def may_send() -> bool:
            # A process that was paused after its claim must not dispatch when it
            # resumes: a sweep may have deleted its record in the meantime, and a
            # second call could have claimed the key.
            return self._clock.now_ms() < permit.valid_until_ms

        call = replace(self._call, may_send=may_send)
        for name in self._replicas:
            self._observe(OnceStep.DISPATCHING)
            if not may_send():
                return NotRun(Reason.DEADLINE, "its permit expired", _RETRY_AFTER_MS)
            result = await self._call_replica(name, call)
            if isinstance(result, ServiceReply):
                return result
            if self._possible_runs:
                break
        return self._failure_outcome()

    async def _call_idempotent(self) -> ServiceOutcome:
        """Call replicas in turn; a silent call stays in flight beside the next one."""
        in_flight: set[_Attempt] = set()
        has_one_replica = len(self._replicas) == 1
        names = self._replicas * 2 if has_one_replica else self._replicas
        try:
            for number, name in enumerate(names):
                if self._possible_runs and not self._budget.try_acquire():
                    break
                if number and not in_flight:
                    await self._clock.sleep_ms(self._budget.backoff_ms(number))
                call = replace(self._call, needs_new_connection=number > 0)
                in_flight.add(asyncio.ensure_future(self._call_replica(name, call)))
                reply = await self._first_reply(in_flight, self._reply_timeout_ms)
                if reply:
                    return reply
            reply = await self._first_reply(in_flight, self._remaining_ms())
            return reply or self._failure_outcome()
        finally:
            for work in in_flight:
                work.cancel()

    async def _first_reply(
        self, in_flight: "set[_Attempt]", limit_ms: int
    ) -> ServiceReply | None:
        """Wait for a reply; remove the calls that ended without one."""
        limit_ms = min(limit_ms, self._remaining_ms())
        until_ms = self._clock.now_ms() + limit_ms
        while in_flight and self._clock.now_ms() < until_ms:
            remaining_ms = until_ms - self._clock.now_ms()
            for work in await self._wait_for_any(in_flight, remaining_ms):
                in_flight.discard(work)
                if isinstance(work.result(), ServiceReply):
                    return work.result()
        return None

    async def _call_replica(
        self, name: str, call: ServiceCall
    ) -> ServiceReply | Refused | Broken:
        """Call one replica; count the call unless it certainly did not run."""
        service = self._service_by_name.get(name)
        if service is None:
            return Refused(Reason.NO_UPSTREAM, "the replica is no longer an upstream")
        self._possible_runs += 1
        try:
            result = await within(self._clock, self._remaining_ms(), service.call(call))
        except TimeoutError:
            result = Broken(True, "no reply before the deadline")
        if isinstance(result, ServiceReply):
            return result
        self._last_failure_detail = result.detail
        if isinstance(result, Refused) or not result.may_have_run:
            self._possible_runs -= 1
            self._on_refused(name)
        return result

    async def _wait_for_any(
        self, tasks: "Iterable[asyncio.Task[T]]", limit_ms: int
    ) -> "set[asyncio.Task[T]]":
        timer = asyncio.ensure_future(self._clock.sleep_ms(limit_ms))
        try:
            done, _ = await asyncio.wait(
                {*tasks, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        return done - {timer}

    def _remaining_ms(self) -> int:
        return max(0, self._deadline_ms - self._clock.now_ms())

    def _failure_outcome(self) -> NotRun | Unknown:
        if self._possible_runs:
            return Unknown(
                Reason.UPSTREAM_FAILED, self._last_failure_detail, _RETRY_AFTER_MS
            )
        return NotRun(Reason.NO_UPSTREAM, self._last_failure_detail, _RETRY_AFTER_MS)
