"""Chooses the replica for each run from load reports and this node's own runs."""

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

_FIRST_SUSPICION_MS = 2_000
_MAX_SUSPICION_MS = 30_000
_MAX_REPORT_AGE_MS = 3_000
_MAX_AGE_HALF_PERIODS = 5
_REMOTE_DOMAIN_COST_MS = 3.0
_RANDOM_CHOICE_SPREAD_MS = 0.5
_MAX_WEIGHT_EXPONENT = 20.0
_PENDING_EXPIRY_MS = 60_000
_MAX_QUEUEING_DELAYS = 4_096


class _Pending:
    """A run for which a replica was chosen and which has no first token yet."""

    __slots__ = ("chosen_ms", "name", "shape", "uncached_tokens")

    def __init__(
        self, name: str, chosen_ms: int, shape: RunShape, uncached_tokens: float
    ) -> None:
        self.name = name
        self.chosen_ms = chosen_ms
        self.shape = shape
        self.uncached_tokens = uncached_tokens


class Router:
    """Chooses replicas from reports and the results of runs; does no I/O.

    The router estimates the time to the first token for each eligible replica and
    chooses the replica with the lowest estimate. Among replicas within about half a
    millisecond of it the choice is random, so that nodes which have the same reports
    do not all choose the same replica.

    >>> router = Router("a", seed=1)
    >>> router.set_replicas([Candidate("r1", "a", ("m",))])
    >>> router.on_report(0, "r1", LoadReport(0, 0, 0, 9, {"m": "v1"}))
    >>> router.choose(0, RunShape("account", "m", "v1", 100))
    'r1'
    """

    __slots__ = (
        "_candidate_by_name",
        "_outdated",
        "_estimate",
        "_failure_domain",
        "_queueing_delay_ms_by_run",
        "_pending_by_run",
        "_random",
        "affinity",
        "max_report_age_ms",
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
        self.max_report_age_ms = _MAX_REPORT_AGE_MS
        self.version_changes = 0
        self._failure_domain = failure_domain
        self._candidate_by_name: dict[str, Candidate] = {}
        self._pending_by_run: dict[str, _Pending] = {}
        self._outdated: set[str] = set()
        self._queueing_delay_ms_by_run: dict[str, float] = {}
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"Router({self._failure_domain!r}, {len(self._candidate_by_name)})"

    def set_estimate(self, estimate: FirstTokenEstimate) -> None:
        """Replace the estimate of the time to the first token."""
        self._estimate = estimate

    def set_replicas(self, candidates: list[Candidate]) -> None:
        """Set the replicas of a new bundle; those already present keep their state."""
        existing = self._candidate_by_name
        self._candidate_by_name = {
            candidate.name: _merge(existing.get(candidate.name), candidate)
            for candidate in candidates
        }
        names_by_model: dict[str, list[str]] = {}
        for candidate in candidates:
            for model in candidate.models:
                names_by_model.setdefault(model, []).append(candidate.name)
        self.affinity.set_replicas(names_by_model)

    def set_report_period(self, period_ms: int) -> None:
        """Set the time between two reports of a replica.

        The maximum age of a trusted report is 2.5 periods, but at least three
        seconds. If many nodes share the polling, a report may be older than three
        seconds although nothing failed.
        """
        self.max_report_age_ms = max(
            _MAX_REPORT_AGE_MS, _MAX_AGE_HALF_PERIODS * period_ms // 2
        )

    def names(self) -> tuple[str, ...]:
        """Return the names of all replicas."""
        return tuple(self._candidate_by_name)

    def candidate(self, name: str) -> Candidate | None:
        """Return the state of a replica, or None if it does not exist."""
        return self._candidate_by_name.get(name)

    def has_version(self, model: str, version: str) -> bool:
        """Return whether any replica's last report has a version of a model."""
        return any(
            candidate.version_by_model.get(model) == version
            for candidate in self._candidate_by_name.values()
        )

    def on_report(self, now_ms: int, name: str, report: LoadReport) -> None:
        """Store a load report, unless it describes an earlier time than the last.

        A new epoch means that the replica was restarted: its cache is empty, and
        failures of the old process are no reason to suspect the new one.
        """
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        before, versions = candidate.report, candidate.version_by_model
        if not candidate.update_report(now_ms - report.age_ms, report):
            return
        self.version_changes += versions != candidate.version_by_model
        if before is not None and before.epoch != report.epoch:
            self.affinity.record.remove_replica(name)
            candidate.suspect_until_ms = 0
            candidate.failures = 0

    def on_leaving(self, name: str) -> None:
        """Send no more runs to a replica that is leaving.

        The replica list, another node or a rejected run reports it. Only a report
        with a new epoch, sent after a restart, makes the replica eligible again.
        """
        candidate = self._candidate_by_name.get(name)
        if candidate is not None:
            candidate.leaving = True

    def on_start(self, name: str) -> None:
        """Count a run that this node started on a replica."""
        if name in self._candidate_by_name:
            self._candidate_by_name[name].in_flight += 1

    def on_event(self, now_ms: int, name: str, run_id: str, event: EngineEvent) -> None:
        """Update the replica's state from an event of a run that was sent to it."""
        candidate = self._candidate_by_name.get(name)
        if candidate is not None:
            _apply_event(event, self, now_ms, candidate, run_id)

    def on_end(self, now_ms: int, name: str, *, failed: bool) -> None:
        """Count a run as finished; suspect the replica if the run failed."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        if failed:
            self.on_failure(now_ms, name)

    def on_failure(self, now_ms: int, name: str) -> None:
        """Suspect a replica, twice as long after each consecutive failure."""
        candidate = self._candidate_by_name.get(name)
        if candidate is None:
            return
        suspect_ms = min(
            _MAX_SUSPICION_MS, _FIRST_SUSPICION_MS << min(candidate.failures, 8)
        )
        candidate.failures += 1
        candidate.suspect_until_ms = now_ms + suspect_ms

    def choose(
        self, now_ms: int, shape: RunShape, *, without: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the replica for a run, or None if no replica is eligible."""
        eligible = [
            candidate
            for candidate in self._candidate_by_name.values()
            if candidate.name not in without
            and not candidate.leaving
            and candidate.version_by_model.get(shape.model) == shape.version
        ]
        pool = _most_trusted_candidates(now_ms, eligible, self.max_report_age_ms)
        if not pool:
            return None
        chosen = self._pick_replica(now_ms, pool, shape)
        self._record_choice(now_ms, chosen, shape)
        return chosen.name

    def pop_queueing_delay_ms(self, run_id: str) -> float | None:
        """Return and remove the time that a run waited in addition to its prefill.

        The delay is infinite if the replica rejected the run for overload, and None
        if it was not measured.
        """
        return self._queueing_delay_ms_by_run.pop(run_id, None)

    def pop_outdated_replicas(self) -> set[str]:
        """Return and clear the set of replicas whose report proved outdated."""
        outdated, self._outdated = self._outdated, set()
        return outdated

    def prefill_ms(self, shape: RunShape) -> float:
        """Return the typical time to prefill a prompt without any cached tokens."""
        speeds = sorted(
            candidate.ms_per_token
            for candidate in self._candidate_by_name.values()
            if shape.model in candidate.models
        )
        return shape.prompt_tokens * speeds[len(speeds) // 2] if speeds else 0.0

    def _pick_replica(
        self, now_ms: int, pool: list[Candidate], shape: RunShape
    ) -> Candidate:
        costs = [self._cost_ms(now_ms, candidate, shape) for candidate in pool]
        least_ms = min(costs)
        weights = [
            math.exp(
                -min(
                    _MAX_WEIGHT_EXPONENT,
                    (cost_ms - least_ms) / _RANDOM_CHOICE_SPREAD_MS,
                )
            )
            for cost_ms in costs
        ]
        return self._random.choices(pool, weights)[0]

    def _cost_ms(self, now_ms: int, candidate: Candidate, shape: RunShape) -> float:
        remote = candidate.failure_domain != self._failure_domain
        estimate_ms = self._estimate.estimate_ms(now_ms, candidate, shape)
        return estimate_ms + _REMOTE_DOMAIN_COST_MS * remote

    def _record_choice(self, now_ms: int, chosen: Candidate, shape: RunShape) -> None:
        cached = self.affinity.estimate_cached_tokens(shape).get(chosen.name, 0.0)
        uncached_tokens = max(1.0, shape.prompt_tokens - cached)
        self.affinity.record.add(chosen.name, shape.block_keys)
        if shape.run_id:
            self._remove_pending(shape.run_id)
            self._pending_by_run[shape.run_id] = _Pending(
                chosen.name, now_ms, shape, uncached_tokens
            )
            chosen.pending_tokens += uncached_tokens
        self._expire_pending(now_ms)

    def _share_speed(self, measured: Candidate) -> None:
        """Use a measured speed for the similar replicas that have none of their own.

        With the default speed instead, all runs of a pool that is faster than the
        default would go to the first replica that had answered.
        """
        for candidate in self._candidate_by_name.values():
            if not candidate.has_measured_speed and candidate.models == measured.models:
                candidate.ms_per_token = measured.ms_per_token

    def _remove_pending(self, run_id: str) -> _Pending | None:
        """Remove a run and subtract its tokens from its replica's pending tokens."""
        pending = self._pending_by_run.pop(run_id, None)
        candidate = self._candidate_by_name.get(pending.name) if pending else None
        if candidate is not None:
            remaining = candidate.pending_tokens - pending.uncached_tokens
            candidate.pending_tokens = max(0.0, remaining)
        return pending

    def _expire_pending(self, now_ms: int) -> None:
        """Remove runs that are still pending long after their replica was chosen.

        A run may stop after its replica was chosen and before it is started. Its
        tokens would count as pending for ever, and the replica would get no runs.
        """
        for run_id, pending in list(self._pending_by_run.items())[:2]:
            if now_ms - pending.chosen_ms > _PENDING_EXPIRY_MS:
                self._remove_pending(run_id)

    def _revoke_version(self, candidate: Candidate, pending: _Pending | None) -> None:
        """Remove a version that a replica no longer has, contrary to its report.

        Otherwise every run of that version would be sent there and be rejected
        until the next report, and callers would get ``no_upstream`` during a rollout.
        """
        self._outdated.add(candidate.name)
        if pending is not None:
            versions = dict(candidate.version_by_model)
            versions.pop(pending.shape.model, None)
            candidate.version_by_model = versions
            self.version_changes += 1

    def _record_queueing_delay(self, run_id: str, queueing_delay_ms: float) -> None:
        if len(self._queueing_delay_ms_by_run) >= _MAX_QUEUEING_DELAYS:
            self._queueing_delay_ms_by_run.pop(
                next(iter(self._queueing_delay_ms_by_run))
            )
        self._queueing_delay_ms_by_run[run_id] = queueing_delay_ms


def _merge(existing: Candidate | None, configured: Candidate) -> Candidate:
    """Apply the new bundle's settings to the state of an existing replica."""
    if existing is None:
        return configured
    existing.failure_domain = configured.failure_domain
    existing.models = configured.models
    return existing


def _most_trusted_candidates(
    now_ms: int, eligible: list[Candidate], max_report_age_ms: int
) -> list[Candidate]:
    """Return the replicas with recent reports that are not suspected.

    If there are none, the function returns the suspected replicas with recent
    reports, or else all. A replica without a recent report may have left without
    this node having been informed, so it gets runs only if there is no other.
    """
    fresh = [
        candidate
        for candidate in eligible
        if candidate.report_age_ms(now_ms) <= max_report_age_ms
    ]
    unsuspected = [item for item in fresh if item.suspect_until_ms <= now_ms]
    if unsuspected:
        return unsuspected
    return fresh or eligible


@singledispatch
def _apply_event(
    event: EngineEvent, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Ignore events that carry no information about a replica's load."""


@_apply_event.register
def _(
    event: Accepted, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Replace the estimate of the cached tokens by the replica's own number."""
    candidate.failures = 0
    pending = router._pending_by_run.get(run_id)
    if pending is None or pending.name != candidate.name:
        return
    router.affinity.on_cached_tokens(candidate.name, pending.shape, event.cached_tokens)
    uncached_tokens = max(1.0, pending.shape.prompt_tokens - event.cached_tokens)
    candidate.pending_tokens += uncached_tokens - pending.uncached_tokens
    pending.uncached_tokens = uncached_tokens


@_apply_event.register
def _(
    event: Piece, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Update the prefill speed from a first token."""
    if run_id not in router._pending_by_run:
        return
    pending = router._remove_pending(run_id)
    if pending.name == candidate.name and not event.offset:
        elapsed_ms = now_ms - pending.chosen_ms
        candidate.update_speed(elapsed_ms, pending.uncached_tokens)
        prefill_only_ms = pending.uncached_tokens * candidate.ms_per_token
        router._record_queueing_delay(run_id, elapsed_ms - prefill_only_ms)
        router._share_speed(candidate)


@_apply_event.register(Finished)
@_apply_event.register(Broken)
def _(
    event: Finished | Broken,
    router: Router,
    now_ms: int,
    candidate: Candidate,
    run_id: str,
) -> None:
    router._remove_pending(run_id)


@_apply_event.register
def _(
    event: Refused, router: Router, now_ms: int, candidate: Candidate, run_id: str
) -> None:
    """Apply a rejection at once instead of waiting for the next report."""
    pending = router._remove_pending(run_id)
    if event.reason is Reason.UNKNOWN_MODEL:
        router._revoke_version(candidate, pending)
    if event.reason is Reason.STOPPING:
        candidate.leaving = True
    elif event.reason is Reason.OVERLOADED:
        router.on_failure(now_ms, candidate.name)
        router._record_queueing_delay(run_id, math.inf)
