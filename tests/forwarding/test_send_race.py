"""A race of two sends when one of them ends with an unexpected exception."""

import asyncio
import gc
import unittest
import weakref

from fireflyward.clock import ManualClock
from fireflyward.forwarding._messages import Streamed
from fireflyward.forwarding._send_race import SendRace

_TEST_TIMEOUT_S = 10


class SendRaceTests(unittest.IsolatedAsyncioTestCase):
    async def race(self, first, second):
        clock = ManualClock(0)
        race = SendRace(clock)
        running = asyncio.create_task(
            race.run(
                first(race, clock), lambda reason: second(race, clock), overdue_ms=10
            )
        )
        await clock.advance_ms(1_000)
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            return await running

    async def test_an_exception_of_the_losing_send_does_not_end_the_response(self):
        """Guards against a stream that breaks off because of the other send."""

        async def first(race, clock):
            try:
                await clock.sleep_ms(500)
            finally:
                raise RuntimeError("first")

        async def second(race, clock):
            race.claim(1)
            await clock.sleep_ms(50)
            return Streamed()

        with self.assertLogs("fireflyward.forwarding") as logs:
            self.assertEqual(await self.race(first, second), [(1, Streamed())])
        self.assertIn("RuntimeError: first", logs.output[0])
        self.assertEqual(len(logs.output), 1)

    async def test_with_two_exceptions_one_is_raised_and_the_other_logged(self):
        """Guards against an exception that nobody sees."""

        async def first(race, clock):
            try:
                await clock.sleep_ms(500)
            finally:
                raise RuntimeError("first")

        async def second(race, clock):
            raise RuntimeError("second")

        with self.assertLogs("fireflyward.forwarding") as logs:
            with self.assertRaisesRegex(RuntimeError, "second"):
                await self.race(first, second)
        self.assertIn("RuntimeError: first", logs.output[0])
        self.assertEqual(len(logs.output), 1)

    async def test_a_cancelled_send_releases_what_it_holds(self):
        """Guards against bodies that stay until the garbage collector runs."""

        class Body:
            pass

        bodies = []

        async def send(race, clock, number, delay_ms):
            body = Body()
            bodies.append(weakref.ref(body))
            # As a send does that refers to its race.
            claim = race.claim
            await clock.sleep_ms(delay_ms)
            claim(number)
            return Streamed()

        def first(race, clock):
            return send(race, clock, 0, 500)

        def second(race, clock):
            return send(race, clock, 1, 50)

        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        results = await self.race(first, second)
        self.assertEqual(results, [(1, Streamed())])
        self.assertEqual([body() for body in bodies], [None, None])


class DisconnectedCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_write_to_a_caller_that_left_is_not_logged_as_a_failure(self):
        """Guards against a traceback for each caller that leaves during a write."""

        async def send():
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                raise ConnectionResetError("the caller has left") from None

        race = SendRace(ManualClock())
        running = asyncio.create_task(
            race.run(send(), lambda reason: None, overdue_ms=None)
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        with self.assertNoLogs("fireflyward", "ERROR"):
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
