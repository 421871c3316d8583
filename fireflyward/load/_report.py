"""The figures of a load run."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from fireflyward.checker import Promise, Violation

_SHOWN = 20


class LoadReport(msgspec.Struct):
    """One JSON object: counts, times to the first token, and what went wrong.

    ``whole`` counts answers that are right to the last byte; ``doubled``,
    ``mixed`` and ``lost`` are requests as the checker found them; ``unknown`` are
    non-idempotent requests whose outcome nobody could tell in time.
    """

    requests: int
    answers: int
    whole: int
    doubled: int
    mixed: int
    lost: int
    unknown: int
    retries: int
    seconds: float
    ttft_ms: dict[str, float]
    violations: list[str]

    @property
    def is_clean(self) -> bool:
        """Tell whether nothing was lost, doubled, mixed or otherwise broken."""
        return not self.violations


def make_report(
    *,
    requests: int,
    answers: int,
    unknown: int,
    retries: int,
    seconds: float,
    first_token_ms: Sequence[int],
    violations: Sequence[Violation],
) -> LoadReport:
    """Put the figures together."""
    count = Counter(violation.promise for violation in violations)
    wrong = count[Promise.WHOLE_ANSWER] + count[Promise.OWN_ACCOUNT]
    return LoadReport(
        requests,
        answers,
        answers - wrong,
        count[Promise.AT_MOST_ONCE],
        wrong,
        count[Promise.NOTHING_LOST],
        unknown,
        retries,
        round(seconds, 3),
        {f"p{part}": _quantile(first_token_ms, part / 100) for part in (50, 95, 99)},
        [str(violation) for violation in violations[:_SHOWN]],
    )


def _quantile(values: Sequence[int], part: float) -> float:
    """Return the least value that ``part`` of all values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(part * len(ordered)))])
