"""The task that carries out what a run decides."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from functools import singledispatchmethod

from fireflyward.clock import Clock
from fireflyward.routing import Router, RunShape
from fireflyward.upstreams import Engine, EngineCall, EngineEvent, Finished, Refused

from ._run import (
    Action,
    AttemptEvent,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    Deliver,
    End,
    Message,
    Resume,
    Run,
    Start,
)

_PENDING_EVENTS = 64


class RunTask:
    """Owns the connections of one run; yields ``Deliver`` and then one ``End``."""

    __slots__ = (
        "_background",
        "_call",
        "_clock",
        "_engine_by_name",
        "_inbox",
        "_out",
        "_reader",
        "_router",
        "_run",
        "_shape",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router,
        engine_by_name: Mapping[str, Engine],
        call: EngineCall,
        shape: RunShape,
        deadline_ms: int,
    ) -> None:
        self._clock = clock
        self._router = router
        self._engine_by_name = engine_by_name
        self._call = call
        self._shape = shape
        self._run = Run(deadline_ms)
        self._inbox: asyncio.Queue[Message] = asyncio.Queue(_PENDING_EVENTS)
        self._out: list[Deliver | End] = []
        self._reader: asyncio.Task[None] | None = None
        self._background: set[asyncio.Task[object]] = set()

    async def results(self) -> AsyncIterator[Deliver | End]:
        """Yield the answer's pieces and its outcome.

        Closing this iterator early means that the caller is gone.
        """
        try:
            self._take(Begin())
            while True:
                while self._out:
                    result = self._out.pop(0)
                    yield result
                    if isinstance(result, End):
                        return
                self._take(await self._inbox.get())
        finally:
            self._take(CallerGone())
            self._stop_reading()

    def _take(self, message: Message) -> None:
        for action in self._run.decide(self._clock.now_ms(), message):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        self._out.append(action)

    @_perform.register
    def _(self, action: Choose) -> None:
        now_ms = self._clock.now_ms()
        name = self._router.choose(now_ms, self._shape, without=action.without)
        self._take(Chosen(name))

    @_perform.register
    def _(self, action: Start) -> None:
        engine = self._engine_by_name[action.replica]
        self._read(action.attempt, action.replica, engine.generate(self._call))

    @_perform.register
    def _(self, action: Resume) -> None:
        engine = self._engine_by_name[action.replica]
        events = engine.resume(self._call.run_id, action.offset)
        self._read(action.attempt, action.replica, events)

    @_perform.register
    def _(self, action: Cancel) -> None:
        engine = self._engine_by_name[action.replica]
        task = asyncio.ensure_future(engine.cancel(self._call.run_id))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _read(
        self, attempt: int, replica: str, events: AsyncIterator[EngineEvent]
    ) -> None:
        self._stop_reading()
        self._reader = asyncio.ensure_future(self._pump(attempt, replica, events))

    async def _pump(
        self, attempt: int, replica: str, events: AsyncIterator[EngineEvent]
    ) -> None:
        failed = True
        self._router.on_start(replica)
        try:
            async for event in events:
                failed = not isinstance(event, Finished | Refused)
                await self._inbox.put(AttemptEvent(attempt, event))
        except asyncio.CancelledError:
            failed = False
            raise
        finally:
            self._router.on_end(self._clock.now_ms(), replica, failed=failed)

    def _stop_reading(self) -> None:
        if self._reader and not self._reader.done():
            self._reader.cancel()
