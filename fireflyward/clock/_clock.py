"""The project's only source of time."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1_000
_COUNTING_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Timer(Protocol):
    """What ``call_later_ms`` returns."""

    def cancel(self) -> object:
        """Take the call back; of one that was made this does nothing."""


class Clock:
    """Milliseconds of the machine's monotonic and wall clocks.

    Decisions take ``now_ms`` as an argument and never read a clock; tasks own a
    ``Clock`` and hand its reading to them. ``wall_ms`` is only for people and for
    values that another VM reads; nothing that must hold depends on it, because an
    operator or a time daemon may set it back.

    >>> Clock().now_ms() <= Clock().now_ms()
    True
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic milliseconds; they never go back.

        A VM that is suspended and wakes again finds the time that it slept
        counted: by the steady clock, which stands still meanwhile, it would go on
        believing in leases and deadlines that have long passed.
        """
        return time.clock_gettime_ns(_COUNTING_SUSPENSION) // _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970, which may jump either way."""
        return time.time_ns() // _NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / _MS_PER_SECOND)

    def call_later_ms(self, duration_ms: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` after ``duration_ms``, unless the timer is cancelled.

        On the machine's clock this is the event loop's own timer and costs no task,
        which counts where every request sets one. A subclass with another
        ``sleep_ms`` keeps its timers by that.
        """
        if type(self).sleep_ms is not Clock.sleep_ms:
            return asyncio.ensure_future(self._call_after(duration_ms, callback))
        delay_s = max(0.0, duration_ms) / _MS_PER_SECOND
        return asyncio.get_running_loop().call_later(delay_s, callback)

    async def _call_after(
        self, duration_ms: float, callback: Callable[[], None]
    ) -> None:
        await self.sleep_ms(duration_ms)
        callback()


class ManualClock(Clock):
    """A clock that moves only when it is told to.

    ``await clock.advance_ms(50)`` wakes sleepers in the order of their times and
    lets the event loop settle after each, so that a test sees every step.
    """

    __slots__ = ("_now_ms", "_order", "_sleepers", "_wall_offset_ms")

    _SETTLE_TURNS = 20

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._order = itertools.count()

    def __repr__(self) -> str:
        return f"ManualClock(now_ms={self._now_ms}, sleepers={len(self._sleepers)})"

    def now_ms(self) -> int:
        return int(self._now_ms)

    def wall_ms(self) -> int:
        return int(self._now_ms) + self._wall_offset_ms

    def jump_wall_ms(self, by_ms: int) -> None:
        """Set the wall clock forward or back, as an operator might."""
        self._wall_offset_ms += by_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        if duration_ms <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        wake_at_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (wake_at_ms, next(self._order), future))
        await future

    async def advance_ms(self, duration_ms: float) -> None:
        """Move time on, waking every sleeper that falls due on the way."""
        target_ms = self._now_ms + duration_ms
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= target_ms:
            wake_at_ms, _, future = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, wake_at_ms)
            if not future.done():
                future.set_result(None)
            await self._settle()
        self._now_ms = target_ms

    async def _settle(self) -> None:
        for _ in range(self._SETTLE_TURNS):
            await asyncio.sleep(0)
