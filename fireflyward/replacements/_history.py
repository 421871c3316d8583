"""How long ago the weights of models were replaced by newer ones, at most."""

from collections.abc import Callable

from fireflyward.deployment import WeightTarget

# Records that are older than this allow nothing any more, whatever the bound.
_MAX_RECORD_AGE_MS = 60_000


class VersionHistory:
    """When each version of a model's weights was last known to be the newest; no I/O.

    A version was named after the last moment for which the operators' table is known
    without it. That moment may be long before this node hears of the version: the node
    may have stood still, or its source may have. It comes from this node's readings, or
    as evidence from other nodes; the latest counts.

    >>> history = VersionHistory()
    >>> history.confirm(1_000)
    >>> history.set_target(7_000, WeightTarget("m", 2))
    True
    >>> history.replaced_after_ms("m", 1), history.replaced_after_ms("m", 2)
    (1000, None)

    If a version was named in between that this node never read, it may have been named
    right after that moment, so the same moment counts for the weights before it.
    """

    __slots__ = (
        "_confirmed_ms",
        "_heard_ms_by_model",
        "_last_newest_ms_by_model",
        "_newest_by_model",
        "_outage_ended_ms",
        "_proven_ms_by_model",
        "on_record",
    )

    def __init__(self) -> None:
        self._confirmed_ms: int | None = None
        self._outage_ended_ms: int | None = None
        # Called when an older version has a time from which its limit counts.
        self.on_record: Callable[[], None] = lambda: None
        self._newest_by_model: dict[str, int] = {}
        # When this node read each version that it knows; it was named before.
        self._heard_ms_by_model: dict[str, dict[int, int]] = {}
        self._last_newest_ms_by_model: dict[str, dict[int, int]] = {}
        # The same without the time of outages; only these are told to other nodes.
        self._proven_ms_by_model: dict[str, dict[int, int]] = {}

    @property
    def confirmed_ms(self) -> int | None:
        """Return the moment for which the table was read last, None if it never was."""
        return self._confirmed_ms

    def confirm(self, as_of_ms: int) -> None:
        """Record that no newer version had been named at ``as_of_ms``."""
        if self._confirmed_ms is None or as_of_ms > self._confirmed_ms:
            self._confirmed_ms = as_of_ms
            if self._last_newest_ms_by_model:
                self._forget_before(as_of_ms - _MAX_RECORD_AGE_MS)

    def on_outage_ended(self, at_ms: int) -> None:
        """Count versions that are read now from ``at_ms`` at the earliest.

        The table could not be read before. That proves nothing to other nodes.
        """
        self._outage_ended_ms = at_ms

    def set_target(self, now_ms: int, target: WeightTarget) -> bool:
        """Record a named version; return whether it is newer than the last one."""
        model, before = target.model, self._newest_by_model.get(target.model, 0)
        if target.version <= before:
            return False
        self._newest_by_model[model] = target.version
        self._heard_ms_by_model.setdefault(model, {})[target.version] = now_ms
        if self._confirmed_ms is not None:
            _record(self._proven_ms_by_model, model, before, self._confirmed_ms)
            _record(self._last_newest_ms_by_model, model, before, self._confirmed_ms)
        if self._outage_ended_ms is not None:
            _record(self._last_newest_ms_by_model, model, before, self._outage_ended_ms)
        self.on_record()
        return True

    def on_evidence(self, model: str, version: int, at_ms: int) -> bool:
        """Record that a version was the newest at ``at_ms``; return whether that helps.

        ``version`` is 0 if no version of the model had been named. Evidence that is
        later than this node's own reading of a newer version is wrong.
        """
        heard_ms = self._heard_ms_by_model.get(model, {})
        newer_ms = [at for newer, at in heard_ms.items() if newer > version]
        if not newer_ms or at_ms > min(newer_ms):
            return False
        known_ms = _latest(self._proven_ms_by_model.get(model), version)
        if known_ms is not None and at_ms <= known_ms:
            return False
        _record(self._proven_ms_by_model, model, version, at_ms)
        _record(self._last_newest_ms_by_model, model, version, at_ms)
        self.on_record()
        return True

    def heard_ms(self, model: str) -> int | None:
        """Return when this node read the newest version, None if there is none."""
        return max(self._heard_ms_by_model.get(model, {}).values(), default=None)

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none has been named yet."""
        return self._newest_by_model.get(model)

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return dict(self._newest_by_model)

    def proven(self, model: str) -> dict[int, int]:
        """Return when each older version was certainly still the newest."""
        return dict(self._proven_ms_by_model.get(model, {}))

    def models_being_replaced(self) -> list[str]:
        """Return the models with a version that was named in the last minute."""
        return list(self._last_newest_ms_by_model)

    def replaced_after_ms(self, model: str, version: int) -> int | None:
        """Return the last moment at which a version had certainly not been replaced.

        It is None if the version is the newest one, or if no such moment is known.
        """
        records = self._last_newest_ms_by_model.get(model)
        if not records or version >= self._newest_by_model[model]:
            return None
        return _latest(records, version)

    def oldest_replaced_after(self, model: str, since_ms: int) -> int:
        """Return the oldest version that was replaced after ``since_ms``.

        It is the newest one if there is none, and 0 if no version has been named.
        """
        newest = self._newest_by_model.get(model, 0)
        records = self._last_newest_ms_by_model.get(model)
        if not records:
            return newest
        recent = (version for version, at_ms in records.items() if at_ms > since_ms)
        return min(recent, default=newest)

    def _forget_before(self, since_ms: int) -> None:
        for by_model in (self._last_newest_ms_by_model, self._proven_ms_by_model):
            for model, records in list(by_model.items()):
                recent = {each: at for each, at in records.items() if at >= since_ms}
                if recent:
                    by_model[model] = recent
                else:
                    del by_model[model]


def _record(
    by_model: dict[str, dict[int, int]], model: str, version: int, at_ms: int
) -> None:
    records = by_model.setdefault(model, {})
    records[version] = max(records.get(version, at_ms), at_ms)


def _latest(records: dict[int, int] | None, version: int) -> int | None:
    """Return the latest time of a version or of an older one, if there is any."""
    if not records:
        return None
    return max((at for each, at in records.items() if each <= version), default=None)
