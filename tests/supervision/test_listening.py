"""Addresses that are in use when a process starts."""

import asyncio
import errno
import unittest

from fireflyward.clock import ManualClock
from fireflyward.supervision import CannotListen, listen_when_free

_ADDRESS = "10.0.0.1:80"


class ListenWhenFreeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.errors = []
        self.calls = 0

    async def open_listener(self):
        self.calls += 1
        if self.errors:
            raise self.errors.pop()
        return "listener"

    async def listen(self):
        task = asyncio.create_task(
            listen_when_free("callers", _ADDRESS, self.open_listener, clock=self.clock)
        )
        await self.clock.advance_ms(0)
        return task

    async def test_an_address_is_tried_until_it_is_free(self):
        self.errors = [OSError(errno.EADDRINUSE, "in use")] * 3
        with self.assertLogs("fireflyward.process") as logs:
            task = await self.listen()
            await self.clock.advance_ms(300)
        self.assertEqual(await task, "listener")
        self.assertEqual(self.calls, 4)
        self.assertEqual(len(logs.output), 2)

    async def test_an_address_that_stays_in_use_is_given_up(self):
        self.errors = [OSError(errno.EADDRINUSE, "in use")] * 1_000
        with self.assertLogs("fireflyward.process") as logs:
            task = await self.listen()
            await self.clock.advance_ms(9_900)
            self.assertFalse(task.done())
            await self.clock.advance_ms(200)
        with self.assertRaisesRegex(CannotListen, f"{_ADDRESS} .callers.*in use"):
            await task
        self.assertEqual(len(logs.output), 1)

    async def test_an_address_that_cannot_be_used_is_given_up_at_once(self):
        self.errors = [PermissionError(errno.EACCES, "denied")]
        with self.assertRaisesRegex(CannotListen, "Permission denied"):
            await (await self.listen())
