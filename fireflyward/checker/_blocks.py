"""Checks the blocks that engines read from stores against those sealed and freed."""

from functools import singledispatchmethod

from ._observations import BlockFreed, BlockRead, BlockSealed, Observation
from ._promises import Promise, Violation

_BlockId = tuple[str, str, int]


class BlockChecker:
    """Records every sealed generation of every block and when it was freed."""

    __slots__ = ("_freed_ms_by_block", "_sealed_by_block", "violations")

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._sealed_by_block: dict[_BlockId, BlockSealed] = {}
        self._freed_ms_by_block: dict[_BlockId, int] = {}

    @singledispatchmethod
    def observe(self, observation: Observation) -> None:
        """Record an observation of a store, or check a block that an engine read."""
        raise TypeError(f"no check handles {observation!r}")

    @observe.register
    def _(self, observation: BlockSealed) -> None:
        self._sealed_by_block.setdefault(_block_id(observation), observation)

    @observe.register
    def _(self, observation: BlockFreed) -> None:
        block_id = _block_id(observation)
        self._freed_ms_by_block.setdefault(block_id, observation.at_ms)

    @observe.register
    def _(self, observation: BlockRead) -> None:
        sealed = self._sealed_by_block.get(_block_id(observation))
        if sealed is None or sealed.checksum != observation.checksum:
            self._add(
                Promise.WHOLE_BLOCKS, observation, "was not sealed with these bytes"
            )
            return
        freed_ms = self._freed_ms_by_block.get(_block_id(observation))
        if freed_ms is not None and freed_ms < observation.read_at_ms:
            self._add(Promise.WHOLE_BLOCKS, observation, f"freed at {freed_ms} ms")
        if sealed.account != observation.account:
            detail = f"kept for {sealed.account}, read for {observation.account}"
            self._add(Promise.OWN_ACCOUNT, observation, detail)
        if sealed.version != observation.version and not observation.is_continued:
            detail = f"kept for {sealed.version}, read for {observation.version}"
            self._add(Promise.OWN_VERSION, observation, detail)

    def _add(self, promise: Promise, observation: BlockRead, detail: str) -> None:
        where = f"{observation.store}/{observation.block}#{observation.generation}"
        detail = f"{where} for {observation.request}: {detail}"
        self.violations.append(Violation(promise, observation.at_ms, detail))


def _block_id(observation: BlockSealed | BlockFreed | BlockRead) -> _BlockId:
    return observation.store, observation.block, observation.generation
