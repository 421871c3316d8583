"""Which share of a model's new requests each weight version serves."""

from collections.abc import Mapping

from ._row import VersionShare

FULL = 100


def shares_of(
    wanted: tuple[str, ...],
    before: tuple[VersionShare, ...],
    replicas_by_version: Mapping[str, int],
) -> tuple[VersionShare, ...]:
    """Return the shares by the replicas that confirmed each version.

    ``wanted`` are the bundle's versions, ``before`` the shares as they stand. Old
    versions stay in the list while a replica has them. As long as the list is the
    same, a share counted from the newest version never shrinks: otherwise a
    prompt that was answered by the new version would be answered by the old one
    after it, because a replica went out of service for a moment.

    >>> before = (VersionShare("v1", 100),)
    >>> [share.up_to for share in shares_of(("v2",), before, {"v1": 4, "v2": 2})]
    [33, 100]
    """
    old = tuple(
        share.version
        for share in before
        if share.version not in wanted and replicas_by_version.get(share.version)
    )
    versions = wanted + old
    counts = [replicas_by_version.get(version, 0) for version in versions]
    total = sum(counts)
    if total == 0:
        return before if _same(before, versions) else _all_to_first(versions)
    least = _least_by_version(versions, before)
    shares, seen, floor = [], 0, 0
    for version, count in zip(versions, counts, strict=True):
        seen += count
        floor = max(floor, FULL * seen // total, least.get(version, 0))
        shares.append(VersionShare(version, floor))
    shares[-1] = VersionShare(versions[-1], FULL)
    return tuple(shares)


def _least_by_version(
    versions: tuple[str, ...], before: tuple[VersionShare, ...]
) -> dict[str, int]:
    """Return the shares below which nothing may fall.

    What a version that is gone had served goes to the next newer one. When
    operators turn the order round, as a revert does, nothing is kept.
    """
    known = [share.version for share in before]
    kept = [version for version in versions if version in known]
    if kept != [version for version in known if version in kept]:
        return {}
    least: dict[str, int] = {}
    newer = ""
    for share in before:
        newer = share.version if share.version in kept else newer
        if newer:
            least[newer] = share.up_to
    return least


def _same(before: tuple[VersionShare, ...], versions: tuple[str, ...]) -> bool:
    return tuple(share.version for share in before) == versions


def _all_to_first(versions: tuple[str, ...]) -> tuple[VersionShare, ...]:
    return tuple(VersionShare(version, FULL) for version in versions)
