import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.limits import AdmissionGate, AdmissionRequest, Ticket
from fireflyward.outcomes import NotRun, Reason


class AdmissionGateTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.gate = AdmissionGate(self.clock)

    def ask(self, account="a"):
        return AdmissionRequest(account, "m", 100.0, 100, self.clock.now_ms() + 60_000)

    async def fill(self):
        return [await self.gate.enter(self.ask()) for _ in range(8)]

    async def test_waiting_request_enters_when_a_first_token_comes(self):
        running = await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.ask()))
        await self.clock.advance_ms(100)
        self.assertFalse(waiting.done())
        self.gate.on_first_token(running[0], 0.0)
        await self.clock.advance_ms(0)
        self.assertIsInstance(waiting.result(), Ticket)

    async def test_refusal_is_told_at_its_time_without_any_other_event(self):
        await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.ask()))
        await self.clock.advance_ms(2_001)
        self.assertIsInstance(waiting.result(), NotRun)
        self.assertEqual(waiting.result().reason, Reason.OVERLOADED)
        self.assertEqual(self.gate.total(), 8)

    async def test_caller_that_goes_while_it_waits_frees_its_place(self):
        """Symptom: an account is refused for its limit and has nothing in flight.
        Sequence: its callers close while they wait. Cause: only requests that had
        run were counted out."""
        await self.fill()
        waiting = asyncio.create_task(self.gate.enter(self.ask()))
        await self.clock.advance_ms(10)
        waiting.cancel()
        await self.clock.advance_ms(10)
        self.assertEqual(self.gate.total(), 8)
