"""Loads the settings file, and again when it changes or the process gets a signal."""

import asyncio
import logging
import os
from collections.abc import Callable

from fireflyward.clock import Clock, within_ms
from fireflyward.deployment import FleetSettings
from fireflyward.platform import BadSettings, IncompleteSettings, load_settings

log = logging.getLogger("fireflyward.settings")

# The file may change without a signal. Reading it is cheap: it has a few hundred bytes.
_POLL_INTERVAL_MS = 5_000
# A file that could not be read is being written, or is soon replaced.
_RETRY_INTERVAL_MS = 100
_START_TIMEOUT_MS = 5_000


class SettingsWatch:
    """Reads the file again after it changed or after a signal.

    Invalid settings are logged and ignored, because a node that exited would cut its
    requests. They are read again soon, because the time of a file may stay the same
    while it is being written.
    """

    def __init__(self, path: str, *, clock: Clock) -> None:
        self._path = path
        self._clock = clock
        self._reload_requested = asyncio.Event()
        self._last_stamp = self._file_stamp()
        # Why the last read failed, or empty.
        self._reason = ""

    async def load_first(self) -> FleetSettings:
        """Return the settings with which a node starts.

        A file that is missing or incomplete is read again for a few seconds; after
        that, or if a field is invalid, raise ``BadSettings``.
        """
        end_ms = self._clock.now_ms() + _START_TIMEOUT_MS
        while True:
            self._last_stamp = self._file_stamp()
            try:
                return load_settings(self._path)
            except IncompleteSettings as error:
                if self._clock.now_ms() >= end_ms:
                    raise
                if not self._reason:
                    log.warning("settings: incomplete, will be read again: %s", error)
                self._reason = str(error)
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)

    def request_reload(self) -> None:
        """Read the file at once, even if it has not changed."""
        self._reload_requested.set()

    async def run(self, on_settings: Callable[[FleetSettings], None]) -> None:
        """Pass new settings to ``on_settings``, until cancelled."""
        while True:
            pause_ms = _RETRY_INTERVAL_MS if self._reason else _POLL_INTERVAL_MS
            await within_ms(self._clock, pause_ms, self._reload_requested.wait())
            self.check(on_settings)

    def check(self, on_settings: Callable[[FleetSettings], None]) -> None:
        """Read the file if it changed, a reload was requested or the last one failed.

        A reload counts as failed until ``on_settings`` has returned.
        """
        stamp = self._file_stamp()
        is_due = self._reload_requested.is_set() or self._reason
        if stamp == self._last_stamp and not is_due:
            return
        self._reload_requested.clear()
        self._last_stamp = stamp
        try:
            settings = load_settings(self._path)
        except BadSettings as error:
            if self._reason != str(error):
                log.error(
                    "settings: reload failed, the current settings stay in force: %s",
                    error,
                )
            self._reason = str(error)
            return
        self._reason = "the node rejected them"
        on_settings(settings)
        self._reason = ""

    def _file_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size
