"""Estimates from earlier prompts whether and when new pieces are used again."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

_MAX_TRACKED_PER_CLASS = 128
_MAX_CLASSES = 512
_NO_REUSE_MS = 6 * 3_600_000.0
_PRIOR_RATE = 0.5
_PRIOR_WEIGHT = 8.0
_MAX_WEIGHT = 256.0
_PRIOR_GAP_MS = 20 * 60_000.0
_GAP_SAMPLE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class ReuseClass:
    """A class of pieces whose reuse is similar.

    ``from_end`` is the bit length of the distance from the end of the prompt, in
    pieces. Questions are at the end and are rarely used again; the documents before
    them are.
    """

    account: str
    has_session: bool
    from_end: int


@dataclass(slots=True)
class _ClassStatistics:
    rate: float = _PRIOR_RATE
    weight: float = _PRIOR_WEIGHT
    log_gap: float = math.log(_PRIOR_GAP_MS)
    first_ms_by_key: OrderedDict[str, float] = field(default_factory=OrderedDict)


class ReuseStatistics:
    """Estimates for each class the share of pieces used again and the time until then.

    Only one piece of each class per prompt is tracked, and at most 128 per class at a
    time, so that the traffic of one account does not displace that of others. With
    more than 512 classes, the class without a new piece for the longest time is
    removed. A piece that has not been used again after six hours, or that newer
    pieces displace, counts as not reused.
    """

    __slots__ = ("_statistics_by_class",)

    def __init__(self) -> None:
        self._statistics_by_class: OrderedDict[ReuseClass, _ClassStatistics] = (
            OrderedDict()
        )

    def on_first_seen(self, now_ms: float, kind: ReuseClass, key: str) -> None:
        """Start tracking a piece that has not occurred before."""
        statistics = self._statistics_by_class.setdefault(kind, _ClassStatistics())
        self._statistics_by_class.move_to_end(kind)
        if len(self._statistics_by_class) > _MAX_CLASSES:
            self._statistics_by_class.popitem(last=False)
        tracked = statistics.first_ms_by_key
        tracked[key] = now_ms
        while tracked:
            oldest = next(iter(tracked))
            is_late = now_ms - tracked[oldest] > _NO_REUSE_MS
            if len(tracked) <= _MAX_TRACKED_PER_CLASS and not is_late:
                return
            del tracked[oldest]
            _update_rate(statistics, 0.0)

    def on_repeated(self, now_ms: float, kind: ReuseClass, key: str) -> None:
        """Record the repetition of a piece; only the first one counts."""
        statistics = self._statistics_by_class.get(kind)
        first_ms = statistics.first_ms_by_key.pop(key, None) if statistics else None
        if first_ms is None:
            return
        _update_rate(statistics, 1.0)
        log_gap = math.log(max(1.0, now_ms - first_ms))
        statistics.log_gap += _GAP_SAMPLE_WEIGHT * (log_gap - statistics.log_gap)

    def rate(self, kind: ReuseClass) -> float:
        """Return the estimated share of pieces that are used again."""
        statistics = self._statistics_by_class.get(kind)
        return statistics.rate if statistics else _PRIOR_RATE

    def gap_ms(self, kind: ReuseClass) -> float:
        """Return the typical time until a piece is used again."""
        statistics = self._statistics_by_class.get(kind)
        return math.exp(statistics.log_gap) if statistics else _PRIOR_GAP_MS


def _update_rate(statistics: _ClassStatistics, reused: float) -> None:
    statistics.weight = min(_MAX_WEIGHT, statistics.weight + 1)
    statistics.rate += (reused - statistics.rate) / statistics.weight
