"""The task that executes the actions of a run."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from functools import partial, singledispatch

from fireflyward.clock import Clock, Timer
from fireflyward.connections import SilenceLimits, within
from fireflyward.observe import hop
from fireflyward.outcomes import Outcome
from fireflyward.routing import Router, RunShape
from fireflyward.steps import StepObserver, ignore_step
from fireflyward.upstreams import CancelState, Engine, EngineCall

from ._attempt import Attempt, Prepare
from ._budget import RetryBudget
from ._detached import detach, track
from ._idempotency_record import IdempotencyRecord
from ._messages import (
    Action,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    DeadlinePassed,
    Deliver,
    Dispatching,
    End,
    Mark,
    Message,
    Placed,
    Resume,
    Start,
    Wait,
    Waited,
)
from ._run import Run
from ._steps import OnceStep, PromptStep, StreamStep

_MAX_PENDING_EVENTS = 16
_MAX_PENDING_PIECES = 64
_CALLER_READ_TIMEOUT_MS = 30_000
_MAX_CANCEL_ATTEMPTS = 2

Result = Placed | Deliver | End


class RunTask:
    """Owns the connections of one run.

    ``results`` yields ``Placed`` and ``Deliver`` and then a single ``End``. The task
    buffers at most ``_MAX_PENDING_PIECES`` pieces that the caller has not read. Then it
    stops reading from the replica, and a caller that reads nothing for
    ``_CALLER_READ_TIMEOUT_MS`` is treated as disconnected.

    ``prepare(replica, call, shape)`` is awaited after a replica was chosen and before
    the dispatch, for a limited time. ``record`` is the record of a non-idempotent
    request. ``mark`` is the point up to which a returning caller has its answer.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        engine_by_name: Mapping[str, Engine],
        call: EngineCall,
        shape: RunShape,
        deadline_ms: int,
        prepare: Prepare | None = None,
        record: IdempotencyRecord | None = None,
        budget: RetryBudget | None = None,
        mark: Mark | None = None,
        is_streamed: bool = True,
        limits: SilenceLimits | None = None,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._clock = clock
        self._router = router
        self._engine_by_name = engine_by_name
        self._call = call
        self._shape = shape
        self._deadline_ms = deadline_ms
        self._record = record
        self._observe = observe
        self._run = Run(
            deadline_ms,
            version=call.version,
            is_non_idempotent=record is not None,
            is_streamed=is_streamed,
            budget=budget,
            mark=mark,
        )
        self._inbox: asyncio.Queue[Message | Exception] = asyncio.Queue(
            _MAX_PENDING_EVENTS
        )
        self._attempt = Attempt(
            clock=clock,
            router=router,
            call=call,
            shape=shape,
            inbox=self._inbox,
            on_dispatch=self._on_dispatch,
            prepare=prepare,
            record=record,
            limits=limits or SilenceLimits(),
            observe=observe,
        )
        self._undelivered: list[Result] = []
        self._outbox: asyncio.Queue[Result | Exception] = asyncio.Queue()
        self._free_piece_slots = asyncio.Semaphore(_MAX_PENDING_PIECES)
        self._is_caller_gone = False
        self._timers: list[Timer] = []
        self._answer_texts: list[str] = []

    @property
    def has_pending(self) -> bool:
        """Return whether ``results`` can yield its next item without waiting."""
        return not self._outbox.empty()

    async def results(self) -> AsyncIterator[Result]:
        """Yield the answer's pieces and its outcome.

        Closing this iterator early means that the caller has disconnected.
        """
        worker = asyncio.ensure_future(self._work())
        try:
            while True:
                result = await self._outbox.get()
                if isinstance(result, Exception):
                    raise result
                if isinstance(result, Deliver):
                    self._free_piece_slots.release()
                yield result
                if isinstance(result, End):
                    return
        finally:
            self._on_results_closed(worker)

    def _on_results_closed(self, worker: "asyncio.Task[None]") -> None:
        """Cancel the run, unless its outcome must still be recorded."""
        if worker.done() or self._run.has_ended:
            return
        self._is_caller_gone = True
        self._free_piece_slots.release()
        self._observe(StreamStep.CALLER_GONE)
        self._handle(CallerGone())
        if self._run.has_ended:
            worker.cancel()
        track(worker)

    async def _work(self) -> None:
        self._enqueue_later(self._deadline_ms - self._clock.now_ms(), DeadlinePassed())
        try:
            self._handle(Begin())
            await self._flush()
            while not self._run.has_ended:
                message = await self._inbox.get()
                if isinstance(message, Exception):
                    raise message
                self._handle(message)
                await self._flush()
        except Exception as error:
            self._outbox.put_nowait(error)
        finally:
            self._attempt.stop()
            for timer in self._timers:
                timer.cancel()

    async def _flush(self) -> None:
        """Move results to the outbox; wait if the caller reads too slowly."""
        undelivered, self._undelivered = self._undelivered, []
        for result in undelivered:
            if isinstance(result, Deliver) and not self._is_caller_gone:
                await self._wait_for_piece_slot()
            if not self._is_caller_gone:
                self._outbox.put_nowait(result)

    async def _wait_for_piece_slot(self) -> None:
        if not self._free_piece_slots.locked():
            await self._free_piece_slots.acquire()
            return
        try:
            await within(
                self._clock, _CALLER_READ_TIMEOUT_MS, self._free_piece_slots.acquire()
            )
        except TimeoutError:
            self._handle(CallerGone())

    def _on_dispatch(self, attempt: int) -> None:
        """Record a dispatch immediately before the request is sent.

        The run handles this message directly and not through the inbox. There, the
        message of a caller that closes its connection could overtake it, and a run
        that was dispatched would be reported as not run.
        """
        self._handle(Dispatching(attempt))

    def _handle(self, message: Message) -> None:
        for action in self._run.decide(self._clock.now_ms(), message):
            _perform(action, self)

    def _enqueue_later(self, duration_ms: int, message: Message) -> None:
        enqueue = partial(self._enqueue, message)
        self._timers.append(self._clock.call_later_ms(duration_ms, enqueue))

    def _enqueue(self, message: Message) -> None:
        """Put a message in the inbox; if that is full, wait for space in a task."""
        if self._inbox.full():
            self._timers.append(asyncio.ensure_future(self._inbox.put(message)))
        else:
            self._inbox.put_nowait(message)

    async def _settle(self, record: IdempotencyRecord, outcome: Outcome) -> None:
        self._observe(OnceStep.SETTLING)
        await record.settle(outcome, "".join(self._answer_texts))
        self._observe(OnceStep.SETTLED)


