"""The end of a process whose planned stop fails."""

import asyncio
import signal
import unittest
from unittest import mock

from fireflyward._held_signals import HeldSignals
from fireflyward.clock import Clock
from fireflyward.fleet import _process


class FailedStopTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_that_raises_is_logged_and_has_a_status(self):
        """Guards against an end that leaves nothing in the log."""
        node = mock.MagicMock()
        node.stop = mock.AsyncMock(side_effect=ValueError("unexpected"))
        held = HeldSignals()
        self.addCleanup(held.release)
        with mock.patch.object(_process, "_start", mock.AsyncMock(return_value=node)):
            running = asyncio.create_task(_process._run("", held, Clock()))
            while not node.tasks.start.called:
                await asyncio.sleep(0.01)
            with self.assertLogs("fireflyward.process", "CRITICAL") as logs:
                signal.raise_signal(signal.SIGTERM)
                status = await running
        self.assertEqual(status, 1)
        self.assertIn("error in stop", logs.output[0])


if __name__ == "__main__":
    unittest.main()
