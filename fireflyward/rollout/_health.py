"""Health of runs by weight version, and comparison of a new version with the old."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field

from fireflyward.clock import Clock
from fireflyward.upstreams import (
    Engine,
    EngineCall,
    EngineEvent,
    Finished,
    Piece,
    Refused,
)

# With fewer runs or failures a difference is more likely due to chance than to the
# new weights.
_MIN_RUNS = 20
_MIN_FAILURES = 3
_ERROR_MARGIN = 0.05
_SLOWER_FACTOR = 2.0
_SLOWER_MARGIN_MS = 50.0
# A new version has nothing in the cache, so its first tokens are later whatever the
# weights. The comparison therefore uses the time per computed token; this many tokens
# are added for the fixed cost of a run.
_FIXED_TOKENS = 256


@dataclass(slots=True)
class Health:
    """Counts of finished runs; a run that an engine rejected is not counted."""

    runs: int = 0
    failures: int = 0
    first_token_ms: float = 0.0
    computed_tokens: int = 0

    @property
    def error_share(self) -> float:
        return self.failures / self.runs if self.runs else 0.0

    @property
    def mean_first_token_ms(self) -> float:
        return self.first_token_ms / max(1, self.runs - self.failures)

    @property
    def ms_per_token(self) -> float:
        return self.first_token_ms / max(1, self.computed_tokens)


def regression(new: Health, old: Health) -> str:
    """Describe how ``new`` is worse than ``old``; empty if it is not worse.

    >>> regression(Health(40, 8), Health(40, 0))
    'errors in 20.0% of runs, before 0.0%'
    """
    if new.runs < _MIN_RUNS or old.runs < _MIN_RUNS:
        return ""
    more_errors = new.error_share > old.error_share + _ERROR_MARGIN
    if new.failures >= _MIN_FAILURES and more_errors:
        return f"errors in {new.error_share:.1%} of runs, before {old.error_share:.1%}"
    longer_ms = new.mean_first_token_ms - old.mean_first_token_ms
    if (
        new.ms_per_token > old.ms_per_token * _SLOWER_FACTOR
        and longer_ms > _SLOWER_MARGIN_MS
    ):
        return (
            f"first token after {new.mean_first_token_ms:.0f} ms, "
            f"before {old.mean_first_token_ms:.0f} ms"
        )
    return ""


@dataclass(slots=True)
class HealthWatch:
    """Counts the runs of this node by model and weight version."""

    health_by_version: dict[tuple[str, str], Health] = field(default_factory=dict)

    def of(self, model: str, version: str) -> Health:
        """Return the counts of a version, which start at zero."""
        return self.health_by_version.setdefault((model, version), Health())

    def reset(self) -> None:
        """Clear the counts, since another rollout begins."""
        self.health_by_version = {}


class WatchedEngine:
    """An engine whose runs are counted; all else is delegated to ``engine``."""

    __slots__ = ("_clock", "_engine", "_watch")

    def __init__(self, engine: Engine, watch: HealthWatch, clock: Clock) -> None:
        self._engine = engine
        self._watch = watch
        self._clock = clock

    def __getattr__(self, name: str) -> object:
        return getattr(self._engine, name)

    def __repr__(self) -> str:
        return f"WatchedEngine({self._engine!r})"

    async def generate(self, call: EngineCall) -> AsyncIterator[EngineEvent]:
        """Start a run and count its result, unless the consumer stops early."""
        started_ms = self._clock.now_ms()
        first_ms: int | None = None
        event: EngineEvent | None = None
        async with aclosing(self._engine.generate(call)) as events:
            async for event in events:
                if first_ms is None and isinstance(event, Piece):
                    first_ms = self._clock.now_ms() - started_ms
                if isinstance(event, Finished):
                    self._count(call, event, first_ms or 0)
                yield event
        if not isinstance(event, Finished | Refused):
            self._watch.of(call.model, call.version).runs += 1
            self._watch.of(call.model, call.version).failures += 1

    def _count(self, call: EngineCall, event: Finished, first_ms: int) -> None:
        health = self._watch.of(call.model, call.version)
        health.runs += 1
        health.first_token_ms += first_ms
        usage = event.usage
        computed = max(0, usage.prompt_tokens - usage.cached_tokens)
        health.computed_tokens += computed + _FIXED_TOKENS