@singledispatch
def _perform(action: Action, task: RunTask) -> None:
    task._undelivered.append(action)


@_perform.register
def _(action: Deliver, task: RunTask) -> None:
    task._observe(PromptStep.DELIVERING)
    if task._record:
        task._answer_texts.append(action.text)
    task._undelivered.append(action)


@_perform.register
def _(action: End, task: RunTask) -> None:
    task._observe(PromptStep.ENDED)
    task._attempt.stop()
    if task._record:
        detach(task._settle(task._record, action.outcome))
    task._undelivered.append(action)


@_perform.register
def _(action: Choose, task: RunTask) -> None:
    task._observe(PromptStep.CHOOSING)
    now_ms = task._clock.now_ms()
    with hop("routing"):
        name = task._router.choose(now_ms, task._shape, without=action.excluded)
    task._observe(PromptStep.CHOSEN)
    task._handle(Chosen(name))


@_perform.register
def _(action: Start, task: RunTask) -> None:
    engine = task._engine_by_name[action.replica]
    task._attempt.start(action.attempt, action.replica, engine)


@_perform.register
def _(action: Resume, task: RunTask) -> None:
    engine = task._engine_by_name.get(action.replica)
    task._observe(StreamStep.RESUMING)
    task._attempt.resume(action.attempt, action.replica, engine, action.offset)


@_perform.register
def _(action: Wait, task: RunTask) -> None:
    task._observe(StreamStep.WAITING)
    task._attempt.stop()
    task._enqueue_later(action.duration_ms, Waited())


@_perform.register
def _(action: Cancel, task: RunTask) -> None:
    engine = task._engine_by_name.get(action.replica)
    if engine:
        task._observe(StreamStep.CANCELLING)
        detach(_cancel(engine, task._call.run_id))


async def _cancel(engine: Engine, run_id: str) -> None:
    """Cancel a run; try twice, since the first connection may have been lost."""
    for _ in range(_MAX_CANCEL_ATTEMPTS):
        if await engine.cancel(run_id) is not CancelState.NO_ANSWER:
            return
