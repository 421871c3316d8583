"""A model engine without a model: its queue, its costs and its cache."""

import hashlib
from dataclasses import dataclass, field

from fireflyward.outcomes import Reason, Usage
from fireflyward.upstreams import (
    BLOCK_TOKENS,
    Accepted,
    CancelState,
    EngineCall,
    LoadReport,
    Refused,
    count_tokens,
)

from ._engine_kv import EngineCache

_RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """What work costs on this engine, in milliseconds and blocks."""

    prefill_ms_per_token: float = 0.05
    decode_ms_per_token: float = 5.0
    max_running: int = 16
    max_queued: int = 256
    cache_blocks: int = 4_096
    load_ms: float = 1_200.0
    import_ms_per_block: float = 0.5


@dataclass(slots=True)
class EngineRun:
    """One run on the engine."""

    call: EngineCall
    answer: "_AnswerSource"
    cached_tokens: int = 0
    prompt_tokens: int = 0
    first_token_ms: float = -1.0
    cancelled: bool = False

    def tokens_ready(self, now_ms: float, decode_ms: float) -> int:
        """Return how many tokens exist by now."""
        if self.first_token_ms < 0 or now_ms < self.first_token_ms:
            return 0
        made = int((now_ms - self.first_token_ms) / decode_ms) + 1
        return min(self.call.max_tokens, made)

    def end_ms(self, decode_ms: float) -> float:
        """Return the time of the last token."""
        return self.first_token_ms + (self.call.max_tokens - 1) * decode_ms


@dataclass(frozen=True, slots=True)
class _AnswerSource:
    """Makes each token of an answer from everything that determines it."""

    seed: bytes

    @classmethod
    def of(cls, model: str, version: str, adapter: str, prompt: str) -> "_AnswerSource":
        digest = hashlib.sha256()
        for part in (model, version, adapter, prompt):
            data = part.encode()
            digest.update(len(data).to_bytes(8, "big") + data)
        return cls(digest.digest())

    def token(self, index: int) -> str:
        data = hashlib.blake2b(
            self.seed + index.to_bytes(8, "big"), digest_size=3
        ).hexdigest()
        return data + " "

    def text(self, start: int, end: int) -> str:
        return "".join(self.token(index) for index in range(start, end))


def answer_token(
    model: str, version: str, adapter: str, prompt: str, index: int
) -> str:
    """Return token ``index`` of the only right answer to a prompt."""
    return _AnswerSource.of(model, version, adapter, prompt).token(index)


def answer_text(
    model: str, version: str, adapter: str, prompt: str, tokens: int
) -> str:
    """Return the only right answer to a prompt, ``tokens`` long."""
    return _AnswerSource.of(model, version, adapter, prompt).text(0, tokens)


