"""A circuit breaker for calls to a service of the platform."""

import random

_FAILURES_TO_OPEN = 3
_FIRST_WAIT_MS = 500
_MAX_WAIT_MS = 10_000
_PROBE_TIMEOUT_MS = 5_000


class Breaker:
    """The circuit breaker of one node for one service.

    After three failures in a row the breaker opens and allows no calls for a waiting
    time, then a single call as a probe. The waiting time doubles up to ten seconds.
    Each time it is drawn at random from the upper half of that range, so that nodes
    which lost the service at the same time do not all call it again at the same time.

    >>> breaker = Breaker(random.Random(1))
    >>> for _ in range(3):
    ...     _ = breaker.on_failure(0)
    >>> breaker.may_call(0), breaker.may_call(10_000), breaker.may_call(10_000)
    (False, True, False)
    """

    __slots__ = (
        "_failures",
        "_open_until_ms",
        "_probe_ms",
        "_random",
        "last_closed_ms",
    )

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self._open_until_ms = 0
        self._probe_ms: int | None = None
        self.last_closed_ms: int | None = None

    @property
    def is_open(self) -> bool:
        return self._failures >= _FAILURES_TO_OPEN

    def may_call(self, now_ms: int) -> bool:
        """Return whether a call is allowed now; if the breaker is open, as a probe."""
        if not self.is_open:
            return True
        if now_ms < self._open_until_ms:
            return False
        # A cancelled call reports no result, so its probe expires.
        if self._probe_ms is not None and now_ms - self._probe_ms < _PROBE_TIMEOUT_MS:
            return False
        self._probe_ms = now_ms
        return True

    def on_success(self, now_ms: int) -> bool:
        """Record an answered call; return whether it closed the breaker."""
        was_open = self.is_open
        self._failures = 0
        self._probe_ms = None
        if was_open:
            self.last_closed_ms = now_ms
        return was_open

    def on_failure(self, now_ms: int) -> bool:
        """Record a failed call; return whether it opened the breaker."""
        was_open = self.is_open
        if was_open and now_ms < self._open_until_ms:
            return False
        self._failures += 1
        if not self.is_open:
            return False
        doublings = min(self._failures - _FAILURES_TO_OPEN, 16)
        max_wait_ms = min(_FIRST_WAIT_MS << doublings, _MAX_WAIT_MS)
        self._open_until_ms = now_ms + int(max_wait_ms * self._random.uniform(0.5, 1))
        self._probe_ms = None
        return not was_open
