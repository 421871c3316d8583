"""The outcome of a request that fails with an unexpected exception."""

import unittest
from unittest.mock import AsyncMock, MagicMock

from fireflyward.clock import ManualClock
from fireflyward.fleet._callers import CallerServer
from fireflyward.forwarding import Trace
from fireflyward.outcomes import NotRun, Unknown


class UnexpectedExceptionTests(unittest.IsolatedAsyncioTestCase):
    async def outcome(self, sends):
        server = CallerServer(
            clock=ManualClock(0),
            routes=MagicMock(),
            forwarder=MagicMock(),
            metrics=MagicMock(),
            gate=MagicMock(),
            accept_limit=MagicMock(),
            loads=MagicMock(),
        )
        server._serve = AsyncMock(side_effect=ValueError("unexpected"))
        trace = Trace()
        trace.sends = sends
        with self.assertLogs("fireflyward.callers", "ERROR"):
            return await server._serve_safely(None, None, None, 0, trace)

    async def test_a_request_that_was_not_sent_has_not_run(self):
        """Guards against 502 for a request that this node never sent."""
        outcome = await self.outcome(sends=0)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_a_request_that_was_sent_may_have_run(self):
        self.assertIsInstance(await self.outcome(sends=1), Unknown)
