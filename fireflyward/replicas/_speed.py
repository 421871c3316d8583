"""The last reported speed of one incarnation of a replica."""

from dataclasses import dataclass

# A figure expires after this time, since a replica that is avoided sends no answers
# that could report another one. Slow phases take 250 to 1,150 ms, so seen at a random
# moment, a phase goes on for another 400 ms on average.
SPEED_EXPIRY_MS = 500
_USUAL_PERCENT = 100
# Figures that differ by less than this share lead to the same choices.
_SAME_SHARE = 0.2
# The figure of a slow replica is announced again at this age, so that it does not
# expire at other nodes while the slow phase goes on.
_REFRESH_MS = 250


@dataclass(frozen=True, slots=True)
class SpeedReading:
    """A replica's speed when it was chosen; ``percent`` is None without a report.

    ``factor`` is how many times as long as usual work takes, 1.0 for an old figure.
    """

    percent: int | None = None
    age_ms: int = 0
    factor: float = 1.0

    def is_like(self, factor: float) -> bool:
        """Return whether times at this speed may be compared with those at another."""
        return _is_same(self.factor, factor)


NO_READING = SpeedReading()


class ReplicaSpeed:
    """The last figure that a replica reported about its speed, and its age; no I/O.

    ``percent`` is how long work takes on the replica's machine, relative to the usual
    time. The younger figure takes precedence, whichever node received it.

    >>> speed = ReplicaSpeed()
    >>> speed.record(0, 250), speed.factor(499), speed.factor(500)
    (True, 2.5, 1.0)
    """

    __slots__ = (
        "_announced_at_ms",
        "_announced_percent",
        "as_of_ms",
        "has_unreadable_report",
        "percent",
    )

    def __init__(self) -> None:
        self.percent: int | None = None
        self.as_of_ms = 0
        self.has_unreadable_report = False
        self._announced_percent = _USUAL_PERCENT
        self._announced_at_ms = 0

    def record(
        self, as_of_ms: int, percent: int, *, is_announced: bool = False
    ) -> bool:
        """Record a figure; return whether other nodes are to be informed of it.

        With ``is_announced``, the sender has announced it to them already.
        """
        if self.percent is not None and as_of_ms <= self.as_of_ms:
            return False
        self.percent, self.as_of_ms = percent, as_of_ms
        is_news = self._is_news(as_of_ms, percent)
        if is_news or is_announced:
            self._announced_percent, self._announced_at_ms = percent, as_of_ms
        return is_news

    def factor(self, now_ms: int) -> float:
        """Return how many times as long as usual work takes at this moment."""
        if self.percent is None or now_ms - self.as_of_ms >= SPEED_EXPIRY_MS:
            return 1.0
        return self.percent / _USUAL_PERCENT

    def left_ms(self, now_ms: int) -> int:
        """Return when the figure expires, 0 if it has expired."""
        if self.percent is None:
            return 0
        return max(0, self.as_of_ms + SPEED_EXPIRY_MS - now_ms)

    def work_factor(self, now_ms: int, work_ms: float) -> float:
        """Return how many times as long as usual some work takes that begins now.

        Work that goes on after the figure has expired takes the usual time from then.
        """
        if self.percent is None or self.percent == _USUAL_PERCENT:
            return 1.0
        factor = self.factor(now_ms)
        left_ms = self.left_ms(now_ms)
        if factor == 1.0 or work_ms * factor <= left_ms:
            return factor
        return 1.0 + left_ms * (1.0 - 1.0 / factor) / work_ms

    def reading(self, now_ms: int) -> SpeedReading:
        """Return the figure with its age, for the log."""
        if self.percent is None:
            return NO_READING
        return SpeedReading(self.percent, now_ms - self.as_of_ms, self.factor(now_ms))

    def _is_news(self, as_of_ms: int, percent: int) -> bool:
        """Return whether other nodes assume another speed, or will do so soon."""
        age_ms = as_of_ms - self._announced_at_ms
        known = self._announced_percent if age_ms < SPEED_EXPIRY_MS else _USUAL_PERCENT
        if not _is_same(known, percent):
            return True
        return age_ms >= _REFRESH_MS and not _is_same(percent, _USUAL_PERCENT)


def _is_same(first: float, second: float) -> bool:
    return abs(first - second) < _SAME_SHARE * max(first, second)
