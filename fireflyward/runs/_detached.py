"""Work that goes on after its caller has gone."""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T")

# The event loop holds only weak references to tasks. A run that was collected
# half-way would stay unsettled for no visible reason; this set keeps it.
_detached_tasks: "set[asyncio.Task[object]]" = set()


def detach(work: Coroutine[None, None, T]) -> "asyncio.Task[T]":
    """Run ``work`` to its end, whoever waits for it."""
    return track(asyncio.ensure_future(work))


def track(task: "asyncio.Task[T]") -> "asyncio.Task[T]":
    """Keep a task that is under way until its end."""
    _detached_tasks.add(task)
    task.add_done_callback(_detached_tasks.discard)
    return task


async def finish_detached(timeout_s: float) -> int:
    """Wait for what is detached; return how much was still under way."""
    loop = asyncio.get_running_loop()
    tasks = {task for task in _detached_tasks if task.get_loop() is loop}
    if not tasks:
        return 0
    _, pending = await asyncio.wait(tasks, timeout=timeout_s)
    return len(pending)
