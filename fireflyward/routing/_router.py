"""What a node knows of the replicas, and the choice it makes from that."""

import random
from dataclasses import dataclass, field

from fireflyward.upstreams import LoadReport

_REMOTE_DOMAIN_COST = 1.0
_SUSPECT_MS = 2_000


@dataclass(frozen=True, slots=True)
class RunShape:
    """What routing needs to know of a run."""

    account: str
    model: str
    version: str
    prompt_tokens: int
    block_keys: tuple[str, ...] = ()


@dataclass(slots=True)
class Candidate:
    """One replica as this node knows it."""

    name: str
    failure_domain: str
    models: tuple[str, ...]
    version_by_model: dict[str, str] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_at_ms: int = 0
    in_flight: int = 0
    leaving: bool = False
    suspect_until_ms: int = 0


class Router:
    """Decides without I/O: reports and results go in, choices come out.

    Among the replicas that confirmed the version, two are drawn at random and
    the less loaded is taken; many nodes deciding on one stale report then do not
    all choose the same replica.
    """

    __slots__ = ("_candidate_by_name", "_failure_domain", "_random")

    def __init__(self, failure_domain: str, *, seed: int | None = None) -> None:
        self._failure_domain = failure_domain
        self._candidate_by_name: dict[str, Candidate] = {}
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"Router({self._failure_domain!r}, {len(self._candidate_by_name)})"

    def set_replicas(self, candidates: list[Candidate]) -> None:
        """Take the replicas of a new bundle, keeping what is known of old ones."""
        known = self._candidate_by_name
        self._candidate_by_name = {
            candidate.name: known.get(candidate.name, candidate)
            for candidate in candidates
        }

    def names(self) -> tuple[str, ...]:
        """Return the names of all replicas."""
        return tuple(self._candidate_by_name)

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None:
        """Take a load report; a later one replaces an earlier one."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        candidate.report = report
        candidate.reported_at_ms = now_ms - report.age_ms
        candidate.version_by_model = report.version_by_model
        candidate.leaving = report.leaving

    def on_start(self, name: str) -> None:
        """Count a run that this node put on a replica."""
        if name in self._candidate_by_name:
            self._candidate_by_name[name].in_flight += 1

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None:
        """Count a run off a replica, suspecting the replica if it failed."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        if failed:
            candidate.suspect_until_ms = now_ms + _SUSPECT_MS

    def choose(
        self, now_ms: int, shape: RunShape, *, without: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the replica for a run, or None if none can take it."""
        able = [
            candidate
            for candidate in self._candidate_by_name.values()
            if candidate.name not in without
            and not candidate.leaving
            and candidate.version_by_model.get(shape.model) == shape.version
        ]
        trusted = [item for item in able if item.suspect_until_ms <= now_ms]
        pool = trusted or able
        if not pool:
            return None
        pair = self._random.sample(pool, min(2, len(pool)))
        return min(pair, key=self._cost).name

    def _cost(self, candidate: Candidate) -> float:
        reported = 0
        if candidate.report:
            reported = candidate.report.queued + candidate.report.running
        remote = candidate.failure_domain != self._failure_domain
        return max(reported, candidate.in_flight) + _REMOTE_DOMAIN_COST * remote
