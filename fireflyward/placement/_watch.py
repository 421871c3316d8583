"""Determines when an import is aborted."""

from ._plans import Import


class ImportWatch:
    """Limits the delay that an import may cause for the prompt that waits for it.

    A store can crash, fill up or slow down after the plan was made, and first tokens
    would then arrive later than without any store. An import may therefore continue
    only while it is faster than computing: until ``n`` blocks have arrived, it may
    take the time to compute ``n`` blocks, plus the wait in the replica's queue, plus
    ``allowance_ms``. Whenever it is aborted, computing the remaining blocks ends at
    most ``allowance_ms`` later than computing all blocks would have.

    >>> watch = ImportWatch(1_000, Import("s", 0, 10, 16.0, 40.0))
    >>> watch.abort_at_ms()
    1040.0
    >>> watch.on_blocks(2)
    >>> watch.abort_at_ms()
    1072.0
    """

    __slots__ = ("_arrived_blocks", "_started_ms", "_plan", "_queue_ms")

    def __init__(self, now_ms: float, plan: Import, *, queue_ms: float = 0.0) -> None:
        self._started_ms = now_ms
        self._plan = plan
        self._queue_ms = queue_ms
        self._arrived_blocks = 0

    def __repr__(self) -> str:
        return f"ImportWatch({self._arrived_blocks} of {self._plan.blocks})"

    def on_blocks(self, blocks: int) -> None:
        """Add blocks that have arrived and were verified."""
        self._arrived_blocks += blocks

    def abort_at_ms(self) -> float:
        """Return the time at which to abort the import and send the prompt."""
        computing_ms = self._arrived_blocks * self._plan.block_ms
        allowed_ms = self._queue_ms + computing_ms + self._plan.allowance_ms
        return self._started_ms + allowed_ms

    def is_complete(self) -> bool:
        """Return whether all blocks have arrived."""
        return self._arrived_blocks >= self._plan.blocks
