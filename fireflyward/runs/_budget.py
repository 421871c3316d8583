"""How much a node retries: a share of its traffic, with spread pauses."""

import random

_SHARE = 0.1
_MOST_SAVED = 10.0
_FIRST_PAUSE_MS = 20
_LONGEST_PAUSE_MS = 1_000


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    When many replicas fail, retries without a bound multiply the load on those
    that are left until they fail too. Every request adds ``share`` of a token
    and every retry takes a whole one, so that retries stay under that share of
    the traffic whatever fails; ``capacity`` lets a quiet node retry at all.

    >>> budget = RetryBudget(capacity=1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    __slots__ = ("_most_saved", "_random", "_saved", "_share")

    def __init__(
        self,
        *,
        share: float = _SHARE,
        capacity: float = _MOST_SAVED,
        seed: int | None = None,
    ) -> None:
        self._share = share
        self._most_saved = capacity
        self._saved = capacity
        self._random = random.Random(seed)

    def __repr__(self) -> str:
        return f"RetryBudget(saved={self._saved:.1f})"

    def on_request(self) -> None:
        """Count a request that is no retry."""
        self._saved = min(self._most_saved, self._saved + self._share)

    def take(self) -> bool:
        """Take a token for a retry, if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def pause_ms(self, retries: int) -> int:
        """Return the pause before retry number ``retries``, with full jitter.

        Pauses that were all equal would bring the retries of one failure back
        together, as a second peak.
        """
        longest_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS << (retries - 1))
        return self._random.randint(0, longest_ms)
