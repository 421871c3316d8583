"""Decides which versions of a model's weights may serve requests."""

from fireflyward.deployment import WeightTarget
from fireflyward.replacements import VersionHistory

from ._older_sends import OlderSends

# Subtracted from the allowed time for new sends: a request may wait in a replica's
# queue for seconds before it begins.
_QUEUE_MARGIN_MS = 3_500
# A request that still waits on replaced weights is withdrawn this long before the
# allowed time ends. The replica has to notice in time.
_WITHDRAWAL_MARGIN_MS = 500


class WeightVersions:
    """Limits for how long weights may serve after newer ones were named; no I/O.

    Each version has its own limit for the weights that it replaces. It counts from the
    last moment at which the replaced weights were known to be the newest. A newer
    version that is named meanwhile does not extend it. If no such moment is known, the
    older weights may not serve.

    >>> versions = WeightVersions(version_ms=12_000)
    >>> versions.confirm(0)
    >>> versions.set_target(2_000, WeightTarget("m", 2))
    True
    >>> versions.confirm(6_000)
    >>> versions.set_target(6_000, WeightTarget("m", 3))
    True
    >>> [versions.min_version(at_ms, "m") for at_ms in (8_499, 8_500, 14_500)]
    [0, 2, 3]
    """

    __slots__ = ("_version_ms", "history", "older_sends")

    def __init__(self, *, version_ms: int) -> None:
        self.history = VersionHistory()
        self.older_sends = OlderSends()
        self._version_ms = version_ms

    def set_target(self, now_ms: int, target: WeightTarget) -> bool:
        """Record a named version; return whether it is newer than the last one."""
        return self.history.set_target(now_ms, target)

    def confirm(self, as_of_ms: int) -> None:
        """Record that no newer version had been named at ``as_of_ms``."""
        self.history.confirm(as_of_ms)

    def on_outage_ended(self, at_ms: int) -> None:
        """Count versions that are read now from ``at_ms`` at the earliest."""
        self.history.on_outage_ended(at_ms)

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none has been named yet."""
        return self.history.newest(model)

    def heard_ms(self, now_ms: int, model: str) -> int | None:
        """Return how long ago this node heard of the newest version, if of any."""
        heard_at_ms = self.history.heard_ms(model)
        return None if heard_at_ms is None else now_ms - heard_at_ms

    def replaced_ms(self, now_ms: int, model: str, version: int) -> int | None:
        """Return how long ago a version was replaced at most, None if unknown."""
        after_ms = self.history.replaced_after_ms(model, version)
        return None if after_ms is None else now_ms - after_ms

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return self.history.targets()

    def min_version(self, now_ms: int, model: str) -> int:
        """Return the oldest version that may still get a request."""
        limit_ms = self._version_ms - _QUEUE_MARGIN_MS
        return self.history.oldest_replaced_after(model, now_ms - limit_ms)

    def may_get_requests(self, now_ms: int, model: str, version: int | None) -> bool:
        """Return whether a replica with these weights may still get a request."""
        newest = self.history.newest(model)
        if newest is None or version is None or version >= newest:
            return True
        return version >= self.min_version(now_ms, model)

    def min_waiting_version(self, now_ms: int, model: str) -> int:
        """Return the oldest version for which a sent request may still begin."""
        limit_ms = self._version_ms - _WITHDRAWAL_MARGIN_MS
        return self.history.oldest_replaced_after(model, now_ms - limit_ms)
