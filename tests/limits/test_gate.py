import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.limits import AdmissionGate, AdmissionRequest, Ticket
from fireflyward.outcomes import NotRun, Reason


class AdmissionGateTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.gate = AdmissionGate(self.clock)

    def request(self, account="a"):
        return AdmissionRequest(account, "m", 100.0, 100, self.clock.now_ms() + 60_000)

    async def fill(self):
        return [await self.gate.enter(self.request()) for _ in range(8)]

    async def test_waiting_request_is_admitted_after_a_first_token(self):
        running = await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.request()))
        await self.clock.advance_ms(100)
        self.assertFalse(waiting.done())
        self.gate.on_first_token(running[0], 0.0)
        await self.clock.advance_ms(0)
        self.assertIsInstance(waiting.result(), Ticket)

    async def test_rejection_is_returned_in_time_without_any_other_event(self):
        await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.request()))
        await self.clock.advance_ms(2_001)
        self.assertIsInstance(waiting.result(), NotRun)
        self.assertEqual(waiting.result().reason, Reason.OVERLOADED)
        self.assertEqual(self.gate.total(), 8)

    async def test_caller_that_disconnects_while_waiting_is_no_longer_counted(self):
        """An account was rejected at its limit without any request in flight. Its
        callers had disconnected while waiting, and only requests that had run were
        removed from the count."""
        await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.request()))
        await self.clock.advance_ms(10)
        waiting.cancel()
        await self.clock.advance_ms(10)
        self.assertEqual(self.gate.total(), 8)
