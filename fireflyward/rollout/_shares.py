"""Calculates the share of a model's new requests for each weight version."""

from collections.abc import Mapping

from ._row import VersionShare

FULL = 100


def shares_of(
    target_versions: tuple[str, ...],
    previous: tuple[VersionShare, ...],
    replicas_by_version: Mapping[str, int],
) -> tuple[VersionShare, ...]:
    """Return the shares by the number of replicas that confirmed each version.

    ``target_versions`` are the bundle's versions, ``previous`` the current shares.
    Old versions stay in the list while a replica has them. As long as the list is the
    same, the shares added up from the newest version never shrink. Otherwise a prompt
    that was answered by the new version could later be answered by the old one,
    because a replica was out of service for a moment.

    >>> previous = (VersionShare("v1", 100),)
    >>> [share.up_to for share in shares_of(("v2",), previous, {"v1": 4, "v2": 2})]
    [33, 100]
    """
    old = tuple(
        share.version
        for share in previous
        if share.version not in target_versions
        and replicas_by_version.get(share.version)
    )
    versions = target_versions + old
    counts = [replicas_by_version.get(version, 0) for version in versions]
    total = sum(counts)
    if total == 0:
        return (
            previous if _has_versions(previous, versions) else _all_to_first(versions)
        )
    minimum = _minimum_by_version(versions, previous)
    shares, counted, floor = [], 0, 0
    for version, count in zip(versions, counts, strict=True):
        counted += count
        floor = max(floor, FULL * counted // total, minimum.get(version, 0))
        shares.append(VersionShare(version, floor))
    shares[-1] = VersionShare(versions[-1], FULL)
    return tuple(shares)


def _minimum_by_version(
    versions: tuple[str, ...], previous: tuple[VersionShare, ...]
) -> dict[str, int]:
    """Return the lower bounds of the new ``up_to`` values.

    The share of a version that is no longer in the list goes to the next newer one.
    When the order of the versions is reversed, as by a revert, there are no bounds.
    """
    previous_versions = [share.version for share in previous]
    remaining = [version for version in versions if version in previous_versions]
    if remaining != [version for version in previous_versions if version in remaining]:
        return {}
    minimum: dict[str, int] = {}
    newer = ""
    for share in previous:
        newer = share.version if share.version in remaining else newer
        if newer:
            minimum[newer] = share.up_to
    return minimum


def _has_versions(
    previous: tuple[VersionShare, ...], versions: tuple[str, ...]
) -> bool:
    return tuple(share.version for share in previous) == versions


def _all_to_first(versions: tuple[str, ...]) -> tuple[VersionShare, ...]:
    return tuple(VersionShare(version, FULL) for version in versions)
