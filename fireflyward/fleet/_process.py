"""The process of one node: settings, signals and exit status."""

import asyncio
import contextlib
import gc
import os
import signal
import sys

from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.platform import SETTINGS_VARIABLE, BadSettings, load_settings

from ._logs import set_up_logging
from ._node import FleetNode
from ._settings_watch import SettingsWatch

_BAD_SETTINGS = 2


def run_process() -> int:
    """Run a node until SIGTERM; return 0, or 2 if the settings are invalid."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except BadSettings as error:
        print(f"fireflyward: settings: {error}", file=sys.stderr)
        return _BAD_SETTINGS
    set_up_logging(Clock())
    asyncio.run(_run(settings, path))
    return 0


async def _run(settings: FleetSettings, path: str) -> None:
    stop = asyncio.Event()
    settings_watch = SettingsWatch(path, clock=Clock())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_watch.request_reload)
    gc.freeze()
    node = FleetNode(settings, clock=Clock())
    await node.start()
    reload_task = asyncio.create_task(settings_watch.run(node.reload))
    await stop.wait()
    reload_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await node.stop()
