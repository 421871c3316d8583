"""Reloads of the settings while a node runs."""

import tempfile
import unittest
from pathlib import Path

from fireflyward.clock import ManualClock
from fireflyward.fleet._settings_watch import SettingsWatch
from tests.platform_standins import settings_text


class SettingsWatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings"
        self.write(4)
        self.loaded = []
        self.watch = SettingsWatch(str(self.path), clock=ManualClock())

    def write(self, grace_s):
        bounds = {"grace-s": grace_s}
        self.path.write_text(settings_text("10.0.0.1:80", (1, 2, 3), bounds=bounds))

    async def test_a_change_without_a_signal_is_loaded(self):
        self.watch.check(self.loaded.append)
        self.assertEqual(self.loaded, [])
        self.write(11)
        self.watch.check(self.loaded.append)
        self.assertEqual(self.loaded[0].bounds.grace_ms, 11_000)
        self.watch.check(self.loaded.append)
        self.assertEqual(len(self.loaded), 1)

    async def test_a_signal_reloads_the_file(self):
        self.watch.request_reload()
        self.watch.check(self.loaded.append)
        self.assertEqual(len(self.loaded), 1)

    async def test_invalid_settings_are_ignored(self):
        self.path.write_text("{")
        with self.assertLogs("fireflyward.settings", "ERROR"):
            self.watch.check(self.loaded.append)
        self.assertEqual(self.loaded, [])
