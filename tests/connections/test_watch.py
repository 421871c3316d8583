import asyncio
import unittest

from fireflyward.clock import Clock, ManualClock
from fireflyward.connections import SilenceTimer, timed_out, was_silent


class WatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_work_that_is_heard_runs_to_its_end(self):
        clock = ManualClock()
        heard = SilenceTimer(clock, 100)

        async def work():
            for _ in range(3):
                await clock.sleep_ms(80)
                heard.restart(100)

        task = asyncio.ensure_future(was_silent(clock, work(), heard))
        await clock.advance_ms(240)
        self.assertIs(await task, False)

    async def test_silent_work_is_cancelled_when_its_limit_is_over(self):
        clock = ManualClock()
        ended = []

        async def work():
            try:
                await clock.sleep_ms(1_000)
            finally:
                ended.append(clock.now_ms())

        task = asyncio.ensure_future(
            was_silent(clock, work(), SilenceTimer(clock, 100))
        )
        await clock.advance_ms(99)
        self.assertEqual(ended, [])
        await clock.advance_ms(1)
        self.assertEqual(ended, [100])
        self.assertIs(await task, True)
        self.assertEqual(task.cancelling(), 0)

    async def test_the_task_goes_on_after_its_silent_work(self):
        clock = ManualClock()

        async def go_on():
            is_silent = await was_silent(
                clock, asyncio.Event().wait(), SilenceTimer(clock, 9)
            )
            await clock.sleep_ms(50)
            return is_silent, clock.now_ms()

        task = asyncio.ensure_future(go_on())
        await clock.advance_ms(59)
        self.assertEqual(await task, (True, 59))

    async def test_a_stopped_task_is_not_taken_for_a_silent_one(self):
        """A run that was stopped went on, reading for nobody.

        Its connection fell silent in the moment in which the run ended, and the
        cancelling of its task was taken for that of the alarm.
        """
        clock = ManualClock()

        def left_ms():
            if clock.now_ms() < 100:
                return 100
            task.cancel()
            return 0

        task = asyncio.ensure_future(timed_out(clock, left_ms, asyncio.Event().wait()))
        await clock.advance_ms(100)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_an_error_of_the_work_is_passed_on(self):
        clock = ManualClock()

        async def work():
            raise ValueError("of the work")

        with self.assertRaisesRegex(ValueError, "of the work"):
            await timed_out(clock, lambda: 100, work())


class TimerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_manual_clock_calls_at_the_time(self):
        clock, calls = ManualClock(), []
        clock.call_later_ms(50, lambda: calls.append(clock.now_ms()))
        await clock.advance_ms(49)
        self.assertEqual(calls, [])
        await clock.advance_ms(1)
        self.assertEqual(calls, [50])

    async def test_a_cancelled_timer_does_not_call(self):
        clock, calls = ManualClock(), []
        clock.call_later_ms(50, lambda: calls.append("late")).cancel()
        await clock.advance_ms(100)
        self.assertEqual(calls, [])

    async def test_the_machines_clock_makes_no_task_for_a_timer(self):
        tasks_before = len(asyncio.all_tasks())
        called = asyncio.Event()
        Clock().call_later_ms(0, called.set)
        self.assertEqual(len(asyncio.all_tasks()), tasks_before)
        await called.wait()
