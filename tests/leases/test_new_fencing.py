"""A holder that takes a higher fencing number while it holds the lease."""

import unittest

from fireflyward.backing import Uncertain
from fireflyward.clock import ManualClock
from fireflyward.leases import Gained, HandOver, Lease, LeaseTask, Lost, Tick, WriteRow
from fireflyward.standins import MemoryTable

from .test_lease import LEASE_MS, FakeRow, drive

NEW = Tick(takes_new_fencing=True)


class NewFencingTests(unittest.TestCase):
    def setUp(self):
        self.table = FakeRow()
        self.lease = Lease(holder="a", lease_ms=LEASE_MS)
        drive(self.lease, self.table, 0, Tick())

    def test_number_rises_without_a_gap(self):
        (write,) = self.lease.decide(1_000, NEW)
        self.assertEqual(self.lease.claim_at(1_000).fencing, 1)
        self.assertIsInstance(write, WriteRow)
        self.assertEqual(write.row.fencing, 2)

    def test_claim_is_replaced_and_orders_of_the_former_may_be_in_flight(self):
        (gained,) = drive(self.lease, self.table, 1_000, NEW)
        self.assertIsInstance(gained, Gained)
        self.assertEqual(gained.claim.fencing, 2)
        self.assertEqual(gained.claim.until_ms, 1_000 + LEASE_MS)
        self.assertTrue(gained.claim.after_expiry)

    def test_lost_answer_is_resolved_by_the_row(self):
        (gained,) = drive(self.lease, self.table, 1_000, NEW, lose=1)
        self.assertEqual(gained.claim.fencing, 2)

    def test_contender_takes_a_higher_number_and_only_after_the_lease(self):
        other = Lease(holder="b", lease_ms=LEASE_MS)
        drive(other, self.table, 900, Tick())
        drive(self.lease, self.table, 1_000, NEW)
        self.assertEqual(drive(other, self.table, 1_100, Tick()), [])
        self.assertEqual(drive(other, self.table, 10_400, Tick()), [])
        (gained,) = drive(other, self.table, 1_100 + 9_450, Tick())
        self.assertEqual(gained.claim.fencing, 3)

    def test_node_without_the_lease_takes_no_number(self):
        other = Lease(holder="b", lease_ms=LEASE_MS)
        self.assertEqual(drive(other, self.table, 1_000, NEW), [])

    def test_holder_that_hands_over_takes_no_number(self):
        drive(self.lease, self.table, 1_000, HandOver())
        self.assertEqual(drive(self.lease, self.table, 1_100, NEW), [])

    def test_conflict_loses_the_lease(self):
        other = Lease(holder="b", lease_ms=LEASE_MS)
        drive(other, self.table, 0, Tick())
        drive(other, self.table, 9_450, Tick())
        self.lease.decide(8_999, Tick())
        results = drive(self.lease, self.table, 8_999, NEW)
        self.assertEqual(results, [Lost(1)])


class LosingTable(MemoryTable):
    """Loses the answer of every commit, which takes effect."""

    async def commit(self, **arguments):
        await super().commit(**arguments)
        return Uncertain("lost")


class RequestTests(unittest.IsolatedAsyncioTestCase):
    async def test_next_step_takes_the_number_once(self):
        for table in (MemoryTable(), LosingTable()):
            with self.subTest(table=type(table).__name__):
                lease = LeaseTask("x", clock=ManualClock(), table=table, holder="a")
                await lease.step()
                lease.request_new_fencing()
                await lease.step()
                self.assertEqual(lease.claim().fencing, 2)
                await lease.step()
                self.assertEqual(lease.claim().fencing, 2)
