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
from functools import partial

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

_FAILED = 1
_BAD_SETTINGS = 2
# The state of the process cannot be trusted, so it is not stopped in order.
_BROKEN_INVARIANT = 3
_EXPECTED_ERRORS = (BadSettings, CannotListen)
_STANDARD_ERROR = 2


def run_process(held: HeldSignals) -> int:
    """Run a node until SIGTERM; return the exit status.

    It is 0 after a planned stop, 1 if the start or the stop cannot be completed, 2 if
    the settings are invalid and 3 after a broken invariant. ``held`` are the signals
    that arrived before.
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
    stop = asyncio.Event()
    broken = asyncio.Event()

    def on_broken(found: InvariantBroken) -> None:
        broken.set()
        stop.set()

    add_listener(on_broken)
    log_loop_errors(asyncio.get_running_loop())
    settings_watch = SettingsWatch(path, clock=clock)
    handler_by_number = dict.fromkeys(STOP_SIGNALS, stop.set)
    handler_by_number[signal.SIGHUP] = settings_watch.request_reload
    with SignalHandlers(held, handler_by_number):
        try:
            node = await _start_unless(stop, settings_watch, clock)
        except _EXPECTED_ERRORS as error:
            return _log_failed_start(error)
        except Exception as error:
            log_uncaught_error("start", error)
            return _FAILED
        if node is None:
            log.info("process: stopped during the start")
            return _BROKEN_INVARIANT if broken.is_set() else 0
        node.tasks.start("settings", partial(settings_watch.run, node.reload))
        await stop.wait()
        if broken.is_set():
            return _BROKEN_INVARIANT
        return await _stop_unless(broken, node)


async def _stop_unless(broken: asyncio.Event, node: FleetNode) -> int:
    """Stop a node in order, unless an invariant is broken; return the exit status."""
    stopping = asyncio.create_task(node.stop(), name="stop")
    breaking = asyncio.create_task(broken.wait())
    await asyncio.wait({stopping, breaking}, return_when=asyncio.FIRST_COMPLETED)
    breaking.cancel()
    if broken.is_set():
        stopping.cancel()
        return _BROKEN_INVARIANT
    error = None if stopping.cancelled() else stopping.exception()
    if error is None:
        return 0
    log_uncaught_error("stop", error)
    return _FAILED


async def _start_unless(
    stop: asyncio.Event, settings_watch: SettingsWatch, clock: Clock
) -> FleetNode | None:
    """Return a node that has started, or None if it is to stop before."""
    starting = asyncio.create_task(_start(settings_watch, clock), name="start")
    stopping = asyncio.create_task(stop.wait())
    tasks = {starting, stopping}
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not starting.done():
        starting.cancel()
        await asyncio.wait(tasks)
    return None if starting.cancelled() else starting.result()


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
