"""Which version of a model's weights requests should get."""

from fireflyward.deployment import WeightTarget


class WeightBook:
    """The versions that operators named and since when this node knows; no I/O.

    >>> book = WeightBook(version_ms=12_000)
    >>> book.take(0, WeightTarget("m", 2)), book.newest("m")
    (True, 2)
    >>> book.only_newest(11_900, "m")
    True
    """

    __slots__ = ("_known_ms_by_model", "_newest_by_model", "_version_ms")

    # Kept from the bound: the news took its time to come here.
    _MARGIN_MS = 700

    def __init__(self, *, version_ms: int) -> None:
        self._version_ms = version_ms
        self._newest_by_model: dict[str, int] = {}
        self._known_ms_by_model: dict[str, int] = {}

    def take(self, now_ms: int, target: WeightTarget) -> bool:
        """Take a named version; return whether it is newer than the last."""
        if target.version <= self._newest_by_model.get(target.model, 0):
            return False
        self._newest_by_model[target.model] = target.version
        self._known_ms_by_model[target.model] = now_ms
        return True

    def newest(self, model: str) -> int | None:
        """Return the newest named version, None if none was named yet."""
        return self._newest_by_model.get(model)

    def targets(self) -> dict[str, int]:
        """Return the newest version of every model."""
        return dict(self._newest_by_model)

    def only_newest(self, now_ms: int, model: str) -> bool:
        """Tell whether older weights may no longer begin on a request."""
        known_ms = self._known_ms_by_model.get(model)
        if known_ms is None:
            return False
        return now_ms - known_ms >= self._version_ms - self._MARGIN_MS
