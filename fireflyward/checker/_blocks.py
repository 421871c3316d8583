"""Checks what engines took from stores against what was sealed and freed there."""

from functools import singledispatchmethod

from ._observations import BlockFreed, BlockRead, BlockSealed, Observation
from ._promises import Promise, Violation

_Place = tuple[str, str, int]


class BlockChecker:
    """Keeps every generation of every block, with the time of its end."""

    __slots__ = ("_freed_ms_by_place", "_sealed_by_place", "violations")

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._sealed_by_place: dict[_Place, BlockSealed] = {}
        self._freed_ms_by_place: dict[_Place, int] = {}

    @singledispatchmethod
    def observe(self, observation: Observation) -> None:
        """Take one observation of a store or of an engine's reading."""
        raise TypeError(f"no check takes {observation!r}")

    @observe.register
    def _(self, observation: BlockSealed) -> None:
        self._sealed_by_place.setdefault(_place(observation), observation)

    @observe.register
    def _(self, observation: BlockFreed) -> None:
        place = _place(observation)
        self._freed_ms_by_place.setdefault(place, observation.at_ms)

    @observe.register
    def _(self, observation: BlockRead) -> None:
        sealed = self._sealed_by_place.get(_place(observation))
        if sealed is None or sealed.checksum != observation.checksum:
            self._add(Promise.WHOLE_BLOCKS, observation, "not whole when read")
            return
        freed_ms = self._freed_ms_by_place.get(_place(observation))
        if freed_ms is not None and freed_ms < observation.read_at_ms:
            self._add(Promise.WHOLE_BLOCKS, observation, f"freed at {freed_ms} ms")
        if sealed.account != observation.account:
            detail = f"kept for {sealed.account}, read for {observation.account}"
            self._add(Promise.OWN_ACCOUNT, observation, detail)
        if sealed.version != observation.version and not observation.is_continued:
            detail = f"kept by {sealed.version}, read by {observation.version}"
            self._add(Promise.OWN_VERSION, observation, detail)

    def _add(self, promise: Promise, observation: BlockRead, detail: str) -> None:
        where = f"{observation.store}/{observation.block}#{observation.generation}"
        detail = f"{where} for {observation.request}: {detail}"
        self.violations.append(Violation(promise, observation.at_ms, detail))


def _place(observation: BlockSealed | BlockFreed | BlockRead) -> _Place:
    return observation.store, observation.block, observation.generation
