import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.daemon import StopStep
from fireflyward.daemon._planned_stop import PlannedStop
from fireflyward.entry import InFlightRequests


class PlannedStopTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.in_flight = InFlightRequests()
        self.observed = []

    def make_stop(self, *, handovers=(), limit_ms=10_000):
        async def stop_accepting():
            self.observed.append("port closed")

        return PlannedStop(
            clock=self.clock,
            in_flight=self.in_flight,
            observe=self.observed.append,
            balancer_wait_ms=3_000,
            limit_ms=limit_ms,
            announce_leaving=lambda: self.observed.append("leaving announced"),
            handovers=handovers,
            stop_accepting=stop_accepting,
        )

    async def start(self, stop):
        task = asyncio.create_task(stop.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        await self.clock.advance_ms(0)
        return task

    async def test_port_stays_open_for_the_balancer_wait(self):
        task = await self.start(self.make_stop())
        await self.clock.advance_ms(2_900)
        self.assertNotIn("port closed", self.observed)
        await self.clock.advance_ms(200)
        self.assertIn("port closed", self.observed)
        self.assertTrue(task.done())

    async def test_requests_finish_before_the_stop_completes(self):
        self.in_flight.enter("r1", "POST /x")
        task = await self.start(self.make_stop())
        await self.clock.advance_ms(8_000)
        self.assertFalse(task.done())
        self.in_flight.leave("r1")
        await self.clock.advance_ms(50)
        self.assertEqual(self.observed[-1], StopStep.DRAINED)

    async def test_hard_limit_cuts_remaining_requests(self):
        async def never():
            self.in_flight.enter("r1", "POST /x")
            await asyncio.Event().wait()

        serving = asyncio.create_task(never())
        await asyncio.sleep(0)
        with self.assertLogs("fireflyward.daemon") as logs:
            task = await self.start(self.make_stop())
            await self.clock.advance_ms(10_100)
            await task
        self.assertTrue(serving.cancelled())
        self.assertIn("the hard limit cuts 1 requests", logs.output[0])
        self.assertIn("r1", logs.output[1])
        self.assertEqual(self.observed[-1], StopStep.CUT)

    async def test_failed_or_hanging_handover_does_not_block_the_stop(self):
        """Guards against a planned stop that never completes.

        SIGTERM arrives while the table service is unavailable, and the request that
        releases the lease gets no answer. The stop must not wait for it without a
        limit.
        """

        async def never():
            await asyncio.Event().wait()

        async def fails():
            raise OSError("unavailable")

        with self.assertLogs("fireflyward.daemon") as logs:
            task = await self.start(self.make_stop(handovers=(never, fails)))
            await self.clock.advance_ms(8_500)
        self.assertTrue(task.done())
        self.assertEqual(len(logs.output), 2)

    async def test_duties_are_handed_over_before_streams_finish(self):
        handed_over = []

        async def hand_over():
            handed_over.append(True)

        self.in_flight.enter("r1", "POST /x")
        await self.start(self.make_stop(handovers=(hand_over,)))
        await self.clock.advance_ms(100)
        self.assertTrue(handed_over)
        self.in_flight.leave("r1")
        await self.clock.advance_ms(4_000)
