"""Answers to writes whose outcome was already read from the row."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.leases import (
    HandOver,
    Lease,
    LeaseTask,
    Released,
    RowRead,
    Tick,
    WriteAnswered,
)
from fireflyward.standins import MemoryTable

from .test_lease import LEASE_MS, FakeRow, drive


class SlowTable(MemoryTable):
    """Applies commits at once, and answers them after ``delay_ms``."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.delay_ms = 0

    async def commit(self, **arguments):
        result = await super().commit(**arguments)
        await self.clock.sleep_ms(self.delay_ms)
        return result


class LateAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.table = SlowTable(self.clock)
        self.lease = LeaseTask("x", clock=self.clock, table=self.table, holder="a")
        await self.lease.step()

    async def test_release_that_a_poll_finds_in_the_row(self):
        """Guards against a planned stop that ends with an exception.

        The table applies the release and answers late. Meanwhile the lease's periodic
        step reads the row, and no write is pending when the answer arrives.
        """
        self.table.delay_ms = 500
        hand_over = asyncio.create_task(self.lease.hand_over())
        await self.clock.advance_ms(100)
        await self.lease.step()
        await self.clock.advance_ms(1_000)
        self.assertTrue(await hand_over)


class MixedAnswerTests(unittest.TestCase):
    def test_answer_to_a_renewal_does_not_count_for_the_release(self):
        """Guards against a release that counts as written before it is.

        The renewal's effect is read from the row, the release is sent, and then the
        answer to the renewal arrives.
        """
        table = FakeRow()
        lease = Lease(holder="a", lease_ms=LEASE_MS)
        drive(lease, table, 0, Tick())
        (renewal,) = lease.decide(3_000, Tick(renews_now=True))
        answer = WriteAnswered(table.write(renewal), renewal.row)
        lease.decide(3_100, RowRead(table.read()))
        *_, release = lease.decide(3_200, HandOver())
        self.assertEqual(lease.decide(3_300, answer), [])
        self.assertFalse(lease.is_settled)
        answer = WriteAnswered(table.write(release), release.row)
        self.assertEqual(lease.decide(3_400, answer), [Released()])
