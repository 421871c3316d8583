"""Runs one node of a fleet on the users' platform until SIGTERM."""

import asyncio
import gc
import os
import signal
import sys

from fireflyward.clock import Clock
from fireflyward.platform import SETTINGS_VARIABLE, BadSettings, load_settings

from ._logs import set_up_lines
from ._node import run_node

_BAD_SETTINGS = 2


def main() -> int:
    """Return 0 after a planned stop, 2 for settings that are wrong."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except BadSettings as error:
        print(f"fireflyward: settings: {error}", file=sys.stderr)
        return _BAD_SETTINGS
    set_up_lines(Clock())
    asyncio.run(_run(settings))
    return 0


async def _run(settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    gc.freeze()
    await run_node(settings, stop)


if __name__ == "__main__":
    sys.exit(main())
