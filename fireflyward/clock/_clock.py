"""The clocks from which the project reads the time."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1_000
_CLOCK_INCLUDING_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Timer(Protocol):
    """A scheduled call, as returned by ``call_later_ms``."""

    def cancel(self) -> object:
        """Cancel the call; this has no effect if it was already made."""


class Clock:
    """Milliseconds of the machine's monotonic and wall clocks.

    Code that makes decisions gets ``now_ms`` as an argument and never reads a clock;
    tasks own a ``Clock`` and pass its time to that code. ``wall_ms`` is only for people
    and for values that another VM reads. No guarantee may depend on it, because an
    operator or a time daemon may set it back.

    >>> Clock().now_ms() <= Clock().now_ms()
    True
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic milliseconds, which never decrease.

        The time includes periods in which the VM was suspended. ``CLOCK_MONOTONIC``
        stops during a suspension, so a resumed VM would still treat leases and
        deadlines as valid that expired long ago.
        """
        return time.clock_gettime_ns(_CLOCK_INCLUDING_SUSPENSION) // _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970, which may jump forward or back."""
        return time.time_ns() // _NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / _MS_PER_SECOND)

    def call_later_ms(self, duration_ms: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` after ``duration_ms``, unless the timer is cancelled.

        This uses the event loop's timer and needs no task, which saves time where
        every request sets a timer. A subclass that overrides ``sleep_ms`` gets timers
        that use its ``sleep_ms``.
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
    """A clock that advances only on demand, for tests.

    ``await clock.advance_ms(50)`` wakes sleepers in the order of their times. After
    each one it runs the event loop for some iterations, so that the tasks that are
    ready finish their work at that time.
    """

    __slots__ = ("_now_ms", "_order", "_sleepers", "_wall_offset_ms")

    _LOOP_ITERATIONS = 20

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
        """Set the wall clock forward or back, as an operator may do."""
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
        """Advance the time, and wake every sleeper whose time has come."""
        target_ms = self._now_ms + duration_ms
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= target_ms:
            wake_at_ms, _, future = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, wake_at_ms)
            if not future.done():
                future.set_result(None)
            await self._run_ready_tasks()
        self._now_ms = target_ms

    async def _run_ready_tasks(self) -> None:
        for _ in range(self._LOOP_ITERATIONS):
            await asyncio.sleep(0)
