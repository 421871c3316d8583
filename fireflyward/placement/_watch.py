"""When an import is given up."""

from ._plans import Import


class ImportWatch:
    """Bounds what an import may cost the prompt that waits for it.

    A store can die, fill or slow down after the plan was made; one would see it as
    first tokens that come later than without any store. The watch lets an import
    go on only while it keeps ahead of computing: after ``n`` blocks have arrived
    it may have taken the time to compute ``n`` blocks, the wait that the replica's
    queue would have cost anyway, and ``allowance_ms``. Whenever it is given up,
    computing the rest then ends at most ``allowance_ms`` later than computing all.

    >>> watch = ImportWatch(1_000, Import("s", 0, 10, 16.0, 40.0))
    >>> watch.abort_at_ms()
    1040.0
    >>> watch.on_blocks(2)
    >>> watch.abort_at_ms()
    1072.0
    """

    __slots__ = ("_arrived", "_began_ms", "_plan", "_queue_ms")

    def __init__(self, now_ms: float, plan: Import, *, queue_ms: float = 0.0) -> None:
        self._began_ms = now_ms
        self._plan = plan
        self._queue_ms = queue_ms
        self._arrived = 0

    def __repr__(self) -> str:
        return f"ImportWatch({self._arrived} of {self._plan.blocks})"

    def on_blocks(self, blocks: int) -> None:
        """Count blocks that arrived and were verified."""
        self._arrived += blocks

    def abort_at_ms(self) -> float:
        """Return the time after which the prompt is sent with what has arrived."""
        computing_ms = self._arrived * self._plan.block_ms
        allowed_ms = self._queue_ms + computing_ms + self._plan.allowance_ms
        return self._began_ms + allowed_ms

    def is_whole(self) -> bool:
        """Tell whether every block has arrived."""
        return self._arrived >= self._plan.blocks
