"""How long a node's first requests wait at the gate."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.fleet._start_gate import StartGate


class StartGateTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.gate = StartGate(self.clock)

    async def test_waiting_requests_pass_when_the_gate_opens(self):
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await self.clock.advance_ms(300)
        self.assertFalse(waiting.done())
        self.gate.open()
        await self.clock.advance_ms(1)
        self.assertTrue(waiting.done())

    async def test_requests_wait_no_longer_than_the_limit(self):
        """Guards against callers that wait at a node that cannot reach the store."""
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await self.clock.advance_ms(499)
        self.assertFalse(waiting.done())
        await self.clock.advance_ms(1)
        self.assertTrue(waiting.done())

    async def test_no_request_waits_after_the_gate_has_opened(self):
        self.gate.open()
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await asyncio.sleep(0)
        self.assertTrue(waiting.done())
