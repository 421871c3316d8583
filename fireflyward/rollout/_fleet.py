"""What the driver knows of the replicas, from their own answers only."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from fireflyward.upstreams import Broken, EngineState

from ._limits import RolloutLimits


@dataclass(slots=True)
class _Seen:
    state: EngineState | None
    asked_ms: int
    answered_ms: int = -1


class Fleet:
    """The last state of each replica, and whose turn it is to be asked.

    A replica that does not answer has no state: it is neither capacity nor
    something to load, until it answers again.
    """

    __slots__ = ("_limits", "_seen_by_replica")

    def __init__(self, limits: RolloutLimits) -> None:
        self._limits = limits
        self._seen_by_replica: dict[str, _Seen] = {}

    def __repr__(self) -> str:
        return f"Fleet({len(self._seen_by_replica)})"

    def due(
        self, now_ms: int, names: Iterable[str], claimed: Collection[str]
    ) -> list[str]:
        """Return whom to ask now, those that load first, and note the asking."""
        waiting = [name for name in names if self._is_due(now_ms, name, claimed)]
        waiting.sort(key=lambda name: (name not in claimed, self._asked_ms(name)))
        asked = waiting[: self._limits.reads_at_once]
        for name in asked:
            seen = self._seen_by_replica.setdefault(name, _Seen(None, now_ms))
            seen.asked_ms = now_ms
        return asked

    def on_state(self, now_ms: int, name: str, result: EngineState | Broken) -> None:
        """Take a replica's answer."""
        seen = self._seen_by_replica.setdefault(name, _Seen(None, now_ms))
        seen.state = None if isinstance(result, Broken) else result
        seen.answered_ms = now_ms

    def state_of(self, name: str) -> EngineState | None:
        """Return what a replica said last, or None if it did not answer."""
        seen = self._seen_by_replica.get(name)
        return seen.state if seen else None

    def asked_since(self, name: str, since_ms: int) -> bool:
        """Tell whether the state that is known was asked for after ``since_ms``."""
        seen = self._seen_by_replica.get(name)
        return seen is not None and seen.state is not None and seen.asked_ms > since_ms

    def is_complete(self, names: Iterable[str]) -> bool:
        """Tell whether every replica answered, or failed to, at least once."""
        return all(
            name in self._seen_by_replica
            and self._seen_by_replica[name].answered_ms >= 0
            for name in names
        )

    def counts(
        self, model: str, names: Iterable[str], without: Collection[str]
    ) -> Counter[str]:
        """Count the replicas that confirm each version of a model."""
        versions: Counter[str] = Counter()
        for name in names:
            state = self.state_of(name)
            if state is None or name in without or model in state.loading:
                continue
            if model in state.version_by_model:
                versions[state.version_by_model[model]] += 1
        return versions

    def _asked_ms(self, name: str) -> int:
        seen = self._seen_by_replica.get(name)
        return seen.asked_ms if seen else -1

    def _is_due(self, now_ms: int, name: str, claimed: Collection[str]) -> bool:
        seen = self._seen_by_replica.get(name)
        if seen is None:
            return True
        limits = self._limits
        period_ms = limits.poll_ms if name in claimed else limits.sweep_ms
        return now_ms - seen.asked_ms >= period_ms
