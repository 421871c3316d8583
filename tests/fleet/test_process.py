"""The exit status of a node's process, and the line that goes with it."""

import asyncio
import contextlib
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fireflyward._held_signals import HeldSignals
from fireflyward.clock import Clock
from fireflyward.fleet import _process
from fireflyward.fleet._node import FleetNode
from fireflyward.invariants import Invariant, InvariantBroken, require
from tests.platform_standins import settings_text

from .process_fixtures import NO_STORE, ProcessTestCase

# Only a test that fails waits as long.
_TIMEOUT_S = 60


async def request_stop(node):
    os.kill(os.getpid(), signal.SIGTERM)


async def break_invariant(node):
    with contextlib.suppress(InvariantBroken):
        require(False, Invariant.ONE_END, "on purpose")


async def break_invariant_and_wait(node):
    await break_invariant(node)
    await asyncio.Event().wait()


class RunTests(unittest.IsolatedAsyncioTestCase):
    async def run_process(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "settings"
        path.write_text(settings_text(NO_STORE, (0, 0, 0)))
        held = HeldSignals()
        self.addCleanup(held.release)
        async with asyncio.timeout(_TIMEOUT_S):
            return await _process._run(str(path), held, Clock())

    async def test_an_invariant_that_breaks_ends_the_process_at_every_stage(self):
        """Guards against a process that goes on, or ends as planned, in a wrong state.

        In a stop, the remaining requests were still served for seconds, and the exit
        status was that of a planned stop.
        """
        planned_stop = mock.AsyncMock()
        for start, stop in (
            (break_invariant_and_wait, planned_stop),
            (break_invariant, planned_stop),
            (request_stop, break_invariant_and_wait),
        ):
            with (
                self.subTest(start=start, stop=stop),
                mock.patch.object(FleetNode, "start", start),
                mock.patch.object(FleetNode, "stop", stop),
                self.assertLogs(level="CRITICAL"),
            ):
                self.assertEqual(await self.run_process(), 3)


class ImportTests(ProcessTestCase):
    async def test_a_library_that_is_missing_is_named_in_the_log(self):
        """Guards against an unfinished installation that leaves no line in the log."""
        (self.folder / "msgspec.py").write_text("raise ImportError('cut short')")
        node = await self.start(PYTHONPATH=f"{self.folder}{os.pathsep}{os.getcwd()}")
        self.assertIn("cut short", await node.line("ends with status 1"))
        self.assertEqual(await node.status(), 1)
        self.assertNotIn("\nTraceback", "".join(node.lines))
