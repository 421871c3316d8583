"""The end of a process whose planned stop fails."""

import asyncio
import contextlib
import signal
import unittest
from unittest import mock

from fireflyward._held_signals import HeldSignals
from fireflyward.clock import Clock
from fireflyward.fleet import _process
from fireflyward.invariants import Invariant, InvariantBroken, _invariants, require

# Only a test that fails waits as long.
_TIMEOUT_S = 10


class FailedStopTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_that_raises_is_logged_and_has_a_status(self):
        """Guards against an end that leaves nothing in the log."""

        async def fail():
            raise ValueError("unexpected")

        with self.assertLogs("fireflyward.process", "CRITICAL") as logs:
            self.assertEqual(await self.status_after(fail), 1)
        self.assertIn("error in stop", logs.output[0])

    async def test_an_invariant_that_breaks_during_a_stop_ends_it_at_once(self):
        """Guards against a planned stop by a state that cannot be trusted."""

        async def break_invariant():
            with contextlib.suppress(InvariantBroken):
                require(False, Invariant.ONE_END, "twice")
            await asyncio.Event().wait()

        self.assertEqual(await self.status_after(break_invariant), 3)

    async def status_after(self, stop):
        """Return the status of a process whose node stops by ``stop``."""
        node = mock.MagicMock(stop=stop)
        held = HeldSignals()
        self.addCleanup(held.release)
        start = mock.AsyncMock(return_value=node)
        with (
            mock.patch.object(_process, "_start_unless", start),
            mock.patch.object(_invariants, "_listeners", []),
        ):
            running = asyncio.create_task(_process._run("", held, Clock()))
            while not node.tasks.start.called:
                await asyncio.sleep(0.01)
            signal.raise_signal(signal.SIGTERM)
            async with asyncio.timeout(_TIMEOUT_S):
                return await running


if __name__ == "__main__":
    unittest.main()
