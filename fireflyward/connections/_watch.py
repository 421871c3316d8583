"""Bounds on waiting, kept by the project's clock."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from fireflyward.clock import Clock

T = TypeVar("T")
_SILENCE_MS = 3_000
_PROBE_MS = 1_000


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long a connection in use may say nothing before it is doubted.

    ``silence_ms`` holds for a stream that is known to work; ``probe_ms`` for the
    first answer on a new connection, which a live upstream gives at once. What is
    between the ends can forget a connection without either noticing, so the sum
    of the two is the longest that any request waits on one that was forgotten.
    """

    silence_ms: int = _SILENCE_MS
    probe_ms: int = _PROBE_MS


class SilenceTimer:
    """When something last came over a connection.

    Between ``pause`` and ``restart`` nothing is asked of the connection, as when the
    caller reads slowly, and its silence means nothing.
    """

    __slots__ = ("_clock", "_is_paused", "_limit_ms", "_since_ms")

    def __init__(self, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._is_paused = False
        self._limit_ms = limit_ms
        self._since_ms = clock.now_ms()

    def restart(self, limit_ms: int) -> None:
        """Something came; the next has to come within ``limit_ms``."""
        self._is_paused = False
        self._since_ms = self._clock.now_ms()
        self._limit_ms = limit_ms

    def pause(self) -> None:
        """Nothing is read for now."""
        self._is_paused = True

    def left_ms(self) -> int:
        """Return how much longer the connection may stay silent."""
        if self._is_paused:
            return self._limit_ms
        return self._since_ms + self._limit_ms - self._clock.now_ms()


class _Alarm:
    """Cancels the task that made it once ``left_ms`` returns nothing more."""

    __slots__ = ("_clock", "_left_ms", "_task", "_timer", "has_rung")

    def __init__(self, clock: Clock, left_ms: Callable[[], float]) -> None:
        self._clock = clock
        self._left_ms = left_ms
        self._task = asyncio.current_task()
        self.has_rung = False
        self._timer = clock.call_later_ms(left_ms(), self._ring)

    def _ring(self) -> None:
        left_ms = self._left_ms()
        if left_ms > 0:
            self._timer = self._clock.call_later_ms(left_ms, self._ring)
            return
        self.has_rung = True
        self._task.cancel()

    def cancel(self) -> None:
        self._timer.cancel()


async def timed_out(
    clock: Clock, left_ms: Callable[[], float], work: Awaitable[object]
) -> bool:
    """Await ``work`` here; cancel it and return true once ``left_ms()`` is 0.

    One timer serves all of it: it is set again only when it runs out, so a stream
    of many tokens costs no timer for each, and no task beside its own.
    """
    task = asyncio.current_task()
    cancels_before = task.cancelling()
    alarm = _Alarm(clock, left_ms)
    try:
        await work
    except asyncio.CancelledError:
        # Whoever else cancelled this task meanwhile must not be taken for the
        # alarm: a run that was stopped would go on, reading for nobody.
        if not alarm.has_rung or task.uncancel() > cancels_before:
            raise
        return True
    finally:
        alarm.cancel()
    return False


async def was_silent(clock: Clock, work: Awaitable[None], heard: SilenceTimer) -> bool:
    """Await ``work``; cancel it and return true if its connection is silent."""
    return await timed_out(clock, heard.left_ms, work)


async def within(clock: Clock, limit_ms: float, work: Awaitable[T]) -> T:
    """Await ``work``, cancelling it with ``TimeoutError`` after ``limit_ms``."""
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep_ms(limit_ms))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError(f"nothing within {limit_ms:g} ms")
        return task.result()
    finally:
        timer.cancel()
        if not task.done():
            await _cancel(task)


async def _cancel(task: "asyncio.Future[object]") -> None:
    """Cancel a task and wait until it is over, whatever it ends with."""
    task.cancel()
    await asyncio.wait({task})
