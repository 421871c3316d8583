"""When a rejected caller should retry."""

# Load further ahead than this is unknown.
MAX_RETRY_AFTER_MS = 30_000


def bounded_retry_after_ms(
    capacity_ms: float, *, min_ms: float, max_ms: float, position_ms: float = 0.0
) -> int:
    """Return the time until capacity is expected for a caller, within its bounds.

    ``capacity_ms`` is when capacity is free again, and ``position_ms`` how long the
    callers before this one take. The lower bound takes precedence.

    >>> bounded_retry_after_ms(400, min_ms=200, max_ms=3_000, position_ms=100)
    500
    """
    return int(max(min_ms, min(max_ms, capacity_ms + position_ms)))
