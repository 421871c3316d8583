"""When answers to prompts with a part were last completed."""

from collections import OrderedDict
from collections.abc import Iterable

# One entry takes some 150 bytes. The part that was used least recently goes first.
_MAX_PARTS = 20_000
_PERIOD_MS = 2_500


class Completions:
    """Records completed answers by the parts of their prompts; no I/O.

    A part that crashes every replica has none, however many requests carry it.

    >>> completions = Completions()
    >>> completions.add(5, (1, 2))
    >>> completions.last_ms(1), completions.last_ms(3), completions.answers
    (5, None, 1)
    >>> completions.recent(2_000), completions.recent(9_000), completions.first_ms
    (1, 0, 5)
    """

    __slots__ = (
        "_last_ms_by_part",
        "_period",
        "_period_answers",
        "_previous_answers",
        "answers",
        "first_ms",
    )

    def __init__(self) -> None:
        self._last_ms_by_part: OrderedDict[int, int] = OrderedDict()
        self.answers = 0
        # When the first answer was completed, None if none was.
        self.first_ms: int | None = None
        self._period = 0
        self._period_answers = self._previous_answers = 0

    def add(self, now_ms: int, parts: Iterable[int]) -> None:
        """Record a completed answer."""
        self.answers += 1
        if self.first_ms is None:
            self.first_ms = now_ms
        self._begin_period(now_ms)
        self._period_answers += 1
        last_ms_by_part = self._last_ms_by_part
        for part in parts:
            last_ms_by_part[part] = now_ms
            last_ms_by_part.move_to_end(part)
        while len(last_ms_by_part) > _MAX_PARTS:
            last_ms_by_part.popitem(last=False)

    def last_ms(self, part: int) -> int | None:
        """Return when an answer to a prompt with the part was last completed."""
        return self._last_ms_by_part.get(part)

    def recent(self, now_ms: int) -> int:
        """Return how many answers were completed in the last 2.5 to 5 s."""
        self._begin_period(now_ms)
        return self._previous_answers + self._period_answers

    def _begin_period(self, now_ms: int) -> None:
        period = now_ms // _PERIOD_MS
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous_answers = self._period_answers if is_next else 0
        self._period, self._period_answers = period, 0
