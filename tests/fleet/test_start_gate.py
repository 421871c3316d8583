"""How long the first requests of a node wait."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.fleet._start_gate import StartGate


class StartGateTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.gate = StartGate(self.clock)

    async def test_what_waits_passes_when_the_gate_opens(self):
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await self.clock.advance_ms(300)
        self.assertFalse(waiting.done())
        self.gate.open()
        await self.clock.advance_ms(1)
        self.assertTrue(waiting.done())

    async def test_a_node_that_learns_nothing_holds_nobody_for_long(self):
        """Symptom: callers waited at a node that could not reach the store."""
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await self.clock.advance_ms(499)
        self.assertFalse(waiting.done())
        await self.clock.advance_ms(1)
        self.assertTrue(waiting.done())

    async def test_once_open_nothing_waits(self):
        self.gate.open()
        waiting = asyncio.create_task(self.gate.wait_until_open())
        await asyncio.sleep(0)
        self.assertTrue(waiting.done())
