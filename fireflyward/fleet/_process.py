"""The process of one node: its settings, its signals and its end."""

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
    """Run a node until SIGTERM; return 0, or 2 for settings that are wrong."""
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
    changed = SettingsWatch(path, clock=Clock())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.request_reload)
    gc.freeze()
    node = FleetNode(settings, clock=Clock())
    await node.start()
    following = asyncio.create_task(changed.run(node.reload))
    await stop.wait()
    following.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await node.stop()
