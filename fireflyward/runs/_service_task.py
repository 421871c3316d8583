"""Calls to plain services: repeated only where that is allowed."""

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
from ._once import EarlierAnswer, EarlierRun, Permit
from ._record_of_run import RecordOfRun
from ._steps import OnceStep

_MAX_REPLICAS = 3
_REPLY_LIMIT_MS = 5_000
_RETRY_AFTER_MS = 1_000

ServiceOutcome = ServiceReply | NotRun | Unknown
T = TypeVar("T")
_Attempt = "asyncio.Task[ServiceReply | Refused | Broken]"


class ServiceTask:
    """Owns the calls of one request to a plain service.

    A plain service sends nothing while it works, so its silence alone does not
    tell a slow call from a lost connection. After ``reply_limit_ms`` a call that
    may be repeated is made once more, on a new connection, beside the first: the
    first reply wins. One that may not be repeated is told to be unknown to the
    caller, and is waited for until the deadline so that its record gets its end.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        service_by_name: Mapping[str, PlainService],
        replicas: Sequence[str],
        call: ServiceCall,
        deadline_ms: int,
        record: RecordOfRun | None = None,
        budget: RetryBudget | None = None,
        reply_limit_ms: int = _REPLY_LIMIT_MS,
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
        self._reply_limit_ms = reply_limit_ms
        self._observe = observe
        self._detail = "no replica of the service"
        self._unproven = 0

    async def outcome(self) -> ServiceOutcome:
        """Return the one outcome of the request."""
        self._budget.on_request()
        if self._record is None:
            return await self._repeatable()
        work = detach(self._once(self._record))
        limit_ms = min(self._left_ms(), self._reply_limit_ms)
        if await self._wait({work}, limit_ms):
            return work.result()
        detail = "no reply yet; its outcome is kept under its key when it comes"
        return Unknown(Reason.DEADLINE, detail, _RETRY_AFTER_MS)

    async def _once(self, record: RecordOfRun) -> ServiceOutcome:
        """Claim, call and settle, to the end even if the caller has gone."""
        self._observe(OnceStep.CLAIMING)
        claimed = await record.claim("")
        self._observe(OnceStep.CLAIMED)
        if isinstance(claimed, EarlierAnswer):
            body = claimed.body.encode("latin-1")
            return ServiceReply(claimed.status, body, claimed.content_type)
        if not isinstance(claimed, Permit):
            assert not isinstance(claimed, EarlierRun)
            return claimed
        outcome = await self._call_once(claimed)
        detach(self._settle(record, outcome))
        return outcome

    async def _settle(self, record: RecordOfRun, outcome: ServiceOutcome) -> None:
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

    async def _call_once(self, permit: Permit) -> ServiceOutcome:
        """Call replicas in turn while it is proven that none has run it."""

        def may_send() -> bool:
            # A process paused after its claim must not dispatch when it wakes: its
            # record may be swept by then, and a second call would find it free.
            return self._clock.now_ms() < permit.valid_until_ms

        call = replace(self._call, may_send=may_send)
        for name in self._replicas:
            self._observe(OnceStep.DISPATCHING)
            if not may_send():
                return NotRun(Reason.DEADLINE, "its permit ran out", _RETRY_AFTER_MS)
            result = await self._try(name, call)
            if isinstance(result, ServiceReply):
                return result
            if self._unproven:
                break
        return self._failed()

    async def _repeatable(self) -> ServiceOutcome:
        """Call replicas in turn, with a second call beside one that is silent."""
        under_way: set[_Attempt] = set()
        only_one = len(self._replicas) == 1
        names = self._replicas * 2 if only_one else self._replicas
        try:
            for number, name in enumerate(names):
                if self._unproven and not self._budget.take():
                    break
                if number and not under_way:
                    await self._clock.sleep_ms(self._budget.pause_ms(number))
                call = replace(self._call, needs_new_connection=number > 0)
                under_way.add(asyncio.ensure_future(self._try(name, call)))
                reply = await self._first_reply(under_way, self._reply_limit_ms)
                if reply:
                    return reply
            reply = await self._first_reply(under_way, self._left_ms())
            return reply or self._failed()
        finally:
            for work in under_way:
                work.cancel()

    async def _first_reply(
        self, under_way: "set[_Attempt]", limit_ms: int
    ) -> ServiceReply | None:
        """Wait for a reply; take out the calls that ended without one."""
        limit_ms = min(limit_ms, self._left_ms())
        until_ms = self._clock.now_ms() + limit_ms
        while under_way and self._clock.now_ms() < until_ms:
            left_ms = until_ms - self._clock.now_ms()
            for work in await self._wait(under_way, left_ms):
                under_way.discard(work)
                if isinstance(work.result(), ServiceReply):
                    return work.result()
        return None

    async def _try(
        self, name: str, call: ServiceCall
    ) -> ServiceReply | Refused | Broken:
        """Call one replica, noting what a failure proves."""
        service = self._service_by_name.get(name)
        if service is None:
            return Refused(Reason.NO_UPSTREAM, "not served any more")
        self._unproven += 1
        try:
            result = await within(self._clock, self._left_ms(), service.call(call))
        except TimeoutError:
            result = Broken(True, "no reply before the deadline")
        if isinstance(result, ServiceReply):
            return result
        self._detail = result.detail
        if isinstance(result, Refused) or not result.may_have_run:
            self._unproven -= 1
            self._on_refused(name)
        return result

    async def _wait(
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

    def _left_ms(self) -> int:
        return max(0, self._deadline_ms - self._clock.now_ms())

    def _failed(self) -> NotRun | Unknown:
        if self._unproven:
            return Unknown(Reason.UPSTREAM_FAILED, self._detail, _RETRY_AFTER_MS)
        return NotRun(Reason.NO_UPSTREAM, self._detail, _RETRY_AFTER_MS)
