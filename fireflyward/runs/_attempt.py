"""Executes a run's attempts, one at a time, up to their last event."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import replace

from fireflyward.clock import Clock
from fireflyward.connections import SilenceLimits, SilenceTimer, timed_out, was_silent
from fireflyward.observe import hop
from fireflyward.outcomes import NotRun, Reason, Unknown
from fireflyward.routing import Router, RunShape
from fireflyward.steps import StepObserver
from fireflyward.upstreams import (
    Accepted,
    Broken,
    Engine,
    EngineCall,
    EngineEvent,
    Finished,
    Refused,
)

from ._idempotency_record import (
    ClaimResult,
    EarlierAnswer,
    EarlierRun,
    IdempotencyRecord,
    Permit,
)
from ._messages import (
    AttemptEvent,
    Denied,
    Message,
    RunsElsewhere,
    Stored,
)
from ._steps import OnceStep, PromptStep, StreamStep

_PREPARE_TIMEOUT_MS = 2_000
_RETRY_AFTER_MS = 1_000

Prepare = Callable[[str, EngineCall, RunShape], Awaitable[None]]


class Attempt:
    """Owns the connection of a run's current attempt; a new one stops the old one."""

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        call: EngineCall,
        shape: RunShape,
        inbox: "asyncio.Queue[Message | Exception]",
        on_dispatch: Callable[[int], None],
        prepare: Prepare | None,
        record: IdempotencyRecord | None,
        limits: SilenceLimits,
        observe: StepObserver,
    ) -> None:
        self._clock = clock
        self._router = router
        self._call = call
        self._shape = shape
        self._inbox = inbox
        self._on_dispatch = on_dispatch
        self._prepare = prepare
        self._record = record
        self._limits = limits
        self._observe = observe
        self._permit: Permit | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, number: int, replica: str, engine: Engine) -> None:
        """Prepare the replica, claim the record if the run has one, and dispatch."""
        self._replace_task(self._start(number, replica, engine))

    def resume(
        self, number: int, replica: str, engine: Engine | None, offset: int
    ) -> None:
        """Read the run from ``offset``; without an engine, report it as broken."""
        self._replace_task(self._resume(number, replica, engine, offset))

    def stop(self) -> None:
        """Stop reading from the replica."""
        if self._task and not self._task.done():
            self._task.cancel()

    def _replace_task(self, work: Coroutine[None, None, None]) -> None:
        self.stop()
        self._task = asyncio.ensure_future(self._forward_error(work))

    async def _forward_error(self, work: Coroutine[None, None, None]) -> None:
        """Put an exception into the inbox, where it makes the run's task fail."""
        try:
            await work
        except Exception as error:
            await self._inbox.put(error)

    async def _start(self, number: int, replica: str, engine: Engine) -> None:
        if self._prepare:
            await self._prepare_replica(replica)
        self._observe(PromptStep.PREPARED)
        if self._record and not await self._is_permitted(number, replica):
            return
        self._observe(PromptStep.DISPATCHING)
        self._on_dispatch(number)
        call = self._call
        if self._permit:
            call = replace(call, may_send=self._is_permit_valid)
        with hop("attempt", upstream=replica) as trace_parent:
            if trace_parent:
                call = replace(call, trace_parent=trace_parent)
            events = engine.generate(call)
            await self._read_until_silent(
                number, replica, events, self._limits.silence_ms
            )

    async def _resume(
        self, number: int, replica: str, engine: Engine | None, offset: int
    ) -> None:
        if engine is None:
            lost = Broken(True, f"replica {replica} is no longer an upstream")
            await self._inbox.put(AttemptEvent(number, lost))
            return
        with hop("resume", upstream=replica):
            events = engine.resume(self._call.run_id, offset)
            await self._read_until_silent(
                number, replica, events, self._limits.probe_ms
            )

    async def _prepare_replica(self, replica: str) -> None:
        """Prepare in bounded time; without preparation a run is only slower."""
        work = self._prepare(replica, self._call, self._shape)
        until_ms = self._clock.now_ms() + _PREPARE_TIMEOUT_MS
        with suppress(TimeoutError):
            await timed_out(self._clock, lambda: until_ms - self._clock.now_ms(), work)

    async def _is_permitted(self, number: int, replica: str) -> bool:
        if self._permit is None:
            self._observe(OnceStep.CLAIMING)
            result = await self._record.claim(replica)
            self._observe(OnceStep.CLAIMED)
            if not isinstance(result, Permit):
                await self._inbox.put(_message_for(result, number))
                return False
            self._permit = result
        self._observe(OnceStep.DISPATCHING)
        if self._is_permit_valid():
            return True
        # A process that was paused after its claim resumes here with an expired permit.
        # Its caller no longer waits, and a sweep may have deleted the record in the
        # meantime. A second request with the same key could therefore run as well, and
        # its effect would be duplicated. The monotonic clock advances during such a
        # pause.
        outcome = NotRun(Reason.DEADLINE, "its permit expired", _RETRY_AFTER_MS)
        await self._inbox.put(Denied(number, outcome))
        return False

    def _is_permit_valid(self) -> bool:
        return self._clock.now_ms() < self._permit.valid_until_ms

    async def _read_until_silent(
        self,
        number: int,
        replica: str,
        events: AsyncIterator[EngineEvent],
        first_limit_ms: int,
    ) -> None:
        silence_timer = SilenceTimer(self._clock, first_limit_ms)
        work = self._forward_events(number, replica, events, silence_timer)
        if await was_silent(self._clock, work, silence_timer):
            self._observe(StreamStep.SILENT)
            await self._inbox.put(AttemptEvent(number, Broken(True, "silent")))

    async def _forward_events(
        self,
        number: int,
        replica: str,
        events: AsyncIterator[EngineEvent],
        silence_timer: SilenceTimer,
    ) -> None:
        failed = True
        self._router.on_start(replica)
        try:
            async for event in events:
                now_ms = self._clock.now_ms()
                self._router.on_event(now_ms, replica, self._call.run_id, event)
                failed = not isinstance(event, Finished | Refused)
                if isinstance(event, Accepted):
                    self._observe(PromptStep.ACCEPTED)
                silence_timer.pause()
                await self._inbox.put(AttemptEvent(number, event))
                silence_timer.restart(self._limits.silence_ms)
        except asyncio.CancelledError:
            failed = silence_timer.left_ms() <= 0
            raise
        finally:
            self._router.on_end(self._clock.now_ms(), replica, failed=failed)


def _message_for(result: ClaimResult, number: int) -> Message:
    """Return the message for a run that did not get a permit."""
    if isinstance(result, EarlierAnswer):
        return Stored(number, result.body, result.usage)
    if isinstance(result, EarlierRun):
        return RunsElsewhere(number, result.replica)
    assert isinstance(result, NotRun | Unknown)
    return Denied(number, result)
