"""Log lines for errors that no code of this package catches."""

import asyncio
import logging
from typing import Any

log = logging.getLogger("fireflyward.process")


def log_uncaught_error(stage: str, error: BaseException) -> None:
    """Log an error that ends the process, with the stage that it interrupted."""
    log.critical(
        "process: ends after an error in %s",
        stage,
        exc_info=error,
        extra={"stage": stage},
    )


def log_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log errors of callbacks and of tasks whose result nobody reads.

    By default asyncio logs them outside this package's log.
    """
    loop.set_exception_handler(_log_loop_error)


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    task = context.get("task") or context.get("future")
    log.error(
        "process: error in the event loop: %s",
        context.get("message", ""),
        exc_info=context.get("exception"),
        extra={"task": task.get_name() if isinstance(task, asyncio.Task) else None},
    )
