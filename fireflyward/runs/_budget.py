"""How much a node retries: a share of its traffic, with spread pauses."""

import random

_TOKENS_PER_REQUEST = 0.1
_CAPACITY_TOKENS = 10.0
_FIRST_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 1_000


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    When many replicas fail, retries without a bound multiply the load on those
    that are left until they fail too. Every request adds ``share`` of a token
    and every retry takes a whole one, so that retries stay under that share of
    the traffic whatever fails; ``capacity`` lets a quiet node retry at all.

    >>> budget = RetryBudget(capacity=1)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    """

    __slots__ = ("_most_saved", "_random", "_tokens", "_share")

    def __init__(
        self,
        *,
        share: float = _TOKENS_PER_REQUEST,
        capacity: float = _CAPACITY_TOKENS,
        seed: int | None = None,
    ) -> None:
        self._share = share
        self._most_saved = capacity
        self._tokens = capacity
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"RetryBudget(saved={self._tokens:.1f})"

    def on_request(self) -> None:
        """Count a request that is no retry."""
        self._tokens = min(self._most_saved, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Take a token for a retry, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_ms(self, retries: int) -> int:
        """Return the pause before retry number ``retries``, with full jitter.

        Pauses that were all equal would bring the retries of one failure back
        together, as a second peak.
        """
        max_ms = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS << (retries - 1))
        return self._random.randint(0, max_ms)
