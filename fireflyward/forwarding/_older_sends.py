"""Counts the requests that were sent to replicas with replaced weights."""


class OlderSends:
    """Counts sends on replaced weights, by model, with the highest age; no I/O.

    The lines of single requests are limited, so most of these sends have none.

    >>> sends = OlderSends()
    >>> sends.add("m", 1_200), sends.add("m", 400), sends.add("m", None)
    (None, None, None)
    >>> sends.take(), sends.take(), sends.total
    ([('m', 3, 1200)], [], 3)
    """

    __slots__ = ("_count_by_model", "_highest_ms_by_model", "total")

    def __init__(self) -> None:
        self._count_by_model: dict[str, int] = {}
        self._highest_ms_by_model: dict[str, int] = {}
        self.total = 0

    def add(self, model: str, replaced_ms: int | None) -> None:
        """Count a send on weights that were replaced so long ago at most."""
        self.total += 1
        self._count_by_model[model] = self._count_by_model.get(model, 0) + 1
        highest_ms = self._highest_ms_by_model.get(model, 0)
        self._highest_ms_by_model[model] = max(highest_ms, replaced_ms or 0)

    def take(self) -> list[tuple[str, int, int]]:
        """Return model, count and highest age in ms since the last call."""
        taken = [
            (model, count, self._highest_ms_by_model[model])
            for model, count in self._count_by_model.items()
        ]
        self._count_by_model.clear()
        self._highest_ms_by_model.clear()
        return taken
