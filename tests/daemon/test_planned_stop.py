import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.daemon import StopStep
from fireflyward.daemon._planned_stop import PlannedStop
from fireflyward.entry import InFlight


class PlannedStopTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.in_flight = InFlight()
        self.seen = []

    def make_stop(self, *, hand_on=(), limit_ms=10_000):
        async def stop_accepting():
            self.seen.append("port closed")

        return PlannedStop(
            clock=self.clock,
            in_flight=self.in_flight,
            observe=self.seen.append,
            balancer_wait_ms=3_000,
            limit_ms=limit_ms,
            tell_peers=lambda: self.seen.append("told"),
            hand_on=hand_on,
            stop_accepting=stop_accepting,
        )

    async def start(self, stop):
        task = asyncio.create_task(stop.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        await self.clock.advance_ms(0)
        return task

    async def test_port_stays_open_for_the_balancers_time(self):
        task = await self.start(self.make_stop())
        await self.clock.advance_ms(2_900)
        self.assertNotIn("port closed", self.seen)
        await self.clock.advance_ms(200)
        self.assertIn("port closed", self.seen)
        self.assertTrue(task.done())

    async def test_requests_run_out_before_the_stop_ends(self):
        self.in_flight.enter("r1", "POST /x")
        task = await self.start(self.make_stop())
        await self.clock.advance_ms(8_000)
        self.assertFalse(task.done())
        self.in_flight.leave("r1")
        await self.clock.advance_ms(50)
        self.assertEqual(self.seen[-1], StopStep.DRAINED)

    async def test_hard_limit_cuts_what_is_left(self):
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
        self.assertEqual(self.seen[-1], StopStep.CUT)

    async def test_duty_that_cannot_be_handed_on_holds_nothing_up(self):
        """Symptom: a planned stop never ends. Sequence: SIGTERM comes while the
        table is away, the lease is to be released and no answer comes. Cause: the
        stop waited for the platform without a limit."""

        async def never():
            await asyncio.Event().wait()

        async def fails():
            raise OSError("away")

        with self.assertLogs("fireflyward.daemon") as logs:
            task = await self.start(self.make_stop(hand_on=(never, fails)))
            await self.clock.advance_ms(8_500)
        self.assertTrue(task.done())
        self.assertEqual(len(logs.output), 2)

    async def test_duties_are_handed_on_before_streams_run_out(self):
        handed = []

        async def hand_on():
            handed.append(True)

        self.in_flight.enter("r1", "POST /x")
        await self.start(self.make_stop(hand_on=(hand_on,)))
        await self.clock.advance_ms(100)
        self.assertTrue(handed)
        self.in_flight.leave("r1")
        await self.clock.advance_ms(4_000)
