"""The report of a load run."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from fireflyward.checker import Promise, Violation

_MAX_SHOWN_VIOLATIONS = 20


class LoadReport(msgspec.Struct):
    """The counts, times to first token and violations, written as a JSON object.

    ``whole`` counts answers that are correct to the last byte. ``doubled``, ``mixed``
    and ``lost`` count the checker's violations: requests that ran twice, wrong or
    foreign answers, and requests without an outcome. ``unknown`` counts
    non-idempotent requests whose outcome stayed unknown.
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
        """Return whether the checker found no violation."""
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
    """Combine the counts and the checker's violations into a report."""
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
        {
            f"p{percent}": _quantile(first_token_ms, percent / 100)
            for percent in (50, 95, 99)
        },
        [str(violation) for violation in violations[:_MAX_SHOWN_VIOLATIONS]],
    )


def _quantile(values: Sequence[int], fraction: float) -> float:
    """Return the value at rank ``fraction`` of the sorted values, 0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))])
