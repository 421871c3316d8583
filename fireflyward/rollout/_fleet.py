"""The states of the replicas as the driver reads them from the replicas themselves."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from fireflyward.upstreams import Broken, EngineState

from ._limits import RolloutLimits


@dataclass(slots=True)
class _ReplicaRecord:
    state: EngineState | None
    requested_ms: int
    answered_ms: int = -1


class Fleet:
    """The last state of each replica, and the schedule for reading the states.

    A replica that does not answer has no state: until it answers again, it counts
    neither as capacity nor as a replica to load.
    """

    __slots__ = ("_limits", "_record_by_replica")

    def __init__(self, limits: RolloutLimits) -> None:
        self._limits = limits
        self._record_by_replica: dict[str, _ReplicaRecord] = {}

    def __repr__(self) -> str:
        return f"Fleet({len(self._record_by_replica)})"

    def due(
        self, now_ms: int, names: Iterable[str], claimed: Collection[str]
    ) -> list[str]:
        """Return the replicas to read now, loading ones first, and record the reads."""
        waiting = [name for name in names if self._is_due(now_ms, name, claimed)]
        waiting.sort(
            key=lambda name: (name not in claimed, self._last_request_ms(name))
        )
        requested = waiting[: self._limits.reads_at_once]
        for name in requested:
            record = self._record_by_replica.setdefault(
                name, _ReplicaRecord(None, now_ms)
            )
            record.requested_ms = now_ms
        return requested

    def on_state(self, now_ms: int, name: str, result: EngineState | Broken) -> None:
        """Record a replica's answer."""
        record = self._record_by_replica.setdefault(name, _ReplicaRecord(None, now_ms))
        record.state = None if isinstance(result, Broken) else result
        record.answered_ms = now_ms

    def state_of(self, name: str) -> EngineState | None:
        """Return the last state of a replica, or None if it did not answer."""
        record = self._record_by_replica.get(name)
        return record.state if record else None

    def requested_since(self, name: str, since_ms: int) -> bool:
        """Return whether the last state was requested after ``since_ms``."""
        record = self._record_by_replica.get(name)
        return (
            record is not None
            and record.state is not None
            and record.requested_ms > since_ms
        )

    def is_complete(self, names: Iterable[str]) -> bool:
        """Return whether every replica has answered or failed at least once."""
        return all(
            name in self._record_by_replica
            and self._record_by_replica[name].answered_ms >= 0
            for name in names
        )

    def counts(
        self, model: str, names: Iterable[str], without: Collection[str]
    ) -> Counter[str]:
        """Return how many replicas confirm each version of a model."""
        versions: Counter[str] = Counter()
        for name in names:
            state = self.state_of(name)
            if state is None or name in without or model in state.loading:
                continue
            if model in state.version_by_model:
                versions[state.version_by_model[model]] += 1
        return versions

    def _last_request_ms(self, name: str) -> int:
        record = self._record_by_replica.get(name)
        return record.requested_ms if record else -1

    def _is_due(self, now_ms: int, name: str, claimed: Collection[str]) -> bool:
        record = self._record_by_replica.get(name)
        if record is None:
            return True
        limits = self._limits
        period_ms = limits.poll_ms if name in claimed else limits.sweep_ms
        return now_ms - record.requested_ms >= period_ms
