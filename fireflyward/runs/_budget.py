"""Limits a node's retries to a share of its traffic, with jittered backoff."""

import random

_TOKENS_PER_REQUEST = 0.1
_CAPACITY_TOKENS = 10.0
_FIRST_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 1_000


class RetryBudget:
    """A token bucket that is filled by requests and emptied by retries.

    When many replicas fail, unlimited retries multiply the load on the remaining
    ones until these fail too. Every request adds ``share`` of a token and every
    retry takes a whole token, so retries never exceed that share of the traffic.
    The bucket starts with ``capacity`` tokens, so that a node with little traffic
    can retry as well.

    >>> budget = RetryBudget(capacity=1)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    """

    __slots__ = ("_capacity", "_random", "_tokens", "_share")

    def __init__(
        self,
        *,
        share: float = _TOKENS_PER_REQUEST,
        capacity: float = _CAPACITY_TOKENS,
        seed: int | None = None,
    ) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"RetryBudget(tokens={self._tokens:.1f})"

    def on_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_ms(self, retries: int) -> int:
        """Return the backoff before retry number ``retries``, with full jitter.

        With equal backoffs, all requests that one failure affected would be retried
        at the same time and cause a second peak.
        """
        max_ms = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS << (retries - 1))
        return self._random.randint(0, max_ms)
