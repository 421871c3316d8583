"""Decides whether a service of the platform is asked at all."""

import random

_FAILURES_TO_OPEN = 3
_FIRST_WAIT_MS = 500
_LONGEST_WAIT_MS = 10_000
_PROBE_LIMIT_MS = 5_000


class Breaker:
    """A circuit breaker of one node for one service.

    After a few failures in a row nothing is asked for a while, then one call goes
    as a probe. The wait doubles up to ten seconds and is drawn from its upper half
    anew each time, so that nodes which all lost the service in one moment do not
    all come back in one.

    >>> breaker = Breaker(random.Random(1))
    >>> for _ in range(3):
    ...     _ = breaker.on_failure(0)
    >>> breaker.may_call(0), breaker.may_call(10_000), breaker.may_call(10_000)
    (False, True, False)
    """

    __slots__ = ("_failures", "_open_until_ms", "_probe_ms", "_random", "closed_ms")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self._open_until_ms = 0
        self._probe_ms: int | None = None
        self.closed_ms: int | None = None

    @property
    def is_open(self) -> bool:
        return self._failures >= _FAILURES_TO_OPEN

    def may_call(self, now_ms: int) -> bool:
        """Tell whether a call may go now; when open, it is the probe."""
        if not self.is_open:
            return True
        if now_ms < self._open_until_ms:
            return False
        # A caller that is cancelled reports nothing; its probe lapses.
        if self._probe_ms is not None and now_ms - self._probe_ms < _PROBE_LIMIT_MS:
            return False
        self._probe_ms = now_ms
        return True

    def on_success(self, now_ms: int) -> bool:
        """Note an answer; return whether that closed the breaker."""
        was_open = self.is_open
        self._failures = 0
        self._probe_ms = None
        if was_open:
            self.closed_ms = now_ms
        return was_open

    def on_failure(self, now_ms: int) -> bool:
        """Note that no answer came; return whether that opened the breaker."""
        was_open = self.is_open
        if was_open and now_ms < self._open_until_ms:
            return False
        self._failures += 1
        if not self.is_open:
            return False
        doublings = min(self._failures - _FAILURES_TO_OPEN, 16)
        longest_ms = min(_FIRST_WAIT_MS << doublings, _LONGEST_WAIT_MS)
        self._open_until_ms = now_ms + int(longest_ms * self._random.uniform(0.5, 1))
        self._probe_ms = None
        return not was_open
