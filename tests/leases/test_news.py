"""Contenders that hear of the lease from its holder."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.leases import LeaseRow, LeaseTask
from fireflyward.standins import MemoryTable
from tests.positions import at

_LEASE_MS = 3_000


class _CountingTable(MemoryTable):
    reads = 0

    async def get(self, key):
        self.reads += 1
        return await super().get(key)


class NewsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = _CountingTable()
        self.is_heard = True
        self.other = self.make("b")
        self.holder = self.make("a", on_row_written=self.tell)

    def make(self, holder, **options):
        return LeaseTask(
            "orders",
            clock=self.clock,
            table=self.table,
            holder=holder,
            lease_ms=_LEASE_MS,
            **options,
        )

    def tell(self, row, position):
        if self.is_heard:
            self.told = asyncio.ensure_future(self.other.on_told(row, position))

    async def hold(self):
        holding = asyncio.create_task(self.holder.run())
        await self.clock.advance_ms(1)
        contending = asyncio.create_task(self.other.run())
        self.addCleanup(contending.cancel)
        self.addCleanup(holding.cancel)
        return holding

    async def test_who_hears_the_holder_does_not_look_at_the_table(self):
        """Symptom: a fleet of 18 nodes calls the store ten times a second for a lease.

        Seven contenders looked at its row all the time while its holder was well.
        """
        await self.hold()
        self.table.reads = 0
        await self.clock.advance_ms(30_000)
        self.assertEqual(self.holder.claim().fencing, 1)
        self.assertLessEqual(self.table.reads, 1)

    async def test_a_holder_that_falls_silent_is_followed_as_soon_as_before(self):
        """Symptom: a rollout rests for seconds longer after its holder lost power.

        Contenders that had been told began to count only when they looked again.
        """
        holding = await self.hold()
        await self.clock.advance_ms(10_000)
        holding.cancel()
        await self.clock.advance_ms(_LEASE_MS + 2_100)
        self.assertEqual(self.other.claim().fencing, 2)

    async def test_two_hold_never_however_late_the_news_is(self):
        """A row that is told late, or again, must never let a lease be taken sooner."""
        await self.hold()
        row = LeaseRow("a", "claim", 1)
        for _ in range(40):
            await self.other.on_told(row, at(0))
            await self.clock.advance_ms(250)
            self.assertIsNone(self.other.claim())

    async def test_without_news_the_table_is_looked_at(self):
        self.is_heard = False
        await self.hold()
        self.table.reads = 0
        await self.clock.advance_ms(30_000)
        self.assertGreater(self.table.reads, 20)

    async def test_a_lease_that_is_handed_over_is_taken_at_once(self):
        holding = await self.hold()
        await self.clock.advance_ms(10_000)
        holding.cancel()
        await self.holder.hand_over()
        await self.clock.advance_ms(100)
        self.assertEqual(self.other.claim().fencing, 2)
