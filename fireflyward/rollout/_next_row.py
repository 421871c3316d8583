"""The row that follows from a bundle, the row before and the replicas' states."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._fleet import Fleet
from ._health import Health, worse
from ._limits import RolloutLimits
from ._plan import Plan, Target
from ._progress import Progress, Verdict
from ._row import LoadClaim, Phase, RolloutRow, VersionShare
from ._shares import shares_of
from ._steps import RolloutStep

_NAMES_SHOWN = 10


@dataclass(frozen=True, slots=True)
class Observed:
    """Everything that the next row depends on."""

    row: RolloutRow
    plan: Plan
    fleet: Fleet
    limits: RolloutLimits
    progress_by_order: Mapping[str, Progress]
    verdict_by_order: Mapping[str, Verdict]
    untouched_by_order: Mapping[str, bool]
    health_by_version: Mapping[tuple[str, str], Health]
    is_watching: bool
    next_version: int
    is_status_due: bool

    @property
    def is_superseded(self) -> bool:
        return self.plan.bundle_number > self.row.bundle_number

    @property
    def is_own_bundle(self) -> bool:
        return self.plan.bundle_number == self.row.bundle_number


@dataclass(frozen=True, slots=True)
class _Hold:
    """Why nothing new begins, and what an operator can do."""

    because: str
    next_step: str


def next_row(seen: Observed) -> tuple[RolloutRow, RolloutStep] | None:
    """Return the next row and the step of writing it; None if nothing is due."""
    claims = _claims_left(seen)
    if seen.is_superseded:
        return _superseding_row(seen, claims)
    hold = _hold(seen)
    row = seen.row.changed(claims=claims)
    if hold and row.phase != Phase.HELD:
        row = row.changed(
            phase=Phase.HELD, held_because=hold.because, next_step=hold.next_step
        )
    elif seen.is_own_bundle and row.phase != Phase.HELD:
        row = _going_on(seen, row)
    return _step_of(seen, _with_status(seen, row))


def _superseding_row(
    seen: Observed, claims: tuple[LoadClaim, ...]
) -> tuple[RolloutRow, RolloutStep] | None:
    """Begin the newer bundle once no load of the older one can go on.

    That is the safe point: each replica is wholly what one of the bundles says,
    so the two rollouts never have a replica between them. A claim whose replica
    is out of reach stays and goes on counting against the loads at once.
    """
    verdicts = seen.verdict_by_order
    if any(verdicts[claim.order_id] is not Verdict.STUCK for claim in claims):
        return _step_of(seen, seen.row.changed(claims=claims))
    if not seen.fleet.is_complete(seen.plan.target_by_replica):
        return _step_of(seen, seen.row.changed(claims=claims))
    row = seen.row.changed(
        bundle_number=seen.plan.bundle_number,
        claims=claims,
        held_because="",
        next_step="",
    )
    phase = Phase.RUNNING if claims or _lagging(seen, claims) else Phase.DONE
    row = row.changed(phase=phase, shares_by_model=_shares(seen, row))
    return _with_status(seen, row), RolloutStep.BEGIN_SENT


def _claims_left(seen: Observed) -> tuple[LoadClaim, ...]:
    halting = seen.is_superseded or seen.row.phase == Phase.HELD
    return tuple(
        claim for claim in seen.row.claims if not _is_over(seen, claim, halting)
    )


def _is_over(seen: Observed, claim: LoadClaim, halting: bool) -> bool:
    verdict = seen.verdict_by_order[claim.order_id]
    if verdict in (Verdict.CONFIRMED, Verdict.FAILED):
        return True
    if halting and seen.untouched_by_order[claim.order_id]:
        return True
    is_dropped = claim.replica not in seen.plan.target_by_replica
    return verdict is Verdict.STUCK and is_dropped and not seen.is_superseded


def _going_on(seen: Observed, row: RolloutRow) -> RolloutRow:
    """Claim what may load next; done is when nothing differs any more."""
    if not seen.fleet.is_complete(seen.plan.target_by_replica):
        return row
    lagging = _lagging(seen, row.claims)
    if not seen.is_watching:
        row = row.changed(claims=row.claims + _new_claims(seen, row.claims, lagging))
    phase = Phase.RUNNING if row.claims or lagging else Phase.DONE
    return row.changed(phase=phase, shares_by_model=_shares(seen, row))


def _lagging(seen: Observed, claims: tuple[LoadClaim, ...]) -> list[str]:
    """Return the replicas that answer and are not what the bundle says."""
    claimed = {claim.replica for claim in claims}
    names = []
    for name, target in seen.plan.target_by_replica.items():
        state = seen.fleet.state_of(name)
        if state and name not in claimed and not target.is_met_by(state):
            names.append(name)
    return names


def _new_claims(
    seen: Observed, claims: tuple[LoadClaim, ...], lagging: list[str]
) -> tuple[LoadClaim, ...]:
    claimed = {claim.replica for claim in claims}
    loading = {name for name in lagging if seen.fleet.state_of(name).loading}
    slots = seen.limits.loads_at_once - len(claims) - len(loading)
    new: list[LoadClaim] = []
    for name in lagging:
        if len(new) >= slots:
            break
        busy = claimed | loading | {claim.replica for claim in new}
        if name not in busy and _keeps_floor(seen, name, busy):
            new.append(_claim(seen, name))
    return tuple(new)


def _keeps_floor(seen: Observed, name: str, busy: set[str]) -> bool:
    """Tell whether every model keeps enough replicas while this one loads."""
    serves = seen.fleet.state_of(name).version_by_model
    target = seen.plan.target_by_replica[name]
    changes = target.changes_from(seen.fleet.state_of(name))
    return all(
        _serving(seen, model, busy | {name})
        >= seen.limits.floor_of(_replicas(seen, model))
        for model in changes
        if model in serves and model in target.version_by_model
    )


def _serving(seen: Observed, model: str, without: set[str]) -> int:
    names = seen.plan.target_by_replica
    return seen.fleet.counts(model, names, without).total()


def _replicas(seen: Observed, model: str) -> int:
    targets = seen.plan.target_by_replica.values()
    return sum(model in target.version_by_model for target in targets)


def _claim(seen: Observed, name: str) -> LoadClaim:
    target: Target = seen.plan.target_by_replica[name]
    return LoadClaim(
        name,
        seen.plan.bundle_number,
        f"{seen.plan.bundle_number}.{seen.next_version}.{name}",
        target.version_by_model,
        target.adapters,
        target.role,
        target.changes_from(seen.fleet.state_of(name)),
    )


def _shares(seen: Observed, row: RolloutRow) -> dict[str, tuple[VersionShare, ...]]:
    names = seen.plan.target_by_replica
    without = {claim.replica for claim in row.claims}
    return {
        model: shares_of(
            wanted,
            row.shares_by_model.get(model, ()),
            seen.fleet.counts(model, names, without),
        )
        for model, wanted in seen.plan.versions_by_model.items()
    }


def _hold(seen: Observed) -> _Hold | None:
    for order_id, verdict in seen.verdict_by_order.items():
        progress = seen.progress_by_order[order_id]
        if progress.claim.bundle_number != seen.row.bundle_number:
            continue
        if verdict is Verdict.FAILED:
            return _replica_hold(seen, progress, _failure(seen, progress))
        if verdict is Verdict.STUCK:
            limit_s = seen.limits.load_limit_ms // 1_000
            detail = f"did not confirm its load within {limit_s} s"
            return _replica_hold(seen, progress, detail)
    return _worse_hold(seen)


def _failure(seen: Observed, progress: Progress) -> str:
    state = seen.fleet.state_of(progress.claim.replica)
    if progress.refusal:
        return progress.refusal
    return state.failed if state and state.failed else "did not take its order"


def _replica_hold(seen: Observed, progress: Progress, detail: str) -> _Hold:
    name = progress.claim.replica
    after = seen.row.bundle_number + 1
    return _Hold(
        f"{name}: {detail}",
        f"Look at {name}. Then submit bundle {after}: without {name} to go on with "
        "the others, or with the weight versions from before to go back.",
    )


def _worse_hold(seen: Observed) -> _Hold | None:
    for model, shares in seen.row.shares_by_model.items():
        if len(shares) < 2:
            continue
        new = seen.health_by_version.get((model, shares[0].version), Health())
        old = _sum_of(
            seen.health_by_version.get((model, share.version), Health())
            for share in shares[1:]
        )
        how = worse(new, old)
        if how:
            return _Hold(
                f"{model} {shares[0].version} answers worse: {how}",
                f"{shares[0].version} gets no more than its {shares[0].up_to}% of "
                f"new requests. Submit bundle {seen.row.bundle_number + 1}: with "
                f"{model} at {shares[1].version} to go back, or with "
                f"{shares[0].version} again to go on all the same.",
            )
    return None


def _sum_of(healths) -> Health:
    total = Health()
    for health in healths:
        total.runs += health.runs
        total.failures += health.failures
        total.first_token_ms += health.first_token_ms
        total.computed_tokens += health.computed_tokens
    return total


def _with_status(seen: Observed, row: RolloutRow) -> RolloutRow:
    states = {name: seen.fleet.state_of(name) for name in seen.plan.target_by_replica}
    met = sum(
        state is not None and seen.plan.target_by_replica[name].is_met_by(state)
        for name, state in states.items()
    )
    away = sorted(name for name, state in states.items() if state is None)
    if not seen.is_own_bundle and not seen.is_superseded:
        return row
    return row.changed(
        confirmed=met, total=len(states), unreachable=tuple(away[:_NAMES_SHOWN])
    )


def _step_of(seen: Observed, row: RolloutRow) -> tuple[RolloutRow, RolloutStep] | None:
    """Return the row with its step, unless only figures changed a moment ago."""
    before = seen.row
    if row == before:
        return None
    if row.phase != before.phase and row.phase == Phase.HELD:
        return row, RolloutStep.HOLD_SENT
    if row.phase != before.phase and row.phase == Phase.DONE:
        return row, RolloutStep.FINISH_SENT
    if any(claim not in before.claims for claim in row.claims):
        return row, RolloutStep.CLAIM_SENT
    is_urgent = row.claims != before.claims or row.phase != before.phase
    if is_urgent or seen.is_status_due:
        return row, RolloutStep.ADVANCE_SENT
    return None
