import asyncio
import unittest

from fireflyward.clock import Clock, ManualClock
from fireflyward.connections import SilenceTimer, timed_out, was_silent


class WatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_work_on_an_active_connection_is_not_cancelled(self):
        clock = ManualClock()
        silence_timer = SilenceTimer(clock, 100)

        async def work():
            for _ in range(3):
                await clock.sleep_ms(80)
                silence_timer.restart(100)

        task = asyncio.ensure_future(was_silent(clock, work(), silence_timer))
        await clock.advance_ms(240)
        self.assertIs(await task, False)

    async def test_work_on_a_silent_connection_is_cancelled_after_the_limit(self):
        clock = ManualClock()
        cancelled_at_ms = []

        async def work():
            try:
                await clock.sleep_ms(1_000)
            finally:
                cancelled_at_ms.append(clock.now_ms())

        task = asyncio.ensure_future(
            was_silent(clock, work(), SilenceTimer(clock, 100))
        )
        await clock.advance_ms(99)
        self.assertEqual(cancelled_at_ms, [])
        await clock.advance_ms(1)
        self.assertEqual(cancelled_at_ms, [100])
        self.assertIs(await task, True)
        self.assertEqual(task.cancelling(), 0)

    async def test_the_task_continues_after_its_work_was_cancelled(self):
        clock = ManualClock()

        async def continue_after_silence():
            is_silent = await was_silent(
                clock, asyncio.Event().wait(), SilenceTimer(clock, 9)
            )
            await clock.sleep_ms(50)
            return is_silent, clock.now_ms()

        task = asyncio.ensure_future(continue_after_silence())
        await clock.advance_ms(59)
        self.assertEqual(await task, (True, 59))

    async def test_a_cancelled_task_does_not_count_as_timed_out(self):
        """Guards against a stopped run that continues without a reader.

        The run's connection reached the silence limit when its task was cancelled, and
        the cancellation counted as the one by the timeout.
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

    async def test_an_error_of_the_work_is_raised(self):
        clock = ManualClock()

        async def work():
            raise ValueError("of the work")

        with self.assertRaisesRegex(ValueError, "of the work"):
            await timed_out(clock, lambda: 100, work())


class TimerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_manual_clock_calls_at_the_given_time(self):
        clock, calls = ManualClock(), []
        clock.call_later_ms(50, lambda: calls.append(clock.now_ms()))
        await clock.advance_ms(49)
        self.assertEqual(calls, [])
        await clock.advance_ms(1)
        self.assertEqual(calls, [50])

    async def test_a_cancelled_timer_makes_no_call(self):
        clock, calls = ManualClock(), []
        clock.call_later_ms(50, lambda: calls.append("late")).cancel()
        await clock.advance_ms(100)
        self.assertEqual(calls, [])

    async def test_the_system_clock_creates_no_task_for_a_timer(self):
        tasks_before = len(asyncio.all_tasks())
        called = asyncio.Event()
        Clock().call_later_ms(0, called.set)
        self.assertEqual(len(asyncio.all_tasks()), tasks_before)
        await called.wait()
