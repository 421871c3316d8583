"""Tracks which versions of a model's weights may serve requests."""

from fireflyward.deployment import WeightTarget

# Subtracted from the allowed time: a node receives a new version with a delay, and a
# request may wait in a replica's queue for seconds before it begins.
_MARGIN_MS = 3_500
# A node that has just started cannot know when the version it finds was named. Older
# weights may serve for this long after the start, because a rollout may still be
# finishing.
_OLDER_WEIGHTS_AT_START_MS = 2_500


class WeightVersions:
    """The versions that operators named, and when this node received them; no I/O.

    Each version has its own time limit for the weights that it replaces. A newer
    version that is named meanwhile does not extend that limit.

    >>> versions = WeightVersions(version_ms=12_000)
    >>> versions.set_target(0, WeightTarget("m", 2))
    True
    >>> versions.set_target(6_000, WeightTarget("m", 3))
    True
    >>> [versions.min_version(at_ms, "m") for at_ms in (8_499, 8_500, 14_500)]
    [0, 2, 3]
    """

    __slots__ = (
        "_heard_ms_by_model",
        "_limits_by_model",
        "_newest_by_model",
        "_version_ms",
    )

    def __init__(self, *, version_ms: int) -> None:
        self._version_ms = version_ms
        self._newest_by_model: dict[str, int] = {}
        self._limits_by_model: dict[str, list[tuple[int, int]]] = {}
        self._heard_ms_by_model: dict[str, int] = {}

    def set_target(
        self, now_ms: int, target: WeightTarget, *, at_start: bool = False
    ) -> bool:
        """Record a named version; return whether it is newer than the last one."""
        if target.version <= self._newest_by_model.get(target.model, 0):
            return False
        self._newest_by_model[target.model] = target.version
        self._heard_ms_by_model[target.model] = now_ms
        allowed_ms = (
            _OLDER_WEIGHTS_AT_START_MS if at_start else self._version_ms - _MARGIN_MS
        )
        limit = now_ms + allowed_ms, target.version
        self._limits_by_model.setdefault(target.model, []).append(limit)
        return True

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none has been named yet."""
        return self._newest_by_model.get(model)

    def heard_ms(self, now_ms: int, model: str) -> int | None:
        """Return how long ago this node heard of the newest version, if of any."""
        heard_at_ms = self._heard_ms_by_model.get(model)
        return None if heard_at_ms is None else now_ms - heard_at_ms

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return dict(self._newest_by_model)

    def min_version(self, now_ms: int, model: str) -> int:
        """Return the oldest version that may still begin to run a request."""
        limits = self._limits_by_model.get(model, ())
        return max(
            (version for due_ms, version in limits if now_ms >= due_ms), default=0
        )
