"""Which version of a model's weights requests should get."""

from fireflyward.deployment import WeightTarget

# Kept from the bound: the news took its time to come here, and a request may wait
# in a replica's queue for seconds before it begins.
_MARGIN_MS = 3_500
# Of a version that a node finds at its start nobody knows here when it was named;
# for this long older weights may still serve, which a rollout may just be ending.
_AT_START_MS = 2_500


class WeightVersions:
    """The versions that operators named and since when this node knows; no I/O.

    Each version has a time limit of its own: a newer one that is named meanwhile
    gives the weights before the last no more time.

    >>> versions = WeightVersions(version_ms=12_000)
    >>> versions.set_target(0, WeightTarget("m", 2))
    True
    >>> versions.set_target(6_000, WeightTarget("m", 3))
    True
    >>> [versions.min_version(at_ms, "m") for at_ms in (8_499, 8_500, 14_500)]
    [0, 2, 3]
    """

    __slots__ = ("_due_by_model", "_newest_by_model", "_version_ms")

    def __init__(self, *, version_ms: int) -> None:
        self._version_ms = version_ms
        self._newest_by_model: dict[str, int] = {}
        self._due_by_model: dict[str, list[tuple[int, int]]] = {}

    def set_target(
        self, now_ms: int, target: WeightTarget, *, at_start: bool = False
    ) -> bool:
        """Take a named version; return whether it is newer than the last."""
        if target.version <= self._newest_by_model.get(target.model, 0):
            return False
        self._newest_by_model[target.model] = target.version
        allowed_ms = _AT_START_MS if at_start else self._version_ms - _MARGIN_MS
        due = now_ms + allowed_ms, target.version
        self._due_by_model.setdefault(target.model, []).append(due)
        return True

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none was named yet."""
        return self._newest_by_model.get(model)

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return dict(self._newest_by_model)

    def min_version(self, now_ms: int, model: str) -> int:
        """Return the oldest version that may still begin on a request."""
        due = self._due_by_model.get(model, ())
        return max((version for due_ms, version in due if now_ms >= due_ms), default=0)
