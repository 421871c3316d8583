"""Tasks that continue after their caller has disconnected."""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T")

# The event loop holds only weak references to tasks. Without this set, a task could
# be garbage-collected before it finishes, and its run would never be settled.
_detached_tasks: "set[asyncio.Task[object]]" = set()


def detach(work: Coroutine[None, None, T]) -> "asyncio.Task[T]":
    """Run ``work`` to completion, whether or not anything awaits the task."""
    return track(asyncio.ensure_future(work))


def track(task: "asyncio.Task[T]") -> "asyncio.Task[T]":
    """Hold a reference to a running task until it is done."""
    _detached_tasks.add(task)
    task.add_done_callback(_detached_tasks.discard)
    return task


async def finish_detached(timeout_s: float) -> int:
    """Wait for all detached tasks; return how many are unfinished at the timeout."""
    loop = asyncio.get_running_loop()
    tasks = {task for task in _detached_tasks if task.get_loop() is loop}
    if not tasks:
        return 0
    _, pending = await asyncio.wait(tasks, timeout=timeout_s)
    return len(pending)
