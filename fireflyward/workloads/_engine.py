"""An engine stand-in on the replay's clock."""

from collections.abc import Callable

from fireflyward.standins import EngineModel
from fireflyward.upstreams import BLOCK_TOKENS, EngineCall, Refused

from ._events import EventClock
from ._prompts import Text

_BYTES_PER_TOKEN = 4
MODEL = "model"
VERSION = "v1"

OnFirstToken = Callable[[float, int], None]
OnEnd = Callable[[], None]


class ReplayEngine:
    """Calls back at the first token and at the end of each run.

    The times come from ``EngineModel``. It has no timers, so this class advances it
    at the end of each run, when the next queued run may start.
    """

    __slots__ = ("_clock", "_on_end_by_run", "_on_first_token_by_run", "model", "name")

    def __init__(self, name: str, model: EngineModel, clock: EventClock) -> None:
        self.name = name
        self.model = model
        self._clock = clock
        self._on_first_token_by_run: dict[str, OnFirstToken] = {}
        self._on_end_by_run: dict[str, OnEnd] = {}

    def submit(
        self,
        run_id: str,
        text: Text,
        answer: int,
        on_first_token: OnFirstToken,
        on_end: OnEnd,
    ) -> bool:
        """Submit a run to the engine, and return whether it was accepted.

        ``on_first_token`` gets the time of the first token and the number of cached
        tokens.
        """
        call = EngineCall(
            run_id,
            MODEL,
            VERSION,
            "x" * (text.tokens * _BYTES_PER_TOKEN),
            answer,
            block_keys=text.keys,
        )
        self._on_first_token_by_run[run_id] = on_first_token
        self._on_end_by_run[run_id] = on_end
        result = self.model.submit(self._clock.exact_ms, call)
        self._schedule_started_runs()
        return not isinstance(result, Refused)

    def load(self, keys: tuple[str, ...], first: int) -> None:
        """Cache imported blocks so that the last is the least recently used.

        ``first`` is the position of the first of them in the prompt.
        """
        for offset in reversed(range(len(keys))):
            self.model.cache.store(keys[offset], first + offset + 1)

    def touch(self, keys: tuple[str, ...]) -> None:
        """Mark those of these blocks that are cached as the most recently used.

        Otherwise, loading a prompt's later blocks would evict its first ones if these
        were not used recently, and without them the loaded blocks cannot be used.
        """
        for position in range(len(keys), 0, -1):
            if keys[position - 1] in self.model.cache:
                self.model.cache.store(keys[position - 1], position)

    def has_cached(self, keys: tuple[str, ...]) -> bool:
        """Return whether all these blocks are still cached."""
        return all(key in self.model.cache for key in keys)

    def cached_tokens(self, text: Text) -> int:
        """Return the number of tokens in the longest cached prefix."""
        return self.model.cache.prefix_blocks(text.keys) * BLOCK_TOKENS

    def _schedule_started_runs(self) -> None:
        for run_id in list(self._on_first_token_by_run):
            run = self.model.run_by_id[run_id]
            if run.first_token_ms < 0:
                continue
            on_first_token = self._on_first_token_by_run.pop(run_id)
            self._schedule_first_token(
                run.first_token_ms, on_first_token, run.cached_tokens
            )
            end_ms = run.end_ms(self.model.costs.decode_ms_per_token)
            self._clock.call_at(
                end_ms, lambda finished=run_id: self._finish_run(finished)
            )

    def _schedule_first_token(
        self, first_token_ms: float, on_first_token: OnFirstToken, cached_tokens: int
    ) -> None:
        self._clock.call_at(
            first_token_ms, lambda: on_first_token(first_token_ms, cached_tokens)
        )

    def _finish_run(self, run_id: str) -> None:
        self.model.advance(self._clock.exact_ms)
        del self.model.run_by_id[run_id]
        self._schedule_started_runs()
        self._on_end_by_run.pop(run_id)()
