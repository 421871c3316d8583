"""An engine stand-in on the replay's clock."""

from collections.abc import Callable

from fireflyward.standins import EngineModel
from fireflyward.upstreams import BLOCK_TOKENS, EngineCall, Refused

from ._events import EventClock
from ._prompts import Text

_BYTES_PER_TOKEN = 4
MODEL = "model"
VERSION = "v1"

FirstToken = Callable[[float, int], None]
Ended = Callable[[], None]


class ReplayEngine:
    """Tells when a run's first token comes and when the run ends.

    ``EngineModel`` decides; it has no timers, so that this class moves it on at
    the end of each run, which is when the next one may begin.
    """

    __slots__ = ("_clock", "_ended_by_run", "_first_by_run", "model", "name")

    def __init__(self, name: str, model: EngineModel, clock: EventClock) -> None:
        self.name = name
        self.model = model
        self._clock = clock
        self._first_by_run: dict[str, FirstToken] = {}
        self._ended_by_run: dict[str, Ended] = {}

    def submit(
        self, run_id: str, text: Text, answer: int, first: FirstToken, ended: Ended
    ) -> bool:
        """Give the engine a run; ``first`` gets its time and the cached tokens."""
        call = EngineCall(
            run_id,
            MODEL,
            VERSION,
            "x" * (text.tokens * _BYTES_PER_TOKEN),
            answer,
            block_keys=text.keys,
        )
        self._first_by_run[run_id] = first
        self._ended_by_run[run_id] = ended
        result = self.model.submit(self._clock.exact_ms, call)
        self._follow_begun()
        return not isinstance(result, Refused)

    def load(self, keys: tuple[str, ...], first: int) -> None:
        """Put imported blocks into the cache, the deepest as the oldest."""
        for offset in reversed(range(len(keys))):
            self.model.cache.store(keys[offset], first + offset + 1)

    def touch(self, keys: tuple[str, ...]) -> None:
        """Make blocks the most recently used ones, as far as they are cached.

        Without this, loading a prompt's later blocks evicts its own first ones if
        they were not used for a while, and what was loaded is of no use.
        """
        for position in range(len(keys), 0, -1):
            if keys[position - 1] in self.model.cache:
                self.model.cache.store(keys[position - 1], position)

    def holds(self, keys: tuple[str, ...]) -> bool:
        """Tell whether all these blocks are still cached."""
        return all(key in self.model.cache for key in keys)

    def held_tokens(self, text: Text) -> int:
        """Return the tokens of the longest cached prefix."""
        return self.model.cache.prefix_blocks(text.keys) * BLOCK_TOKENS

    def _follow_begun(self) -> None:
        for run_id in list(self._first_by_run):
            run = self.model.run_by_id[run_id]
            if run.first_token_ms < 0:
                continue
            first = self._first_by_run.pop(run_id)
            self._tell_at(run.first_token_ms, first, run.cached_tokens)
            end_ms = run.end_ms(self.model.costs.decode_ms_per_token)
            self._clock.call_at(end_ms, lambda ended=run_id: self._end(ended))

    def _tell_at(self, at_ms: float, first: FirstToken, cached_tokens: int) -> None:
        self._clock.call_at(at_ms, lambda: first(at_ms, cached_tokens))

    def _end(self, run_id: str) -> None:
        self.model.advance(self._clock.exact_ms)
        del self.model.run_by_id[run_id]
        self._follow_begun()
        self._ended_by_run.pop(run_id)()
