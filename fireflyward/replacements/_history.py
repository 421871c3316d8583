"""How long ago the weights of models were replaced by newer ones, at most."""

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
    >>> history.set_target(WeightTarget("m", 2))
    True
    >>> history.replaced_after_ms("m", 1), history.replaced_after_ms("m", 2)
    (1000, None)

    If a version was named in between that this node never read, it may have been named
    right after that moment, so the same moment counts for the weights before it.
    """

    __slots__ = ("_confirmed_ms", "_last_newest_ms_by_model", "_newest_by_model")

    def __init__(self) -> None:
        self._confirmed_ms: int | None = None
        self._newest_by_model: dict[str, int] = {}
        self._last_newest_ms_by_model: dict[str, dict[int, int]] = {}

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

    def set_target(self, target: WeightTarget) -> bool:
        """Record a named version; return whether it is newer than the last one."""
        before = self._newest_by_model.get(target.model, 0)
        if target.version <= before:
            return False
        self._newest_by_model[target.model] = target.version
        if self._confirmed_ms is not None:
            self._record(target.model, before, self._confirmed_ms)
        return True

    def on_evidence(self, model: str, version: int, at_ms: int) -> bool:
        """Record that a version was the newest at ``at_ms``; return whether that helps.

        ``version`` is 0 if no version of the model had been named.
        """
        if version >= self._newest_by_model.get(model, 0):
            return False
        known_ms = self.replaced_after_ms(model, version)
        if known_ms is not None and at_ms <= known_ms:
            return False
        self._record(model, version, at_ms)
        return True

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none has been named yet."""
        return self._newest_by_model.get(model)

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return dict(self._newest_by_model)

    def records(self, model: str) -> dict[int, int]:
        """Return when each older version was last known to be the newest."""
        return dict(self._last_newest_ms_by_model.get(model, {}))

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
        return max(
            (at for each, at in records.items() if each <= version), default=None
        )

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

    def _record(self, model: str, version: int, at_ms: int) -> None:
        records = self._last_newest_ms_by_model.setdefault(model, {})
        records[version] = max(records.get(version, at_ms), at_ms)

    def _forget_before(self, since_ms: int) -> None:
        for model, records in list(self._last_newest_ms_by_model.items()):
            for version, at_ms in list(records.items()):
                if at_ms < since_ms:
                    del records[version]
            if not records:
                del self._last_newest_ms_by_model[model]
