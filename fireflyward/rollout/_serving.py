"""Which weight version a new request uses, the same on every node."""

import hashlib
from collections.abc import Callable, Mapping

from ._row import RolloutRow, VersionShare

_POINTS = 100
_VERSIONS_KNOWN = 4


class ServingVersions:
    """Chooses the weight version of new requests from the published shares.

    A bundle that names another version does not by itself move requests to it:
    until replicas have confirmed it, they would all be refused. The driver
    publishes the shares, and each request is at a point of its own, worked out
    from its account and prompt, so that nodes agree, a repeated prompt stays with
    its version, and a share that grows moves requests in one direction only.

    ``confirmed`` returns the versions of a model that replicas confirm towards
    this node. A node that cannot read the table goes by what it read last, and by
    what replicas confirm where that is no longer served by any.

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
        """Take a row that was read, if it is newer than the one that is held."""
        if row_version <= self._row_version:
            return False
        self._row = row
        self._row_version = row_version
        return True

    def on_bundle(self, version_by_model: Mapping[str, str]) -> None:
        """Remember what a bundle wants of each model.

        A node that learnt this only from requests would, after a change that came
        before its first request, know no version but the new one and refuse
        everybody until the first replica has loaded it.
        """
        for model, version in version_by_model.items():
            self._known(model, version)

    def of_request(
        self, model: str, wanted: str, default: str, account: str, prompt: str
    ) -> str:
        """Return the version for a new request.

        ``wanted`` is what the bundle gives this caller, ``default`` what it gives
        the model; where they differ, the caller's own goes before the shares.
        """
        shares = self._row.shares_by_model.get(model, ())
        confirmed = self._confirmed(model)
        point = _point(account, prompt) if len(shares) > 1 else 0
        known = self._known(model, default)
        own = (wanted,) if wanted != default else ()
        for version in (*own, *_in_turn(shares, point), *known):
            if version in confirmed:
                return version
        return wanted

    def _known(self, model: str, wanted: str) -> tuple[str, ...]:
        """Return what bundles wanted of a model, the latest first.

        This is for a node that has a new bundle but no row yet, since the table is
        away or the driver has not begun: the version before is still served.
        """
        known = self._wanted_by_model.get(model, ())
        if known[:1] != (wanted,):
            others = tuple(version for version in known if version != wanted)
            known = (wanted, *others)[:_VERSIONS_KNOWN]
            self._wanted_by_model[model] = known
        return known

    def loading_models(self, replica: str) -> frozenset[str]:
        """Return the models for which a replica gets no new runs now."""
        return frozenset(
            model
            for claim in self._row.claims
            if claim.replica == replica
            for model in claim.changes
        )


def _in_turn(shares: tuple[VersionShare, ...], point: int) -> list[str]:
    """Return the version at ``point``, then the others, newest first."""
    first = [share.version for share in shares if point < share.up_to][:1]
    return first + [share.version for share in shares if share.version not in first]


def _point(account: str, prompt: str) -> int:
    digest = hashlib.blake2b(prompt.encode(), key=account.encode()[:64], digest_size=8)
    return int.from_bytes(digest.digest()) % _POINTS
