"""Reloads of the settings while a node runs."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fireflyward.clock import ManualClock
from fireflyward.fleet._settings_watch import SettingsWatch
from fireflyward.platform import BadSettings, IncompleteSettings
from tests.platform_standins import settings_text


class SettingsWatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings"
        self.write(4)
        self.loaded = []
        self.clock = ManualClock()
        self.watch = SettingsWatch(str(self.path), clock=self.clock)

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

    async def run_watch(self, on_settings):
        running = asyncio.create_task(self.watch.run(on_settings))
        self.addAsyncCleanup(asyncio.gather, running, return_exceptions=True)
        self.addCleanup(running.cancel)
        await self.clock.advance_ms(0)
        return running

    async def test_incomplete_settings_are_read_again_soon(self):
        """Guards against settings that are read while half written, and never again."""
        whole = self.path.read_bytes()
        self.path.write_bytes(whole[:-10])
        await self.run_watch(self.loaded.append)
        self.watch.request_reload()
        with self.assertLogs("fireflyward.settings", "ERROR") as logs:
            await self.clock.advance_ms(400)
        self.assertEqual(len(logs.output), 1)
        self.assertEqual(self.loaded, [])
        # A write that leaves the time of the file as it was.
        with mock.patch.object(self.watch, "_file_stamp", return_value=(1, 1)):
            await self.clock.advance_ms(200)
            self.path.write_bytes(whole)
            await self.clock.advance_ms(200)
            self.assertEqual(len(self.loaded), 1)
            await self.clock.advance_ms(60_000)
            self.assertEqual(len(self.loaded), 1)

    async def test_settings_that_could_not_be_applied_are_applied_again(self):
        """Guards against a change that is lost with the task that applied it."""
        applied = mock.Mock(side_effect=[ValueError, None])
        running = await self.run_watch(applied)
        self.watch.request_reload()
        await self.clock.advance_ms(100)
        with self.assertRaises(ValueError):
            await running
        await self.run_watch(applied)
        await self.clock.advance_ms(400)
        self.assertEqual(applied.call_count, 2)


class FirstLoadTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "settings"
        self.clock = ManualClock()
        self.watch = SettingsWatch(str(self.path), clock=self.clock)

    async def load_first(self):
        loading = asyncio.create_task(self.watch.load_first())
        self.addCleanup(loading.cancel)
        await self.clock.advance_ms(0)
        return loading

    async def test_incomplete_settings_are_waited_for_within_a_limit(self):
        """Guards against a start that waits for settings for ever."""
        with self.assertLogs("fireflyward.settings", "WARNING") as logs:
            loading = await self.load_first()
            await self.clock.advance_ms(4_900)
            self.assertFalse(loading.done())
            await self.clock.advance_ms(200)
        self.assertEqual(len(logs.output), 1)
        with self.assertRaises(IncompleteSettings):
            await loading

    async def test_an_invalid_field_ends_the_start_at_once(self):
        self.path.write_text(settings_text("10.0.0.1:80", (1, 2, 3), bounds=7))
        loading = await self.load_first()
        with self.assertRaisesRegex(BadSettings, "bounds"):
            await loading

    async def test_a_change_between_two_loads_is_seen(self):
        self.path.write_text(settings_text("10.0.0.1:80", (1, 2, 3)))
        await (await self.load_first())
        loaded = []
        self.watch.check(loaded.append)
        self.assertEqual(loaded, [])
        self.path.write_text(settings_text("10.0.0.1:80", (1, 2, 3), zone="b-2"))
        self.watch.check(loaded.append)
        self.assertEqual(loaded[0].failure_domain, "b-2")
