"""Decides which figures to send now to one group of receivers."""

# A change reaches the nodes of the domain after two batches, within 20 ms.
_BATCH_MS = 5
_MAX_SAVED_BYTES = 600


class SpeedBatches:
    """Collects changed figures, and limits the rate at which they are sent; no I/O.

    When many replicas change at once, a batch waits until the bytes sent before it are
    within the limit. It then contains the latest figure of each replica once.
    """

    __slots__ = ("_pending", "_refilled_ms", "_saved_bytes")

    def __init__(self) -> None:
        self._pending: set[int] = set()
        self._saved_bytes = float(_MAX_SAVED_BYTES)
        self._refilled_ms: int | None = None

    def add(
        self, now_ms: int, incarnation_id: int, bytes_per_ms: float
    ) -> float | None:
        """Add a replica; return when to take the batch if it is the first in it.

        ``bytes_per_ms`` is how much each receiver may get from this node.
        """
        is_first = not self._pending
        self._pending.add(incarnation_id)
        if not is_first:
            return None
        since_ms = now_ms if self._refilled_ms is None else self._refilled_ms
        earned = (now_ms - since_ms) * bytes_per_ms
        self._saved_bytes = min(_MAX_SAVED_BYTES, self._saved_bytes + earned)
        self._refilled_ms = now_ms
        return max(_BATCH_MS, -self._saved_bytes / bytes_per_ms)

    def take(self) -> set[int]:
        """Return the replicas to announce now, and start a new batch."""
        taken, self._pending = self._pending, set()
        return taken

    def on_sent(self, size: int) -> None:
        """Count the bytes that each receiver gets."""
        self._saved_bytes -= size