@dataclass(slots=True)
class EngineModel:
    """Decides what an engine does; the caller of its methods gives the time.

    Runs wait by priority and then by arrival. Prefill is done for one run at a
    time, decoding for all that run; cached blocks of the prompt need no prefill.
    """

    version_by_model: dict[str, str]
    costs: EngineCosts = field(default_factory=EngineCosts)
    epoch: str = "1"
    leaving: bool = False
    run_by_id: dict[str, EngineRun] = field(default_factory=dict)
    computed_tokens: int = 0
    cached_tokens: int = 0
    _queue: list[tuple[int, int, str]] = field(default_factory=list)
    _running: set[str] = field(default_factory=set)
    cache: EngineCache = field(init=False)
    _prefill_free_ms: float = 0.0
    _arrivals: int = 0

    def __post_init__(self) -> None:
        self.cache = EngineCache(self.costs.cache_blocks, self.epoch)

    def submit(self, now_ms: float, call: EngineCall) -> Accepted | Refused:
        """Take a run or say why it is not run."""
        self.advance(now_ms)
        if call.run_id in self.run_by_id:
            return Refused(Reason.DUPLICATE_RUNNING, "this run id is known here")
        version = self.version_by_model.get(call.model)
        if version != call.version:
            return Refused(Reason.UNKNOWN_MODEL, f"{call.model} is at {version}")
        if self.leaving:
            return Refused(Reason.STOPPING, "this replica is leaving")
        if len(self._queue) >= self.costs.max_queued:
            return Refused(Reason.OVERLOADED, "queue full", _RETRY_AFTER_MS)
        source = _AnswerSource.of(call.model, version, call.adapter, call.prompt)
        run = EngineRun(call, source)
        run.prompt_tokens = count_tokens(call.prompt)
        run.cached_tokens = self._cached_tokens(call.block_keys)
        self.run_by_id[call.run_id] = run
        self._arrivals += 1
        self._queue.append((call.priority, self._arrivals, call.run_id))
        self._queue.sort()
        self._fill(now_ms)
        return Accepted(version, run.cached_tokens)

    def cancel(self, now_ms: float, run_id: str) -> CancelState:
        """Stop a run; tell whether it was known and still going."""
        self.advance(now_ms)
        run = self.run_by_id.get(run_id)
        if run is None:
            return CancelState.NEVER_SEEN
        if self.is_whole(now_ms, run):
            return CancelState.FINISHED
        run.cancelled = True
        self._running.discard(run_id)
        self._queue = [item for item in self._queue if item[2] != run_id]
        self._fill(now_ms)
        return CancelState.CANCELLED

    def advance(self, now_ms: float) -> None:
        """Let runs end and others start, in the order of time, up to ``now_ms``."""
        while True:
            ending = min(
                self._running,
                key=lambda run_id: self._ends_ms(run_id),
                default=None,
            )
            if ending is None or self._ends_ms(ending) > now_ms:
                return
            ended_ms = self._ends_ms(ending)
            self._running.discard(ending)
            self._fill(ended_ms)

    def tokens_ready(self, now_ms: float, run: EngineRun) -> int:
        """Return how many tokens of a run exist by now."""
        self.advance(now_ms)
        return run.tokens_ready(now_ms, self.costs.decode_ms_per_token)

    def is_whole(self, now_ms: float, run: EngineRun) -> bool:
        """Tell whether a run has all its tokens."""
        return self.tokens_ready(now_ms, run) == run.call.max_tokens

    def usage(self, run: EngineRun) -> Usage:
        """Return the token counts of a run."""
        return Usage(run.prompt_tokens, run.call.max_tokens, run.cached_tokens)

    def report(self, now_ms: float) -> LoadReport:
        """Return the engine's load now; what carries it adds the lag."""
        self.advance(now_ms)
        waiting = [self.run_by_id[item[2]] for item in self._queue]
        return LoadReport(
            len(self._queue),
            len(self._running),
            sum(run.prompt_tokens - run.cached_tokens for run in waiting)
            + self._tokens_in_prefill(now_ms),
            self.costs.cache_blocks - len(self.cache),
            dict(self.version_by_model),
            self.leaving,
            self.epoch,
        )

    def _tokens_in_prefill(self, now_ms: float) -> int:
        """Return the tokens of begun runs that are still to be computed."""
        left_ms = max(0.0, self._prefill_free_ms - now_ms)
        return int(left_ms / self.costs.prefill_ms_per_token)

    def _ends_ms(self, run_id: str) -> float:
        return self.run_by_id[run_id].end_ms(self.costs.decode_ms_per_token)

    def _fill(self, now_ms: float) -> None:
        while self._queue and len(self._running) < self.costs.max_running:
            _, _, run_id = self._queue.pop(0)
            self._begin(now_ms, self.run_by_id[run_id])
            self._running.add(run_id)

    def _begin(self, now_ms: float, run: EngineRun) -> None:
        run.cached_tokens = self._cached_tokens(run.call.block_keys)
        to_compute = max(1, run.prompt_tokens - run.cached_tokens)
        self.computed_tokens += to_compute
        self.cached_tokens += run.cached_tokens
        starts_ms = max(now_ms, self._prefill_free_ms)
        self._prefill_free_ms = starts_ms + to_compute * self.costs.prefill_ms_per_token
        run.first_token_ms = self._prefill_free_ms
        self._cache_prompt(run.call.block_keys)

    def _cache_prompt(self, block_keys: tuple[str, ...]) -> None:
        """Cache a prompt's blocks, the first as the most recently used.

        A block is of no use without those before it, so engines evict a prompt
        from its end; evicting the first block would lose all of them at once.
        """
        for position in range(len(block_keys), 0, -1):
            self.cache.store(block_keys[position - 1], position, block_keys[0])

    def _cached_tokens(self, block_keys: tuple[str, ...]) -> int:
        """Count the tokens of the longest prefix whose blocks are cached."""
        return self.cache.prefix_blocks(block_keys) * BLOCK_TOKENS
