"""The background tasks of a process, and what a failure of one of them does."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from fireflyward.clock import Clock
from fireflyward.observe import Metrics

from ._restarts import RestartPauses

log = logging.getLogger("fireflyward.process")

Run = Callable[[], Awaitable[None]]


class BackgroundTasks:
    """Runs tasks until they are cancelled, and starts a task anew that fails.

    A task that fails with an exception does not end the process. Every node reads the
    same tables and hears the same messages, so an input that makes one task fail does
    so at all nodes, and each of them would end again as soon as it has read the input
    anew. What a task knows stays as old as its last success: whatever rests on it has
    an age of its own, and stops to count by that.

    A task that breaks an invariant is not started anew: the listeners of
    ``invariants.add_listener`` end the process.

        tasks = BackgroundTasks(clock=clock, metrics=metrics)
        tasks.start("membership", membership.run)
        ...
        await tasks.cancel()
    """

    __slots__ = ("_clock", "_metrics", "_tasks")

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """``metrics`` counts the failures of each task."""
        self._clock = clock
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, run: Run) -> asyncio.Task[None]:
        """Run a task from now on; ``run`` is called again after each failure."""
        task = asyncio.create_task(self._run(name, run), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start_periodic(self, name: str, period_ms: float, step: Run) -> None:
        """Await ``step`` again and again, after a pause of ``period_ms`` each time."""

        async def run_periodic() -> None:
            while True:
                await self._clock.sleep_ms(period_ms)
                await step()

        self.start(name, run_periodic)

    @property
    def running(self) -> tuple[asyncio.Task[None], ...]:
        """Return the tasks that have not ended."""
        return tuple(self._tasks)

    async def cancel(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        tasks = self.running
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, name: str, run: Run) -> None:
        pauses = RestartPauses()
        while True:
            started_ms = self._clock.now_ms()
            try:
                return await run()
            except (Exception, asyncio.CancelledError) as error:
                if _is_cancelled(error):
                    raise
                ran_ms = self._clock.now_ms() - started_ms
                pause_ms = pauses.next_ms(ran_ms=ran_ms)
                self._log_failure(name, error, ran_ms=ran_ms, pause_ms=pause_ms)
            await self._clock.sleep_ms(pause_ms)

    def _log_failure(
        self, name: str, error: BaseException, *, ran_ms: int, pause_ms: int
    ) -> None:
        self._metrics.count("task_failures_total", task=name)
        log.error(
            "process: task %s failed after %d ms and starts anew in %d ms",
            name,
            ran_ms,
            pause_ms,
            exc_info=error,
            extra={"task": name},
        )


def _is_cancelled(error: BaseException) -> bool:
    """Return whether an error ends the current task because it was cancelled.

    If only what the task awaited was cancelled, the task has failed.
    """
    task = asyncio.current_task()
    is_own = task is not None and task.cancelling() > 0
    return isinstance(error, asyncio.CancelledError) and is_own
