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

from fireflyward import __version__
from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.platform import SETTINGS_VARIABLE, BadSettings, load_settings
from fireflyward.supervision import log_loop_errors, log_uncaught_error

from ._logs import set_up_logging
from ._node import FleetNode
from ._settings_watch import SettingsWatch

log = logging.getLogger("fireflyward.process")

_BAD_SETTINGS = 2


def run_process() -> int:
    """Run a node until SIGTERM; return 0, or 2 if the settings are invalid."""
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
    asyncio.run(_run(settings, path))
    log.info("process: ends with status 0")
    return 0


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


async def _run(settings: FleetSettings, path: str) -> None:
    stop = asyncio.Event()
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
    reload_task = asyncio.create_task(settings_watch.run(node.reload))
    await stop.wait()
    reload_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await node.stop()


def _logged_signal(
    number: signal.Signals, handle: Callable[[], None]
) -> Callable[[], None]:
    def log_and_handle() -> None:
        log.info("process: %s received", number.name)
        handle()

    return log_and_handle
