"""An engine that prefills in chunks, as continuous batching does."""

import math
from dataclasses import dataclass, field

from ._engine_model import EngineModel, EngineRun


@dataclass(slots=True)
class _Prefill:
    priority: int
    arrival: int
    run: EngineRun
    left_tokens: int


@dataclass(slots=True)
class ChunkedEngineModel(EngineModel):
    """``EngineModel`` that looks at priorities again after each chunk of a prefill.

    ``EngineModel`` finishes one prefill before it begins the next, so that a run
    of the best priority waits for a whole prompt. Engines that batch continuously
    put a bounded number of prompt tokens into each step and choose anew.
    """

    chunk_tokens: int = 512
    _prefills: list[_Prefill] = field(default_factory=list)
    _current: _Prefill | None = None
    _chunk_ends_ms: float = math.inf

    def advance(self, now_ms: float) -> None:
        """Let chunks and runs end, in the order of time, up to ``now_ms``."""
        while True:
            ending = min(self._running, key=self._ends_ms, default=None)
            end_ms = self._ends_ms(ending) if ending else math.inf
            if min(end_ms, self._chunk_ends_ms) > now_ms:
                return
            if self._chunk_ends_ms <= end_ms:
                end_ms = self._chunk_ends_ms
                self._end_chunk()
            else:
                self._running.discard(ending)
            self._fill(end_ms)

    def next_ms(self) -> float:
        """Return when something next happens inside; infinity for never."""
        ends = (self._ends_ms(run_id) for run_id in self._running)
        return min(self._chunk_ends_ms, min(ends, default=math.inf))

    def _fill(self, now_ms: float) -> None:
        self._prefills = [item for item in self._prefills if not item.run.cancelled]
        # Named, since a dataclass with slots is another class than ``super()`` sees.
        EngineModel._fill(self, now_ms)
        if self._current is None and self._prefills:
            self._begin_chunk(now_ms)

    def _begin(self, now_ms: float, run: EngineRun) -> None:
        run.cached_tokens = self._cached_tokens(run.call.block_keys)
        to_compute = max(1, run.prompt_tokens - run.cached_tokens)
        self.computed_tokens += to_compute
        self.cached_tokens += run.cached_tokens
        arrival = len(self.run_by_id)
        self._prefills.append(_Prefill(run.call.priority, arrival, run, to_compute))
        for position, key in enumerate(run.call.block_keys, start=1):
            self.cache.store(key, position)

    def _begin_chunk(self, now_ms: float) -> None:
        self._current = min(
            self._prefills, key=lambda item: (item.priority, item.arrival)
        )
        tokens = min(self.chunk_tokens, self._current.left_tokens)
        self._current.left_tokens -= tokens
        self._chunk_ends_ms = now_ms + tokens * self.costs.prefill_ms_per_token

    def _end_chunk(self) -> None:
        done = self._current
        if not done.left_tokens:
            done.run.first_token_ms = self._chunk_ends_ms
            self._prefills = [item for item in self._prefills if item is not done]
        self._current = None
        self._chunk_ends_ms = math.inf

    def _tokens_in_prefill(self, now_ms: float) -> int:
        left = sum(item.left_tokens for item in self._prefills)
        if self._current is None:
            return left
        left_ms = max(0.0, self._chunk_ends_ms - now_ms)
        return left + int(left_ms / self.costs.prefill_ms_per_token)

    def _ends_ms(self, run_id: str) -> float:
        run = self.run_by_id[run_id]
        if run.first_token_ms < 0:
            return math.inf
        return run.end_ms(self.costs.decode_ms_per_token)
