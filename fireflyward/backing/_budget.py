"""One node's share of the call rate that a service of the platform can handle."""

from collections.abc import Callable

_MS_PER_SECOND = 1_000
_BURST_S = 2.0
_MIN_BURST_CALLS = 4.0
_RAMP_MS = 10_000
_RAMP_START_SHARE = 0.1


class Budget:
    """A token bucket whose rate is the service's capacity divided by the nodes.

    ``nodes`` returns the number of all nodes except those considered dead. It includes
    nodes that this one cannot reach, because they may still reach the service. A call
    that finds no token waits for one, in the order of calls, but at most
    ``max_wait_ms``.

    >>> budget = Budget(per_second=700, nodes=lambda: 350)
    >>> [budget.reserve(0) for _ in range(5)]
    [0, 0, 0, 0, 500]
    """

    __slots__ = (
        "_filled_ms",
        "_max_wait_ms",
        "_nodes",
        "_per_second",
        "_ramp_since_ms",
        "_tokens",
    )

    def __init__(
        self,
        *,
        per_second: float,
        nodes: Callable[[], int],
        max_wait_ms: int = 1_000,
    ) -> None:
        self._per_second = per_second
        self._nodes = nodes
        self._max_wait_ms = max_wait_ms
        self._tokens = self._burst()
        self._filled_ms = 0
        self._ramp_since_ms: int | None = None

    def reserve(self, now_ms: int) -> int | None:
        """Reserve a token; return the wait until the call in ms, None if too long."""
        rate = self._rate(now_ms)
        elapsed_ms = max(0, now_ms - self._filled_ms)
        filled = self._tokens + elapsed_ms * rate / _MS_PER_SECOND
        self._tokens = min(filled, self._burst())
        self._filled_ms = now_ms
        missing_tokens = 1 - self._tokens
        wait_ms = max(0, round(missing_tokens * _MS_PER_SECOND / rate))
        if wait_ms > self._max_wait_ms:
            return None
        self._tokens -= 1
        return wait_ms

    def begin_ramp(self, now_ms: int) -> None:
        """Start at a low rate, because the service is available again for all nodes."""
        self._ramp_since_ms = now_ms
        self._filled_ms = now_ms
        self._tokens = min(self._tokens, 1.0)

    def _share(self) -> float:
        return self._per_second / max(1, self._nodes())

    def _burst(self) -> float:
        return max(_MIN_BURST_CALLS, self._share() * _BURST_S)

    def _rate(self, now_ms: int) -> float:
        share = self._share()
        if self._ramp_since_ms is None:
            return share
        progress = (now_ms - self._ramp_since_ms) / _RAMP_MS
        if progress >= 1:
            self._ramp_since_ms = None
            return share
        return share * (_RAMP_START_SHARE + (1 - _RAMP_START_SHARE) * progress)
