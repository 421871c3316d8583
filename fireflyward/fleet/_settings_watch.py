"""Reloads the settings file when it changes or the process gets a signal."""

import asyncio
import logging
import os
from collections.abc import Callable

from fireflyward.clock import Clock
from fireflyward.deployment import FleetSettings
from fireflyward.platform import BadSettings, load_settings

log = logging.getLogger("fireflyward.settings")

# The file may change without a signal. Reading it is cheap: it has a few hundred bytes.
_POLL_INTERVAL_MS = 5_000


class SettingsWatch:
    """Reads the file again after it changed or after a signal.

    Invalid settings are logged and ignored, because a node that exited would cut its
    requests.
    """

    def __init__(self, path: str, *, clock: Clock) -> None:
        self._path = path
        self._clock = clock
        self._reload_requested = asyncio.Event()
        self._last_stamp = self._file_stamp()

    def request_reload(self) -> None:
        """Read the file at once, even if it has not changed."""
        self._reload_requested.set()

    async def run(self, on_settings: Callable[[FleetSettings], None]) -> None:
        """Pass new settings to ``on_settings``, until cancelled."""
        while True:
            reload_wait = asyncio.ensure_future(self._reload_requested.wait())
            pause = asyncio.ensure_future(self._clock.sleep_ms(_POLL_INTERVAL_MS))
            try:
                await asyncio.wait(
                    {reload_wait, pause}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                reload_wait.cancel()
                pause.cancel()
            self.check(on_settings)

    def check(self, on_settings: Callable[[FleetSettings], None]) -> None:
        """Read the file if it changed since the last read or a reload was requested."""
        stamp = self._file_stamp()
        if stamp == self._last_stamp and not self._reload_requested.is_set():
            return
        self._reload_requested.clear()
        self._last_stamp = stamp
        try:
            on_settings(load_settings(self._path))
        except BadSettings as error:
            log.error(
                "settings: reload failed, the current settings stay in force: %s", error
            )

    def _file_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
