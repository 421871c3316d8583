"""Notices when the process did not run for a while."""

import logging
from collections import deque

from ._clock import Clock

log = logging.getLogger("fireflyward.clock")

_PERIOD_MS = 200
# Delays below this are usual for a loaded process.
_MIN_DELAY_MS = 50
# A longer delay is a standstill: messages that arrived meanwhile have an unknown age.
_STANDSTILL_MS = 700
# After a standstill the event loop reads what had arrived within this time.
_BACKLOG_MS = 150
_HISTORY_MS = 60_000


class Standstills:
    """Records how long this process was late to run; no other I/O than its timer.

    A VM may be frozen, suspended or so slow that the process hardly runs. It then reads
    messages that waited for seconds as if they had just been sent, and its own calls
    fail although the other side answered. What it learns at that moment may be as old
    as the standstill.

    >>> standstills = Standstills(clock=Clock())
    >>> standstills.on_tick(1_000), standstills.on_tick(1_200)
    (None, None)
    >>> standstills.lost_ms(9_200, since_ms=1_100)
    7800
    >>> standstills.on_tick(9_200)
    >>> standstills.lost_ms(9_300, since_ms=1_100), standstills.has_backlog(9_300)
    (7800, True)
    """

    __slots__ = ("_clock", "_delays", "_ended_ms", "_tick_ms", "count")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._tick_ms: int | None = None
        self._ended_ms: int | None = None
        self._delays: deque[tuple[int, int]] = deque()
        self.count = 0

    async def run(self) -> None:
        """Measure the delays of a timer, until cancelled."""
        while True:
            self.on_tick(self._clock.now_ms())
            await self._clock.sleep_ms(_PERIOD_MS)

    def on_tick(self, now_ms: int) -> None:
        """Record that the process runs at ``now_ms``."""
        delay_ms = self._delay_ms(now_ms)
        self._tick_ms = now_ms
        if delay_ms >= _MIN_DELAY_MS:
            self._delays.append((now_ms, delay_ms))
        if delay_ms >= _STANDSTILL_MS:
            self._ended_ms = now_ms
            self.count += 1
            log.warning("clock: the process did not run for %d ms", delay_ms)
        while self._delays and self._delays[0][0] < now_ms - _HISTORY_MS:
            self._delays.popleft()

    def lost_ms(self, now_ms: int, *, since_ms: int) -> int:
        """Return for how long the process did not run since then, up to a minute."""
        lost_ms = self._delay_ms(now_ms)
        return lost_ms + sum(delay for at_ms, delay in self._delays if at_ms > since_ms)

    def has_backlog(self, now_ms: int) -> bool:
        """Return whether a message that is read now may have waited for long."""
        if self._delay_ms(now_ms) >= _STANDSTILL_MS:
            return True
        return self._ended_ms is not None and now_ms - self._ended_ms < _BACKLOG_MS

    def _delay_ms(self, now_ms: int) -> int:
        """Return how late the next tick is."""
        if self._tick_ms is None:
            return 0
        return max(0, now_ms - self._tick_ms - _PERIOD_MS)
