"""The status of a rollout as text for operators."""

from collections.abc import Iterator

from ._row import Phase, RolloutRow, VersionShare

_IDLE = "no rollout yet: no node has driven one, or the table was just set up"


def status_lines(row: RolloutRow) -> list[str]:
    """Return the status as lines of text.

    >>> status_lines(RolloutRow(bundle_number=2, phase="done", confirmed=6, total=6))
    ['bundle 2: done, 6 of 6 replicas confirmed']
    """
    if row.phase == Phase.IDLE:
        return [_IDLE]
    return list(_lines(row))


def _lines(row: RolloutRow) -> Iterator[str]:
    yield (
        f"bundle {row.bundle_number}: {row.phase}, "
        f"{row.confirmed} of {row.total} replicas confirmed"
    )
    for claim in row.claims:
        changes = ", ".join(
            f"{model} {claim.version_by_model.get(model, 'removed')}"
            for model in claim.changes
        )
        yield f"  loading: {claim.replica}: {changes}"
    for model, shares in sorted(row.shares_by_model.items()):
        yield f"  {model}: {_shares_text(shares)} of new requests"
    if row.unreachable:
        yield f"  no answer from: {', '.join(row.unreachable)}"
    if row.held_because:
        yield f"  held: {row.held_because}"
        yield f"  next: {row.next_step}"


def _shares_text(shares: tuple[VersionShare, ...]) -> str:
    parts, before = [], 0
    for share in shares:
        parts.append(f"{share.version} {share.up_to - before}%")
        before = share.up_to
    return ", ".join(parts)
