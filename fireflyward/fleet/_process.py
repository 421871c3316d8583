"""The process of one node: settings, signals and exit status."""

import asyncio
import contextlib
import faulthandler
import gc
import logging
import os
import platform
import signal
import sys
from collections.abc import Coroutine
from functools import partial
from typing import Any, TypeVar

from fireflyward import __version__
from fireflyward._held_signals import STOP_SIGNALS, HeldSignals
from fireflyward.clock import Clock
from fireflyward.invariants import InvariantBroken, add_listener
from fireflyward.platform import SETTINGS_VARIABLE, BadSettings
from fireflyward.supervision import (
    CannotListen,
    SignalHandlers,
    log_loop_errors,
    log_uncaught_error,
    open_standard_streams,
)

from ._logs import set_up_logging
from ._node import FleetNode
from ._settings_watch import SettingsWatch

log = logging.getLogger("fireflyward.process")

T = TypeVar("T")

_FAILED = 1
_BAD_SETTINGS = 2
# The state of the process cannot be trusted, so it is not stopped in order.
_BROKEN_INVARIANT = 3
_EXPECTED_ERRORS = (BadSettings, CannotListen)
_STANDARD_ERROR = 2


def run_process(held: HeldSignals) -> int:
    """Run a node until SIGTERM; return the exit status.

    It is 0 after a planned stop, 1 if the start or the stop failed, 2 if the settings
    are invalid and 3 after a broken invariant. ``held`` are the signals that arrived
    before.
    """
    open_standard_streams()
    clock = Clock()
    set_up_logging(clock)
    # A fault in a native extension leaves a traceback on standard error. The stream
    # itself is missing if the process was started without it.
    faulthandler.enable(_STANDARD_ERROR)
    _log_start()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    status = asyncio.run(_run(path, held, clock))
    log.info("process: ends with status %d", status)
    return status


def _log_start() -> None:
    log.info(
        "process: starts",
        extra={
            "pid": os.getpid(),
            "version": __version__,
            "python": platform.python_version(),
            "architecture": platform.machine(),
        },
    )


async def _run(path: str, held: HeldSignals, clock: Clock) -> int:
    """Run a node until it is to stop; return the exit status of the process."""
    stop, broken = asyncio.Event(), asyncio.Event()

    def on_broken(found: InvariantBroken) -> None:
        broken.set()

    stop_listening = add_listener(on_broken)
    log_loop_errors(asyncio.get_running_loop())
    settings_watch = SettingsWatch(path, clock=clock)
    handler_by_number = dict.fromkeys(STOP_SIGNALS, stop.set)
    handler_by_number[signal.SIGHUP] = settings_watch.request_reload
    stage = "start"
    try:
        with SignalHandlers(held, handler_by_number):
            starting = _start(settings_watch, clock)
            node = await _unless_set(starting, stop, broken)
            if node is None:
                log.info("process: stopped during the start")
            else:
                node.tasks.start("settings", partial(settings_watch.run, node.reload))
                stage = "run"
                await _unless_set(stop.wait(), broken)
                stage = "stop"
                await _unless_set(node.stop(), broken)
    except _EXPECTED_ERRORS as error:
        return _log_failed_start(error)
    except Exception as error:
        log_uncaught_error(stage, error)
        return _FAILED
    finally:
        stop_listening()
    return _BROKEN_INVARIANT if broken.is_set() else 0


async def _unless_set(work: Coroutine[Any, Any, T], *events: asyncio.Event) -> T | None:
    """Return what ``work`` returns, or None if an event is set before; it is cancelled.

    None is also returned if the work is cancelled from within.
    """
    task = asyncio.ensure_future(work)
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait([task, *waits], return_when=asyncio.FIRST_COMPLETED)
    finally:
        for other in (task, *waits):
            other.cancel()
        await asyncio.wait([task, *waits])
    return None if task.cancelled() else task.result()


async def _start(settings_watch: SettingsWatch, clock: Clock) -> FleetNode:
    settings = await settings_watch.load_first()
    gc.freeze()
    node = FleetNode(settings, clock=clock)
    await node.start()
    return node


def _log_failed_start(error: BadSettings | CannotListen) -> int:
    """Log why a start failed; return the exit status."""
    is_settings = isinstance(error, BadSettings)
    status = _BAD_SETTINGS if is_settings else _FAILED
    log.critical("process: ends with status %d: %s", status, error)
    # The log has the reason too, if nobody reads standard error.
    with contextlib.suppress(OSError):
        print(f"fireflyward: {error}", file=sys.stderr, flush=True)
    return status
