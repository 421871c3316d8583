"""Contenders that receive announcements of the lease from its holder."""

import asyncio
import unittest
from unittest.mock import AsyncMock

from fireflyward.clock import ManualClock
from fireflyward.leases import LeaseAnnouncer, LeaseRow, LeaseTask
from fireflyward.peers import PeerCodec, PeerLink
from fireflyward.standins import MemoryTable
from tests.positions import at

_LEASE_MS = 3_000
_LIMIT_S = 20


class _CountingTable(MemoryTable):
    reads = 0

    async def get(self, key):
        self.reads += 1
        return await super().get(key)


class AnnouncerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = _CountingTable()
        self.delivers_announcements = True
        self.other = self.make("b")
        self.holder = self.make("a", on_row_written=self.announce)

    def make(self, holder, **options):
        return LeaseTask(
            "orders",
            clock=self.clock,
            table=self.table,
            holder=holder,
            lease_ms=_LEASE_MS,
            **options,
        )

    def announce(self, row, position):
        if self.delivers_announcements:
            self.delivery = asyncio.ensure_future(
                self.other.on_row_received(row, position)
            )

    async def hold(self):
        holding = asyncio.create_task(self.holder.run())
        await self.clock.advance_ms(1)
        contending = asyncio.create_task(self.other.run())
        self.addCleanup(contending.cancel)
        self.addCleanup(holding.cancel)
        return holding

    async def test_contender_with_recent_announcements_does_not_poll_the_table(self):
        """Guards against ten store calls a second for one lease in a fleet of 18 nodes.

        Seven contenders polled the row all the time while its holder renewed it.
        """
        await self.hold()
        self.table.reads = 0
        await self.clock.advance_ms(30_000)
        self.assertEqual(self.holder.claim().fencing, 1)
        self.assertLessEqual(self.table.reads, 1)

    async def test_silent_holder_is_succeeded_as_soon_as_without_announcements(self):
        """Guards against a rollout that pauses for too long after its holder stopped.

        The holder lost power. Contenders that had received its announcements began to
        count the lease only at their next poll, which took seconds longer.
        """
        holding = await self.hold()
        await self.clock.advance_ms(10_000)
        holding.cancel()
        await self.clock.advance_ms(_LEASE_MS + 2_100)
        self.assertEqual(self.other.claim().fencing, 2)

    async def test_late_announcements_never_lead_to_two_holders(self):
        """A late or repeated announcement must not make a contender acquire earlier."""
        await self.hold()
        row = LeaseRow("a", "claim", 1)
        for _ in range(40):
            await self.other.on_row_received(row, at(0))
            await self.clock.advance_ms(250)
            self.assertIsNone(self.other.claim())

    async def test_contender_without_announcements_polls_the_table(self):
        self.delivers_announcements = False
        await self.hold()
        self.table.reads = 0
        await self.clock.advance_ms(30_000)
        self.assertGreater(self.table.reads, 20)

    async def test_lease_that_is_handed_over_is_acquired_at_once(self):
        holding = await self.hold()
        await self.clock.advance_ms(10_000)
        holding.cancel()
        await self.holder.hand_over()
        await self.clock.advance_ms(100)
        self.assertEqual(self.other.claim().fencing, 2)


class DelayedAnnouncementTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, **options):
        codec = PeerCodec((b"k" * 16,))
        link = PeerLink(node_name=name, incarnation=1, codec=codec, **options)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link

    async def test_an_announcement_that_waited_in_a_standstill_is_not_recent(self):
        """Guards against a contender that waits for a lease that has expired."""
        contender = AsyncMock()
        contender.name = "orders"
        sender = await self.start("a")
        receiver = await self.start("b", has_backlog=lambda: True)
        LeaseAnnouncer(contender, contenders=list).use(receiver)
        holder = LeaseAnnouncer(contender, contenders=lambda: [receiver.address])
        holder.use(sender)
        holder.announce(LeaseRow("a", "c", 1), at(4))
        async with asyncio.timeout(_LIMIT_S):
            while not receiver.dropped["delayed datagrams"]:
                await asyncio.sleep(0.005)
        contender.on_row_received.assert_not_called()
