"""Time limits on waiting, measured by the project's clock."""

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
    """How long a connection in use may be silent before it counts as lost.

    ``silence_ms`` applies to a stream that has already delivered data. ``probe_ms``
    applies to the first response on a new connection, which a working upstream sends
    at once. The network can drop a connection without either end noticing, so the
    sum of both is the longest that a request waits on a dropped connection.
    """

    silence_ms: int = _SILENCE_MS
    probe_ms: int = _PROBE_MS


class SilenceTimer:
    """Measures how long nothing has arrived over a connection.

    Between ``pause`` and ``restart`` nothing is read from the connection, for example
    because the caller reads slowly, so its silence doesn't count.
    """

    __slots__ = ("_clock", "_is_paused", "_limit_ms", "_last_received_ms")

    def __init__(self, clock: Clock, limit_ms: int) -> None:
        self._clock = clock
        self._is_paused = False
        self._limit_ms = limit_ms
        self._last_received_ms = clock.now_ms()

    def restart(self, limit_ms: int) -> None:
        """Record that data arrived; the next must arrive within ``limit_ms``."""
        self._is_paused = False
        self._last_received_ms = self._clock.now_ms()
        self._limit_ms = limit_ms

    def pause(self) -> None:
        """Record that nothing is read until ``restart``."""
        self._is_paused = True

    def left_ms(self) -> int:
        """Return for how much longer the connection may stay silent."""
        if self._is_paused:
            return self._limit_ms
        return self._last_received_ms + self._limit_ms - self._clock.now_ms()


class _TimeoutTimer:
    """Cancels the task that created it once ``left_ms`` returns 0 or less."""

    __slots__ = ("_clock", "_left_ms", "_task", "_timer", "has_fired")

    def __init__(self, clock: Clock, left_ms: Callable[[], float]) -> None:
        self._clock = clock
        self._left_ms = left_ms
        self._task = asyncio.current_task()
        self.has_fired = False
        self._timer = clock.call_later_ms(left_ms(), self._on_timer)

    def _on_timer(self) -> None:
        left_ms = self._left_ms()
        if left_ms > 0:
            self._timer = self._clock.call_later_ms(left_ms, self._on_timer)
            return
        self.has_fired = True
        self._task.cancel()

    def cancel(self) -> None:
        self._timer.cancel()


async def timed_out(
    clock: Clock, left_ms: Callable[[], float], work: Awaitable[object]
) -> bool:
    """Await ``work``; cancel it and return true once ``left_ms()`` is 0 or less.

    A single timer is restarted only when it fires, so a stream of many tokens needs
    neither a timer for each token nor an additional task.
    """
    task = asyncio.current_task()
    cancel_requests_before = task.cancelling()
    timeout_timer = _TimeoutTimer(clock, left_ms)
    try:
        await work
    except asyncio.CancelledError:
        # A cancellation by other code must not count as a timeout, even if both
        # happen at the same time: a stopped run would continue without a reader.
        if not timeout_timer.has_fired or task.uncancel() > cancel_requests_before:
            raise
        return True
    finally:
        timeout_timer.cancel()
    return False


async def was_silent(
    clock: Clock, work: Awaitable[None], silence_timer: SilenceTimer
) -> bool:
    """Await ``work``; cancel it and return true if its connection falls silent."""
    return await timed_out(clock, silence_timer.left_ms, work)


async def within(clock: Clock, limit_ms: float, work: Awaitable[T]) -> T:
    """Await ``work``, cancelling it with ``TimeoutError`` after ``limit_ms``."""
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep_ms(limit_ms))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError(f"no result within {limit_ms:g} ms")
        return task.result()
    finally:
        timer.cancel()
        if not task.done():
            await _cancel_and_wait(task)


async def _cancel_and_wait(task: "asyncio.Future[object]") -> None:
    """Cancel a task and wait until it is done, whatever its result."""
    task.cancel()
    await asyncio.wait({task})
