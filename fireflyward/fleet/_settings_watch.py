"""Follows the settings file, with and without a signal."""

import asyncio
import logging
import os
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.platform import BadSettings, load_settings

log = logging.getLogger("fireflyward.settings")

# The file may change without a signal; it is a few hundred bytes.
_LOOK_MS = 5_000


class SettingsWatch:
    """Reads the file again when it changed or a signal says so.

    Settings that are wrong are told in the log and change nothing: a node that
    ended by them would take its requests along.
    """

    def __init__(self, path: str, *, clock: Clock) -> None:
        self._path = path
        self._clock = clock
        self._signalled = asyncio.Event()
        self._seen = self._stamp()

    def signal(self) -> None:
        """Have the file read at once."""
        self._signalled.set()

    async def run(self, take: Callable[[FleetSettings], None]) -> None:
        """Give new settings to ``take`` until cancelled."""
        while True:
            looking = asyncio.ensure_future(self._signalled.wait())
            pause = asyncio.ensure_future(self._clock.sleep_ms(_LOOK_MS))
            try:
                await asyncio.wait(
                    {looking, pause}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                looking.cancel()
                pause.cancel()
            self.look(take)

    def look(self, take: Callable[[FleetSettings], None]) -> None:
        """Read the file if it changed since it was read last."""
        stamp = self._stamp()
        if stamp == self._seen and not self._signalled.is_set():
            return
        self._signalled.clear()
        self._seen = stamp
        try:
            take(load_settings(self._path))
        except BadSettings as error:
            log.error("settings: kept as they are: %s", error)

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
