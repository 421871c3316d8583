"""Whether and when new parts of prompts come back, learnt from those before."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

_WATCHED_PER_CLASS = 128
_MOST_CLASSES = 512
_GIVEN_UP_MS = 6 * 3_600_000.0
_PRIOR_RATE = 0.5
_PRIOR_WEIGHT = 8.0
_MOST_WEIGHT = 256.0
_PRIOR_GAP_MS = 20 * 60_000.0
_GAP_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class ReturnClass:
    """Parts of prompts that are expected to behave alike.

    ``from_end`` says how far from the prompt's end the part lies, as the power of
    two: questions stand at the end and rarely return, documents before them do.
    """

    account: str
    has_session: bool
    from_end: int


@dataclass(slots=True)
class _Learnt:
    rate: float = _PRIOR_RATE
    weight: float = _PRIOR_WEIGHT
    log_gap: float = math.log(_PRIOR_GAP_MS)
    first_ms_by_key: OrderedDict[str, float] = field(default_factory=OrderedDict)


class ReturnTimes:
    """Learns by class the share of parts that are asked for again, and the gap.

    One part of each class in a prompt is watched and at most 128 of a class at a
    time, so that no account's traffic takes another's room; of more than 512
    classes the one that was longest without a new part is forgotten. A part that
    has not returned after six hours, or that newer ones push out, counts as lost.
    """

    __slots__ = ("_learnt_by_class",)

    def __init__(self) -> None:
        self._learnt_by_class: OrderedDict[ReturnClass, _Learnt] = OrderedDict()

    def on_first(self, now_ms: float, kind: ReturnClass, key: str) -> None:
        """Take a part that was never seen before."""
        learnt = self._learnt_by_class.setdefault(kind, _Learnt())
        self._learnt_by_class.move_to_end(kind)
        if len(self._learnt_by_class) > _MOST_CLASSES:
            self._learnt_by_class.popitem(last=False)
        watched = learnt.first_ms_by_key
        watched[key] = now_ms
        while watched:
            oldest = next(iter(watched))
            is_late = now_ms - watched[oldest] > _GIVEN_UP_MS
            if len(watched) <= _WATCHED_PER_CLASS and not is_late:
                return
            del watched[oldest]
            _learn(learnt, 0.0)

    def on_again(self, now_ms: float, kind: ReturnClass, key: str) -> None:
        """Take a part that was seen before; only the first return counts."""
        learnt = self._learnt_by_class.get(kind)
        first_ms = learnt.first_ms_by_key.pop(key, None) if learnt else None
        if first_ms is None:
            return
        _learn(learnt, 1.0)
        log_gap = math.log(max(1.0, now_ms - first_ms))
        learnt.log_gap += _GAP_SHARE * (log_gap - learnt.log_gap)

    def rate(self, kind: ReturnClass) -> float:
        """Return the expected share of parts that are asked for again."""
        learnt = self._learnt_by_class.get(kind)
        return learnt.rate if learnt else _PRIOR_RATE

    def gap_ms(self, kind: ReturnClass) -> float:
        """Return the typical time until the first return."""
        learnt = self._learnt_by_class.get(kind)
        return math.exp(learnt.log_gap) if learnt else _PRIOR_GAP_MS


def _learn(learnt: _Learnt, returned: float) -> None:
    learnt.weight = min(_MOST_WEIGHT, learnt.weight + 1)
    learnt.rate += (returned - learnt.rate) / learnt.weight
