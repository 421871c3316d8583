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
from collections.abc import Callable
from functools import partial

from fireflyward import __version__
from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.invariants import InvariantBroken, add_listener
from fireflyward.platform import SETTINGS_VARIABLE, BadSettings, load_settings
from fireflyward.supervision import log_loop_errors, log_uncaught_error

from ._logs import set_up_logging
from ._node import FleetNode
from ._settings_watch import SettingsWatch

log = logging.getLogger("fireflyward.process")

_BAD_SETTINGS = 2
# The state of the process cannot be trusted, so it is not stopped in order.
_BROKEN_INVARIANT = 3


def run_process() -> int:
    """Run a node until SIGTERM; return the exit status.

    It is 0 after a planned stop, 2 if the settings are invalid and 3 after a broken
    invariant.
    """
    clock = Clock()
    set_up_logging(clock)
    # A fault in a native extension leaves a traceback on standard error.
    faulthandler.enable()
    _log_start()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except BadSettings as error:
        log.critical("process: ends with status %d: %s", _BAD_SETTINGS, error)
        print(f"fireflyward: settings: {error}", file=sys.stderr)
        return _BAD_SETTINGS
    status = asyncio.run(_run(settings, path))
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


async def _run(settings: FleetSettings, path: str) -> int:
    """Run a node until it is to stop; return the exit status of the process."""
    stop = asyncio.Event()
    broken: list[InvariantBroken] = []

    def on_broken(found: InvariantBroken) -> None:
        broken.append(found)
        stop.set()

    add_listener(on_broken)
    settings_watch = SettingsWatch(path, clock=Clock())
    loop = asyncio.get_running_loop()
    log_loop_errors(loop)
    loop.add_signal_handler(signal.SIGTERM, _logged_signal(signal.SIGTERM, stop.set))
    loop.add_signal_handler(
        signal.SIGHUP, _logged_signal(signal.SIGHUP, settings_watch.request_reload)
    )
    gc.freeze()
    try:
        node = FleetNode(settings, clock=Clock())
        await node.start()
    except Exception as error:
        log_uncaught_error("start", error)
        raise
    node.tasks.start("settings", partial(settings_watch.run, node.reload))
    await stop.wait()
    if broken:
        return _BROKEN_INVARIANT
    with contextlib.suppress(asyncio.CancelledError):
        await node.stop()
    return 0


def _logged_signal(
    number: signal.Signals, handle: Callable[[], None]
) -> Callable[[], None]:
    def log_and_handle() -> None:
        log.info("process: %s received", number.name)
        handle()

    return log_and_handle
