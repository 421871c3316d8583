"""The choice of a replica from what is known and how old it is."""

import math
import random
from functools import singledispatch

from fireflyward.outcomes import Reason
from fireflyward.upstreams import (
    Accepted,
    Broken,
    EngineEvent,
    Finished,
    LoadReport,
    Piece,
    Refused,
)

from ._affinity import PrefixAffinity
from ._candidate import Candidate, RunShape
from ._estimate import FirstTokenEstimate, QueueEstimate

_SUSPECT_MS = 2_000
_MOST_SUSPECT_MS = 30_000
_REPORT_LIMIT_MS = 3_000
_MISSED_PERIODS = 5
_REMOTE_DOMAIN_MS = 3.0
_SPREAD_MS = 0.5
_NEGLIGIBLE = 20.0
_PENDING_LIMIT_MS = 60_000
_REMEMBERED_LATE = 4_096


class _Pending:
    """A run between its choice and its first token."""

    __slots__ = ("chosen_ms", "name", "shape", "to_compute")

    def __init__(
        self, name: str, chosen_ms: int, shape: RunShape, to_compute: float
    ) -> None:
        self.name = name
        self.chosen_ms = chosen_ms
        self.shape = shape
        self.to_compute = to_compute


class Router:
    """Decides without I/O: reports and results go in, choices come out.

    Each able replica has an estimated time to the first token. The least is taken,
    and of those within about half a millisecond one at random, so that nodes which see
    the same do not all choose alike.

    >>> router = Router("a", seed=1)
    >>> router.set_replicas([Candidate("r1", "a", ("m",))])
    >>> router.on_report(0, "r1", LoadReport(0, 0, 0, 9, {"m": "v1"}))
    >>> router.choose(0, RunShape("account", "m", "v1", 100))
    'r1'
    """

    __slots__ = (
        "_candidate_by_name",
        "_doubted",
        "_estimate",
        "_failure_domain",
        "_late_by_run",
        "_pending_by_run",
        "_random",
        "affinity",
        "report_limit_ms",
        "version_changes",
    )

    def __init__(
        self,
        failure_domain: str,
        *,
        seed: int | None = None,
        estimate: FirstTokenEstimate | None = None,
        affinity: PrefixAffinity | None = None,
    ) -> None:
        self.affinity = affinity or PrefixAffinity()
        self._estimate = estimate or QueueEstimate(self.affinity)
        self.report_limit_ms = _REPORT_LIMIT_MS
        self.version_changes = 0
        self._failure_domain = failure_domain
        self._candidate_by_name: dict[str, Candidate] = {}
        self._pending_by_run: dict[str, _Pending] = {}
        self._doubted: set[str] = set()
        self._late_by_run: dict[str, float] = {}
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"Router({self._failure_domain!r}, {len(self._candidate_by_name)})"

    def set_estimate(self, estimate: FirstTokenEstimate) -> None:
        """Estimate by another rule from now on."""
        self._estimate = estimate

    def set_replicas(self, candidates: list[Candidate]) -> None:
        """Take the replicas of a new bundle, keeping what is known of old ones."""
        known = self._candidate_by_name
        self._candidate_by_name = {
            candidate.name: _merged(known.get(candidate.name), candidate)
            for candidate in candidates
        }
        names_by_model: dict[str, list[str]] = {}
        for candidate in candidates:
            for model in candidate.models:
                names_by_model.setdefault(model, []).append(candidate.name)
        self.affinity.set_names(names_by_model)

    def set_report_period(self, period_ms: int) -> None:
        """Take the time between two reports of a replica.

        Where many nodes share the polling, a report may be older than three
        seconds without anything being wrong.
        """
        self.report_limit_ms = max(_REPORT_LIMIT_MS, _MISSED_PERIODS * period_ms // 2)

    def names(self) -> tuple[str, ...]:
        """Return the names of all replicas."""
        return tuple(self._candidate_by_name)

    def candidate(self, name: str) -> Candidate | None:
        """Return what is known of a replica."""
        return self._candidate_by_name.get(name)

    def has_version(self, model: str, version: str) -> bool:
        """Tell whether some replica is known to have a version of a model."""
        return any(
            candidate.version_by_model.get(model) == version
            for candidate in self._candidate_by_name.values()
        )

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None:
        """Take a load report; one that describes an earlier time is dropped.

        A new epoch means that the replica was restarted: its cache is empty, and
        what was suspected of the old process says nothing of the new one.
        """
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        before, versions = candidate.report, candidate.version_by_model
        if not candidate.take_report(now_ms - report.age_ms, report):
            return
        self.version_changes += versions != candidate.version_by_model
        if before is not None and before.epoch != report.epoch:
            self.affinity.record.forget(name)
            candidate.suspect_until_ms = 0
            candidate.failures = 0

    def on_leaving(self, name: str) -> None:
        """Give a replica nothing new: the list, a peer or a refusal says so.

        Only a report under a new epoch, after its restart, takes this back.
        """
        candidate = self._candidate_by_name.get(name)
        if candidate is not None:
            candidate.leaving = True

    def on_start(self, name: str) -> None:
        """Count a run that this node put on a replica."""
        if name in self._candidate_by_name:
            self._candidate_by_name[name].in_flight += 1

    def on_event(self, now_ms: int, name: str, run_id: str, event: EngineEvent) -> None:
        """Learn from what a replica answers to a run that was chosen for it."""
        candidate = self._candidate_by_name.get(name)
        if candidate is not None:
            _learn(event, self, now_ms, candidate, run_id)

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None:
        """Count a run off a replica, suspecting the replica if it failed."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        if failed:
            self.on_failure(now_ms, name)

    def on_failure(self, now_ms: int, name: str) -> None:
        """Suspect a replica, for twice as long with each failure in a row."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        suspect_ms = min(_MOST_SUSPECT_MS, _SUSPECT_MS << min(candidate.failures, 8))
        candidate.failures += 1
        candidate.suspect_until_ms = now_ms + suspect_ms

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
        pool = _most_trusted(now_ms, able, self.report_limit_ms)
        if not pool:
            return None
        chosen = self._draw(now_ms, pool, shape)
        self._note_choice(now_ms, chosen, shape)
        return chosen.name

    def pop_queueing_delay_ms(self, run_id: str) -> float | None:
        """Return by how much a run's first token came later than its prefill alone.

        It is infinite after a refusal for overload, None when nothing is known.
        """
        return self._late_by_run.pop(run_id, None)

    def pop_outdated_replicas(self) -> set[str]:
        """Return the replicas whose report proved wrong since the last call."""
        doubted, self._doubted = self._doubted, set()
        return doubted

    def prefill_ms(self, shape: RunShape) -> float:
        """Return the usual time to prefill a prompt of which nothing is cached."""
        speeds = sorted(
            candidate.ms_per_token
            for candidate in self._candidate_by_name.values()
            if shape.model in candidate.models
        )
        return shape.prompt_tokens * speeds[len(speeds) // 2] if speeds else 0.0

    def _draw(self, now_ms: int, pool: list[Candidate], shape: RunShape) -> Candidate:
        costs = [self._cost_ms(now_ms, candidate, shape) for candidate in pool]
        least_ms = min(costs)
        weights = [
            math.exp(-min(_NEGLIGIBLE, (cost_ms - least_ms) / _SPREAD_MS))
            for cost_ms in costs
        ]
        return self._random.choices(pool, weights)[0]

    def _cost_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        remote = candidate.failure_domain != self._failure_domain
        estimate_ms = self._estimate.estimate_ms(now_ms, candidate, shape)
        return estimate_ms + _REMOTE_DOMAIN_MS * remote

    def _note_choice(self, now_ms: int, chosen: Candidate, shape: RunShape) -> None:
        cached = self.affinity.expected_tokens(shape).get(chosen.name, 0.0)
        to_compute = max(1.0, shape.prompt_tokens - cached)
        self.affinity.record.add(chosen.name, shape.block_keys)
        if shape.run_id:
            self._settle(shape.run_id)
            self._pending_by_run[shape.run_id] = _Pending(
                chosen.name, now_ms, shape, to_compute
            )
            chosen.pending_tokens += to_compute
        self._settle_forgotten(now_ms)

    def _lend_speed(self, learnt: Candidate) -> None:
        """Take a replica that has answered nothing yet for as fast as this one.

        With the default instead, a pool faster than that would keep to the first
        replica that answered.
        """
        for candidate in self._candidate_by_name.values():
            if not candidate.has_learnt_speed and candidate.models == learnt.models:
                candidate.ms_per_token = learnt.ms_per_token

    def _settle(self, run_id: str) -> _Pending | None:
        """Take a run off what its replica still has to compute."""
        pending = self._pending_by_run.pop(run_id, None)
        candidate = self._candidate_by_name.get(pending.name) if pending else None
        if candidate is not None:
            left = candidate.pending_tokens - pending.to_compute
            candidate.pending_tokens = max(0.0, left)
        return pending

    def _settle_forgotten(self, now_ms: int) -> None:
        """Settle runs that were chosen for but of which nothing was heard again.

        A run may end between its choice and its start. Its tokens would burden the
        replica for ever, seen as a replica that gets no work; so they expire.
        """
        for run_id, pending in list(self._pending_by_run.items())[:2]:
            if now_ms - pending.chosen_ms > _PENDING_LIMIT_MS:
                self._settle(run_id)

    def _doubt(self, candidate: Candidate, pending: _Pending | None) -> None:
        """Take a version back that a replica turns out not to have any more.

        Until its next report comes, every run of that version would go there and
        be refused, seen as ``no_upstream`` while a rollout goes on.
        """
        self._doubted.add(candidate.name)
        if pending is not None:
            versions = dict(candidate.version_by_model)
            versions.pop(pending.shape.model, None)
            candidate.version_by_model = versions
            self.version_changes += 1

    def _note_late(self, run_id: str, late_ms: float) -> None:
        if len(self._late_by_run) >= _REMEMBERED_LATE:
            self._late_by_run.pop(next(iter(self._late_by_run)))
        self._late_by_run[run_id] = late_ms


def _merged(known: Candidate | None, wanted: Candidate) -> Candidate:
    """Keep what is known of a replica under what the new bundle says of it."""
    if known is None:
        return wanted
    known.failure_domain = wanted.failure_domain
    known.models = wanted.models
    return known


def _most_trusted(
    now_ms: int, able: list[Candidate], report_limit_ms: int
) -> list[Candidate]:
    """Return the replicas to choose from, the less trusted only if need be.

    A replica without a report for so long may be leaving or gone without
    this node having heard of it, so it gets new work only when no other is left.
    """
    fresh = [
        candidate
        for candidate in able
        if candidate.report_age_ms(now_ms) <= report_limit_ms
    ]
    unsuspected = [item for item in fresh if item.suspect_until_ms <= now_ms]
    if unsuspected:
        return unsuspected
    return fresh or able


@singledispatch
def _learn(
    event: EngineEvent, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Learn nothing from events that say nothing of a replica's load."""


@_learn.register
def _(
    event: Accepted, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Correct the guess at what was cached by the replica's own word."""
    candidate.failures = 0
    pending = router._pending_by_run.get(run_id)
    if pending is None or pending.name != candidate.name:
        return
    router.affinity.on_cached(candidate.name, pending.shape, event.cached_tokens)
    to_compute = max(1.0, pending.shape.prompt_tokens - event.cached_tokens)
    candidate.pending_tokens += to_compute - pending.to_compute
    pending.to_compute = to_compute


@_learn.register
def _(
    event: Piece, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Learn the prefill speed from a first token."""
    if run_id not in router._pending_by_run:
        return
    pending = router._settle(run_id)
    if pending.name == candidate.name and not event.offset:
        elapsed_ms = now_ms - pending.chosen_ms
        candidate.learn_speed(elapsed_ms, pending.to_compute)
        alone_ms = pending.to_compute * candidate.ms_per_token
        router._note_late(run_id, elapsed_ms - alone_ms)
        router._lend_speed(candidate)


@_learn.register(Finished)
@_learn.register(Broken)
def _(
    event: Finished | Broken,
    router: Router,
    now_ms: int,
    candidate: Candidate,
    run_id: str,
) -> None:
    router._settle(run_id)


@_learn.register
def _(
    event: Refused, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Act on a refusal at once, since the next report is still to come."""
    pending = router._settle(run_id)
    if event.reason is Reason.UNKNOWN_MODEL:
        router._doubt(candidate, pending)
    if event.reason is Reason.STOPPING:
        candidate.leaving = True
    elif event.reason is Reason.OVERLOADED:
        router.on_failure(now_ms, candidate.name)
        router._note_late(run_id, math.inf)
