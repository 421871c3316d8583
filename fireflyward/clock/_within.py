"""A timeout that uses the project's clock."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from ._clock import Clock

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The limit passed before the work was done; the work was cancelled."""

    limit_ms: float


async def within_ms(
    clock: Clock, limit_ms: float, work: Coroutine[Any, Any, T]
) -> T | TimedOut:
    """Return what ``work`` returns, or ``TimedOut`` after ``limit_ms``.

    ``asyncio.timeout`` uses the event loop's time, which a test's ``ManualClock`` does
    not advance.
    """
    task = asyncio.ensure_future(work)
    limit = asyncio.ensure_future(clock.sleep_ms(limit_ms))
    try:
        await asyncio.wait({task, limit}, return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else TimedOut(limit_ms)
    finally:
        for waiting in (task, limit):
            waiting.cancel()
        await asyncio.gather(task, limit, return_exceptions=True)
