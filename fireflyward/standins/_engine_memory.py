"""The engine stand-in without sockets, for runs on a manual clock."""

from collections.abc import AsyncIterator

from fireflyward.clock import Clock
from fireflyward.upstreams import (
    Accepted,
    Broken,
    CancelState,
    EngineCall,
    EngineEvent,
    Finished,
    KeepAlive,
    LoadReport,
    Piece,
    Refused,
)

from ._engine_model import EngineModel, EngineRun
from ._fault_injection import FaultInjector

_STEP_MS = 10
_KEEP_ALIVE_MS = 500


class MemoryEngine:
    """An ``Engine`` over an ``EngineModel``; ``faults`` affect its connections.

    ``piece_tokens`` is how many tokens the engine collects before it sends a piece;
    with different values two replicas divide the same answer differently.
    ``started_run_ids`` lists the runs that reached the model, so that tests can
    find a request that ran twice.
    """

    def __init__(
        self, model: EngineModel, clock: Clock, *, piece_tokens: int = 1
    ) -> None:
        self.model = model
        self.fault_injector = FaultInjector(clock)
        self.faults = self.fault_injector.faults
        self.dispatches = 0
        self.started_run_ids: list[str] = []
        self.last_started_ms = -1
        self.cancelled_run_ids: list[str] = []
        self._clock = clock
        self._piece_tokens = piece_tokens

    async def generate(self, call: EngineCall) -> AsyncIterator[EngineEvent]:
        self.dispatches += 1
        if self.faults.unreachable:
            yield Broken(False, "connection refused")
            return
        await self.fault_injector.on_request()
        result = self.model.submit(self._clock.now_ms(), call)
        if isinstance(result, Refused):
            yield result
            return
        self.started_run_ids.append(call.run_id)
        self.last_started_ms = self._clock.now_ms()
        await self.fault_injector.on_submitted()
        async for event in self._stream(self.model.run_by_id[call.run_id], 0):
            yield event

    async def resume(self, run_id: str, offset: int) -> AsyncIterator[EngineEvent]:
        if self.faults.unreachable:
            yield Broken(False, "connection refused")
            return
        await self.fault_injector.on_read()
        run = self.model.run_by_id.get(run_id)
        if run is None or run.cancelled:
            yield Broken(True, "status 404")
            return
        async for event in self._stream(run, offset):
            yield event

    async def cancel(self, run_id: str) -> CancelState:
        if self.faults.unreachable or self.faults.paused:
            return CancelState.NO_ANSWER
        self.cancelled_run_ids.append(run_id)
        return self.model.cancel(self._clock.now_ms(), run_id)

    async def load(self) -> LoadReport | Broken:
        if self.faults.unreachable or self.faults.paused:
            return Broken(False, "no answer")
        return self.model.report(self._clock.now_ms())

    async def _stream(self, run: EngineRun, sent: int) -> AsyncIterator[EngineEvent]:
        if await self.fault_injector.on_stream(run.call.run_id) != run.call.run_id:
            yield Broken(True, "answer of another run")
            return
        yield Accepted(run.call.version, run.cached_tokens)
        last_sent_ms = self._clock.now_ms()
        while sent < run.call.max_tokens and not run.cancelled:
            if self.faults.unreachable:
                yield Broken(True, "connection reset")
                return
            if await self.fault_injector.should_cut(sent):
                yield Broken(True, "cut")
                return
            now_ms = self._clock.now_ms()
            generated = self.model.tokens_ready(now_ms, run)
            ready = self.fault_injector.sendable(sent, generated)
            new = ready - sent
            if new >= min(self._piece_tokens, run.call.max_tokens - sent):
                yield Piece(sent, new, run.answer.text(sent, ready))
                sent, last_sent_ms = ready, now_ms
            elif now_ms - last_sent_ms >= _KEEP_ALIVE_MS:
                yield KeepAlive()
                last_sent_ms = now_ms
            await self._clock.sleep_ms(_STEP_MS)
        if not run.cancelled:
            yield Finished(self.model.usage(run))
