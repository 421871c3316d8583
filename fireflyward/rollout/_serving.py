"""Chooses the weight version of a new request in the same way on every node."""

import hashlib
from collections.abc import Callable, Mapping

from ._row import RolloutRow, VersionShare

_POINTS = 100
_MAX_WANTED_VERSIONS = 4


class ServingVersions:
    """Chooses the weight version of new requests from the published shares.

    A bundle with another version does not by itself move requests to it: until
    replicas have confirmed the version, all of them would be rejected. The driver
    publishes the shares. Each request is at a point that is calculated from its
    account and prompt. So all nodes choose the same version, a repeated prompt keeps
    its version, and a share that grows moves requests in one direction only.

    ``confirmed`` returns the versions of a model that replicas confirm to this node. A
    node that can't read the table uses the row that it read last, and skips versions
    that no replica confirms.

    >>> versions = ServingVersions(lambda model: frozenset({"v1"}))
    >>> versions.of_request("clauses", "v2", "v2", "bridge-team", "beam 7?")
    'v2'
    >>> row = RolloutRow(shares_by_model={"clauses": (VersionShare("v1", 100),)})
    >>> versions.update(1, row)
    True
    >>> versions.of_request("clauses", "v2", "v2", "bridge-team", "beam 7?")
    'v1'
    """

    __slots__ = ("_confirmed", "_row", "_row_version", "_wanted_by_model")

    def __init__(self, confirmed: Callable[[str], frozenset[str]]) -> None:
        self._confirmed = confirmed
        self._row = RolloutRow()
        self._row_version = 0
        self._wanted_by_model: dict[str, tuple[str, ...]] = {}

    def __repr__(self) -> str:
        return f"ServingVersions(row_version={self._row_version})"

    @property
    def row(self) -> RolloutRow:
        return self._row

    def update(self, row_version: int, row: RolloutRow) -> bool:
        """Use a row that was read, if it is newer than the current one."""
        if row_version <= self._row_version:
            return False
        self._row = row
        self._row_version = row_version
        return True

    def on_bundle(self, version_by_model: Mapping[str, str]) -> None:
        """Record the version that a bundle defines for each model.

        If a node recorded versions only with requests, it would know just the new
        version after a change before its first request, and would reject all requests
        until the first replica has loaded that version.
        """
        for model, version in version_by_model.items():
            self._wanted_versions(model, version)

    def of_request(
        self, model: str, wanted: str, default: str, account: str, prompt: str
    ) -> str:
        """Return the version for a new request.

        ``wanted`` is the bundle's version for this caller, ``default`` its version for
        the model. Where they differ, the caller's own version precedes the shares.
        """
        shares = self._row.shares_by_model.get(model, ())
        confirmed = self._confirmed(model)
        point = _point(account, prompt) if len(shares) > 1 else 0
        known = self._wanted_versions(model, default)
        own = (wanted,) if wanted != default else ()
        for version in (*own, *_by_preference(shares, point), *known):
            if version in confirmed:
                return version
        return wanted

    def _wanted_versions(self, model: str, wanted: str) -> tuple[str, ...]:
        """Return the versions that bundles defined for a model, the latest first.

        A node that has a new bundle but no row yet, because the table is unavailable
        or the driver has not started, uses them to keep serving the version before.
        """
        known = self._wanted_by_model.get(model, ())
        if known[:1] != (wanted,):
            others = tuple(version for version in known if version != wanted)
            known = (wanted, *others)[:_MAX_WANTED_VERSIONS]
            self._wanted_by_model[model] = known
        return known

    def loading_models(self, replica: str) -> frozenset[str]:
        """Return the models for which a replica gets no new runs, as it loads them."""
        return frozenset(
            model
            for claim in self._row.claims
            if claim.replica == replica
            for model in claim.changes
        )


def _by_preference(shares: tuple[VersionShare, ...], point: int) -> list[str]:
    """Return the version at ``point``, then the others, newest first."""
    first = [share.version for share in shares if point < share.up_to][:1]
    return first + [share.version for share in shares if share.version not in first]


def _point(account: str, prompt: str) -> int:
    digest = hashlib.blake2b(prompt.encode(), key=account.encode()[:64], digest_size=8)
    return int.from_bytes(digest.digest()) % _POINTS
