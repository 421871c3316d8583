"""Expiry of records, with a manual clock and a table in memory."""

import asyncio
import unittest
from unittest import mock

from fireflyward.backing import Row
from fireflyward.clock import ManualClock
from fireflyward.outcomes import NotRun, Reason
from fireflyward.runs import (
    EarlierRun,
    Permit,
    RequestRecord,
    RunRecords,
    Sweeper,
    _periods,
    _sweep,
)
from fireflyward.runs._periods import PERIOD_KEY
from fireflyward.standins import MemoryTable

PERIOD_MS = 1_000
RETAINED = 3


class SweepTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        for module in (_periods, _sweep):
            patch = mock.patch.object(module, "SHARDS", 4)
            patch.start()
            self.addCleanup(patch.stop)
        self.clock = ManualClock(wall_offset_ms=10**12)
        self.table = MemoryTable()
        self.records = RunRecords(self.table, self.clock)
        self.sweeper = self.make_sweeper()
        self.arrivals = 0

    def make_sweeper(self):
        return Sweeper(
            self.table, self.clock, period_ms=PERIOD_MS, retained_periods=RETAINED
        )

    async def finish(self, work):
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.clock.advance_ms(50)
        return task.result()

    def record(self, key="k"):
        self.arrivals += 1
        return RequestRecord(
            self.records,
            account="a",
            request_key=key,
            owner=f"arrival-{self.arrivals}",
            fingerprint="f",
        )

    async def pass_periods(self, count, sweeper=None):
        for _ in range(count):
            await self.finish((sweeper or self.sweeper).poll())
            await self.clock.advance_ms(PERIOD_MS)
        await self.finish((sweeper or self.sweeper).poll())

    def rows(self):
        keys = self.table.row_by_key
        return [key for key in keys if key.startswith(("runs/records", "runs/batches"))]

    async def test_record_is_retained_for_its_periods_and_at_most_two_more(self):
        await self.finish(self.record().claim("r"))
        await self.pass_periods(RETAINED)
        self.assertIsInstance(await self.finish(self.record().claim("s")), EarlierRun)
        await self.pass_periods(2)
        self.assertEqual(self.rows(), [])
        self.assertIsInstance(await self.finish(self.record().claim("s")), Permit)

    async def test_jump_of_the_wall_clock_deletes_nothing(self):
        """Guards against running a request twice after the time was corrected.

        The wall clock jumps ahead by a day. The age of records must not depend on it.
        """
        await self.finish(self.record().claim("r"))
        self.clock.jump_wall_ms(86_400_000)
        await self.finish(self.sweeper.poll())
        await self.finish(self.sweeper.poll())
        self.assertIsInstance(await self.finish(self.record().claim("s")), EarlierRun)

    async def test_record_claimed_again_is_not_swept_with_its_first_batch(self):
        """Guards against running a request twice while its record should be retained.

        The request is not run at first, and runs three periods later under the same
        key. Sweeping the first batch must not delete the later claim.
        """
        first = self.record()
        await self.finish(first.claim("r"))
        await self.finish(first.settle(NotRun(Reason.NO_UPSTREAM), ""))
        await self.pass_periods(RETAINED)
        self.assertIsInstance(await self.finish(self.record().claim("r")), Permit)
        await self.pass_periods(2)
        self.assertIsInstance(await self.finish(self.record().claim("s")), EarlierRun)

    async def test_claim_after_a_long_idle_time_is_assigned_to_the_current_period(self):
        """Guards against deleting a new record immediately.

        A node that last read the period long ago claims a record. It must not assign
        the record to that old period.
        """
        await self.finish(self.record("before").claim("r"))
        await self.pass_periods(RETAINED + 2)
        await self.finish(self.record().claim("r"))
        await self.finish(self.make_sweeper().poll())
        self.assertIsInstance(await self.finish(self.record().claim("s")), EarlierRun)
        await self.pass_periods(RETAINED + 2)
        self.assertEqual(self.rows(), [])

    async def test_two_sweepers_and_lost_responses_delete_all_expired_rows(self):
        for number in range(20):
            await self.finish(self.record(f"k{number}").claim("r"))
        other = self.make_sweeper()
        for _ in range(3 * (RETAINED + 2)):
            self.table.lose_answers = 1
            await self.finish(asyncio.gather(self.sweeper.poll(), other.poll()))
            await self.clock.advance_ms(PERIOD_MS)
        await self.finish(self.sweeper.poll())
        await self.finish(self.sweeper.poll())
        await self.finish(other.poll())
        self.assertEqual(self.rows(), [])

    async def test_an_odd_marker_does_not_keep_later_batches(self):
        """Guards against one row of another writer that ends the sweep of all nodes."""
        for number, value in enumerate((b"7", b"[" * 100_000, b"", b"[7]")):
            key = _periods.marker_key(0, f"odd-{number}")
            self.table.row_by_key[key] = Row(key, value, 1)
        await self.finish(self.record().claim("r"))
        keys = set(self.table.row_by_key)
        with self.assertLogs("fireflyward.runs", "WARNING"):
            await self.pass_periods(RETAINED + 3)
        left = set(self.table.row_by_key) & keys
        self.assertEqual({key for key in left if "odd" not in key}, {PERIOD_KEY} & keys)
        self.assertEqual(len([key for key in left if "odd" in key]), 4)

    async def test_unavailable_table_causes_no_deletion_and_no_error(self):
        await self.finish(self.record().claim("r"))
        self.table.unavailable = True
        self.assertEqual(await self.finish(self.sweeper.poll()), 0)
