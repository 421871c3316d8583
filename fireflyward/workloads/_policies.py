"""The policies for choosing a replica that the replay compares."""

import enum
import random
from typing import Protocol

from fireflyward.placement import Placement
from fireflyward.routing import Candidate, Router, RunShape


class Policy(enum.StrEnum):
    """The compared policies.

    ``OURS`` is the daemon's routing with stores. ``AFFINITY`` is the same router
    without stores and without estimates of the time to first token. ``BOUND`` is a
    lower bound for recomputation: it chooses as ``LEAST_LOADED``, but caches are
    unlimited, and every block that any replica has computed is available to all
    replicas at no cost.
    """

    ROUND_ROBIN = "round-robin"
    LEAST_LOADED = "least-loaded"
    AFFINITY = "affinity"
    OURS = "ours"
    BOUND = "bound"


class Chooser(Protocol):
    """The interface through which a node of the replay chooses a replica."""

    def choose(self, now_ms: int, shape: RunShape) -> str | None: ...


class RoundRobin:
    """Each node chooses the replicas in turn, without regard to load or caches."""

    __slots__ = ("_names", "_next")

    def __init__(self, names: tuple[str, ...], seed: int) -> None:
        self._names = names
        self._next = seed

    def choose(self, now_ms: int, shape: RunShape) -> str | None:
        self._next += 1
        return self._names[self._next % len(self._names)]


class LeastLoaded:
    """Chooses the replica with the shortest prefill queue, then the fewest runs.

    It uses the same load reports as our policy. Ties are broken at random.
    """

    __slots__ = ("_placement", "_random", "_router")

    def __init__(self, router: Router, placement: Placement, seed: int) -> None:
        self._router = router
        self._placement = placement
        self._random = random.Random(seed)

    def choose(self, now_ms: int, shape: RunShape) -> str | None:
        candidates = [self._router.candidate(name) for name in self._router.names()]
        chosen = min(candidates, key=lambda item: self._load(now_ms, item))
        return chosen.name

    def _load(self, now_ms: int, candidate: Candidate) -> tuple[float, int, float]:
        report = candidate.report
        runs = report.queued + report.running if report else 0
        runs = max(runs, candidate.in_flight)
        queue_ms = self._placement.queue_ms(now_ms, candidate)
        return queue_ms, runs, self._random.random()
