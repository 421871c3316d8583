"""Computes the next row from the bundle, the current row and the replicas' states."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._fleet import Fleet
from ._health import Health, regression
from ._limits import RolloutLimits
from ._plan import Plan, Target
from ._progress import Progress, Verdict
from ._row import LoadClaim, Phase, RolloutRow, VersionShare
from ._shares import shares_of
from ._steps import RolloutStep

_NAMES_SHOWN = 10


@dataclass(frozen=True, slots=True)
class RolloutSnapshot:
    """All inputs from which the next row is computed.

    ``is_fenced`` says that no replica that answers would still execute an order of an
    earlier driver. ``has_lost_order`` says that an order of this driver may still
    arrive although it is not expected any more.
    """

    row: RolloutRow
    plan: Plan
    fleet: Fleet
    limits: RolloutLimits
    progress_by_order: Mapping[str, Progress]
    verdict_by_order: Mapping[str, Verdict]
    cancellable_by_order: Mapping[str, bool]
    health_by_version: Mapping[tuple[str, str], Health]
    is_watching: bool
    is_fenced: bool
    has_lost_order: bool
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
    """The reason for holding the rollout, and what an operator can do."""

    reason: str
    next_step: str


def next_row(snapshot: RolloutSnapshot) -> tuple[RolloutRow, RolloutStep] | None:
    """Return the next row and the step of its write; None if none is needed."""
    claims = _remaining_claims(snapshot)
    if snapshot.is_superseded:
        return _superseding_row(snapshot, claims)
    hold = _hold(snapshot)
    row = snapshot.row.changed(claims=claims)
    if hold and row.phase != Phase.HELD:
        row = row.changed(
            phase=Phase.HELD, held_because=hold.reason, next_step=hold.next_step
        )
    elif snapshot.is_own_bundle and row.phase != Phase.HELD:
        row = _continue_rollout(snapshot, row)
    return _with_step(snapshot, _with_status(snapshot, row))


def needs_new_fencing(snapshot: RolloutSnapshot) -> bool:
    """Return whether only a lost order keeps the rollout from being done.

    An order whose answer was lost may arrive after a later one with the same fencing
    number, and would replace it. Only a higher number makes replicas refuse it.
    """
    row = snapshot.row
    if not snapshot.has_lost_order or row.phase != Phase.RUNNING or row.claims:
        return False
    return snapshot.is_own_bundle and not _outdated(snapshot, row.claims)


def _may_finish(snapshot: RolloutSnapshot) -> bool:
    """Return whether every replica answers and no late order can change one."""
    fleet, names = snapshot.fleet, snapshot.plan.target_by_replica
    is_answered = all(fleet.state_of(name) is not None for name in names)
    return is_answered and snapshot.is_fenced and not snapshot.has_lost_order


def _superseding_row(
    snapshot: RolloutSnapshot, claims: tuple[LoadClaim, ...]
) -> tuple[RolloutRow, RolloutStep] | None:
    """Start the newer bundle once no load of the older one can be in progress.

    At that point each replica fully matches one of the two bundles, so a replica is
    never part of both rollouts. A claim whose replica is unreachable stays and
    keeps counting towards ``loads_at_once``.
    """
    verdicts = snapshot.verdict_by_order
    if any(verdicts[claim.order_id] is not Verdict.STUCK for claim in claims):
        return _with_step(snapshot, snapshot.row.changed(claims=claims))
    if not snapshot.fleet.is_complete(snapshot.plan.target_by_replica):
        return _with_step(snapshot, snapshot.row.changed(claims=claims))
    row = snapshot.row.changed(
        bundle_number=snapshot.plan.bundle_number,
        claims=claims,
        held_because="",
        next_step="",
    )
    is_done = not claims and not _outdated(snapshot, claims) and _may_finish(snapshot)
    phase = Phase.DONE if is_done else Phase.RUNNING
    row = row.changed(phase=phase, shares_by_model=_shares(snapshot, row))
    return _with_status(snapshot, row), RolloutStep.BEGIN_SENT


def _remaining_claims(snapshot: RolloutSnapshot) -> tuple[LoadClaim, ...]:
    halting = snapshot.is_superseded or snapshot.row.phase == Phase.HELD
    return tuple(
        claim
        for claim in snapshot.row.claims
        if not _is_finished(snapshot, claim, halting)
    )


def _is_finished(snapshot: RolloutSnapshot, claim: LoadClaim, halting: bool) -> bool:
    verdict = snapshot.verdict_by_order[claim.order_id]
    if verdict in (Verdict.CONFIRMED, Verdict.FAILED):
        return True
    if halting and snapshot.cancellable_by_order[claim.order_id]:
        return True
    is_dropped = claim.replica not in snapshot.plan.target_by_replica
    return verdict is Verdict.STUCK and is_dropped and not snapshot.is_superseded


def _continue_rollout(snapshot: RolloutSnapshot, row: RolloutRow) -> RolloutRow:
    """Claim the next loads; the rollout is done when no replica differs.

    It is not done while a replica does not answer, since its version is unknown, or
    while a late order could still change one. A rollout that was finished before stays
    done.
    """
    if not snapshot.fleet.is_complete(snapshot.plan.target_by_replica):
        return row
    outdated = _outdated(snapshot, row.claims)
    if not snapshot.is_watching:
        row = row.changed(
            claims=row.claims + _new_claims(snapshot, row.claims, outdated)
        )
    may_be_done = _may_finish(snapshot) or row.phase == Phase.DONE
    is_done = not row.claims and not outdated and may_be_done
    phase = Phase.DONE if is_done else Phase.RUNNING
    return row.changed(phase=phase, shares_by_model=_shares(snapshot, row))


def _outdated(snapshot: RolloutSnapshot, claims: tuple[LoadClaim, ...]) -> list[str]:
    """Return the replicas that answer and do not match the bundle."""
    claimed = {claim.replica for claim in claims}
    names = []
    for name, target in snapshot.plan.target_by_replica.items():
        state = snapshot.fleet.state_of(name)
        if state and name not in claimed and not target.is_met_by(state):
            names.append(name)
    return names


def _new_claims(
    snapshot: RolloutSnapshot, claims: tuple[LoadClaim, ...], outdated: list[str]
) -> tuple[LoadClaim, ...]:
    claimed = {claim.replica for claim in claims}
    loading = {name for name in outdated if snapshot.fleet.state_of(name).loading}
    slots = snapshot.limits.loads_at_once - len(claims) - len(loading)
    new: list[LoadClaim] = []
    for name in outdated:
        if len(new) >= slots:
            break
        busy = claimed | loading | {claim.replica for claim in new}
        if name not in busy and _keeps_floor(snapshot, name, busy):
            new.append(_new_claim(snapshot, name))
    return tuple(new)


def _keeps_floor(snapshot: RolloutSnapshot, name: str, busy: set[str]) -> bool:
    """Return whether every model keeps enough replicas while this one loads."""
    serves = snapshot.fleet.state_of(name).version_by_model
    target = snapshot.plan.target_by_replica[name]
    changes = target.changes_from(snapshot.fleet.state_of(name))
    return all(
        _serving(snapshot, model, busy | {name})
        >= snapshot.limits.floor_of(_replicas(snapshot, model))
        for model in changes
        if model in serves and model in target.version_by_model
    )


def _serving(snapshot: RolloutSnapshot, model: str, without: set[str]) -> int:
    names = snapshot.plan.target_by_replica
    return snapshot.fleet.counts(model, names, without).total()


def _replicas(snapshot: RolloutSnapshot, model: str) -> int:
    targets = snapshot.plan.target_by_replica.values()
    return sum(model in target.version_by_model for target in targets)


def _new_claim(snapshot: RolloutSnapshot, name: str) -> LoadClaim:
    target: Target = snapshot.plan.target_by_replica[name]
    return LoadClaim(
        name,
        snapshot.plan.bundle_number,
        f"{snapshot.plan.bundle_number}.{snapshot.next_version}.{name}",
        target.version_by_model,
        target.adapters,
        target.role,
        target.changes_from(snapshot.fleet.state_of(name)),
    )


def _shares(
    snapshot: RolloutSnapshot, row: RolloutRow
) -> dict[str, tuple[VersionShare, ...]]:
    names = snapshot.plan.target_by_replica
    without = {claim.replica for claim in row.claims}
    return {
        model: shares_of(
            wanted,
            row.shares_by_model.get(model, ()),
            snapshot.fleet.counts(model, names, without),
        )
        for model, wanted in snapshot.plan.versions_by_model.items()
    }


def _hold(snapshot: RolloutSnapshot) -> _Hold | None:
    for order_id, verdict in snapshot.verdict_by_order.items():
        progress = snapshot.progress_by_order[order_id]
        if progress.claim.bundle_number != snapshot.row.bundle_number:
            continue
        if verdict is Verdict.FAILED:
            return _replica_hold(snapshot, progress, _failure(snapshot, progress))
        if verdict is Verdict.STUCK:
            limit_s = snapshot.limits.load_limit_ms // 1_000
            detail = f"did not confirm its load within {limit_s} s"
            return _replica_hold(snapshot, progress, detail)
    return _regression_hold(snapshot)


def _failure(snapshot: RolloutSnapshot, progress: Progress) -> str:
    state = snapshot.fleet.state_of(progress.claim.replica)
    if progress.refusal:
        return progress.refusal
    return state.failed if state and state.failed else "did not take its order"


def _replica_hold(snapshot: RolloutSnapshot, progress: Progress, detail: str) -> _Hold:
    name = progress.claim.replica
    after = snapshot.row.bundle_number + 1
    return _Hold(
        f"{name}: {detail}",
        f"Look at {name}. Then submit bundle {after}: without {name} to go on with "
        "the others, or with the weight versions from before to go back.",
    )


def _regression_hold(snapshot: RolloutSnapshot) -> _Hold | None:
    for model, shares in snapshot.row.shares_by_model.items():
        if len(shares) < 2:
            continue
        new = snapshot.health_by_version.get((model, shares[0].version), Health())
        old = _total_health(
            snapshot.health_by_version.get((model, share.version), Health())
            for share in shares[1:]
        )
        how = regression(new, old)
        if how:
            return _Hold(
                f"{model} {shares[0].version} answers worse: {how}",
                f"{shares[0].version} gets no more than its {shares[0].up_to}% of "
                f"new requests. Submit bundle {snapshot.row.bundle_number + 1}: with "
                f"{model} at {shares[1].version} to go back, or with "
                f"{shares[0].version} again to go on all the same.",
            )
    return None


def _total_health(healths) -> Health:
    total = Health()
    for health in healths:
        total.runs += health.runs
        total.failures += health.failures
        total.first_token_ms += health.first_token_ms
        total.computed_tokens += health.computed_tokens
    return total


def _with_status(snapshot: RolloutSnapshot, row: RolloutRow) -> RolloutRow:
    states = {
        name: snapshot.fleet.state_of(name) for name in snapshot.plan.target_by_replica
    }
    met = sum(
        state is not None and snapshot.plan.target_by_replica[name].is_met_by(state)
        for name, state in states.items()
    )
    unreachable = sorted(name for name, state in states.items() if state is None)
    if not snapshot.is_own_bundle and not snapshot.is_superseded:
        return row
    return row.changed(
        confirmed=met, total=len(states), unreachable=tuple(unreachable[:_NAMES_SHOWN])
    )


def _with_step(
    snapshot: RolloutSnapshot, row: RolloutRow
) -> tuple[RolloutRow, RolloutStep] | None:
    """Return the row and its step; status alone is written only when it is due."""
    before = snapshot.row
    if row == before:
        return None
    if row.phase != before.phase and row.phase == Phase.HELD:
        return row, RolloutStep.HOLD_SENT
    if row.phase != before.phase and row.phase == Phase.DONE:
        return row, RolloutStep.FINISH_SENT
    if any(claim not in before.claims for claim in row.claims):
        return row, RolloutStep.CLAIM_SENT
    is_urgent = row.claims != before.claims or row.phase != before.phase
    if is_urgent or snapshot.is_status_due:
        return row, RolloutStep.ADVANCE_SENT
    return None
