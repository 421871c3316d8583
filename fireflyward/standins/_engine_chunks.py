"""An engine model that prefills in chunks, as with continuous batching."""

import math
from dataclasses import dataclass, field

from ._engine_model import EngineModel, EngineRun


@dataclass(slots=True)
class _Prefill:
    priority: int
    arrival: int
    run: EngineRun
    remaining_tokens: int


@dataclass(slots=True)
class ChunkedEngineModel(EngineModel):
    """``EngineModel`` that compares priorities again after each chunk of a prefill.

    ``EngineModel`` finishes one prefill before it starts the next, so that a run
    with the best priority waits for the prefill of a whole prompt. Engines with
    continuous batching process a bounded number of prompt tokens in each step and
    then choose the next run again.
    """

    chunk_tokens: int = 512
    _prefills: list[_Prefill] = field(default_factory=list)
    _current: _Prefill | None = None
    _chunk_end_ms: float = math.inf

    def advance(self, now_ms: float) -> None:
        """Finish chunks and runs in the order of time, up to ``now_ms``."""
        while True:
            next_run_id = min(self._running, key=self._run_end_ms, default=None)
            end_ms = self._run_end_ms(next_run_id) if next_run_id else math.inf
            if min(end_ms, self._chunk_end_ms) > now_ms:
                return
            if self._chunk_end_ms <= end_ms:
                end_ms = self._chunk_end_ms
                self._finish_chunk()
            else:
                self._running.discard(next_run_id)
            self._start_queued_runs(end_ms)

    def next_ms(self) -> float:
        """Return the time of the next change in the engine, or infinity for none."""
        ends = (self._run_end_ms(run_id) for run_id in self._running)
        return min(self._chunk_end_ms, min(ends, default=math.inf))

    def _start_queued_runs(self, now_ms: float) -> None:
        self._prefills = [item for item in self._prefills if not item.run.cancelled]
        # ``super()`` fails here: ``dataclass(slots=True)`` creates a second class.
        EngineModel._start_queued_runs(self, now_ms)
        if self._current is None and self._prefills:
            self._start_chunk(now_ms)

    def _start_run(self, now_ms: float, run: EngineRun) -> None:
        run.cached_tokens = self._cached_tokens(run.call.block_keys)
        uncached_tokens = max(1, run.prompt_tokens - run.cached_tokens)
        self.computed_tokens += uncached_tokens
        self.cached_tokens += run.cached_tokens
        arrival = len(self.run_by_id)
        self._prefills.append(
            _Prefill(run.call.priority, arrival, run, uncached_tokens)
        )
        for position, key in enumerate(run.call.block_keys, start=1):
            self.cache.store(key, position)

    def _start_chunk(self, now_ms: float) -> None:
        self._current = min(
            self._prefills, key=lambda item: (item.priority, item.arrival)
        )
        tokens = min(self.chunk_tokens, self._current.remaining_tokens)
        self._current.remaining_tokens -= tokens
        self._chunk_end_ms = now_ms + tokens * self.costs.prefill_ms_per_token

    def _finish_chunk(self) -> None:
        finished = self._current
        if not finished.remaining_tokens:
            finished.run.first_token_ms = self._chunk_end_ms
            self._prefills = [item for item in self._prefills if item is not finished]
        self._current = None
        self._chunk_end_ms = math.inf

    def _tokens_in_prefill(self, now_ms: float) -> int:
        remaining = sum(item.remaining_tokens for item in self._prefills)
        if self._current is None:
            return remaining
        remaining_ms = max(0.0, self._chunk_end_ms - now_ms)
        return remaining + int(remaining_ms / self.costs.prefill_ms_per_token)

    def _run_end_ms(self, run_id: str) -> float:
        run = self.run_by_id[run_id]
        if run.first_token_ms < 0:
            return math.inf
        return run.end_ms(self.costs.decode_ms_per_token)
