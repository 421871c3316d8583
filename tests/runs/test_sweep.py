"""Records that grow old, on a faked clock and table."""

import asyncio
import unittest
from unittest import mock

from fireflyward.clock import ManualClock
from fireflyward.outcomes import NotRun, Reason
from fireflyward.runs import (
    EarlierRun,
    Permit,
    RecordOfRun,
    RunRecords,
    Sweeper,
    _periods,
    _sweep,
)
from fireflyward.standins import MemoryTable

PERIOD_MS = 1_000
KEPT = 3


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
        return Sweeper(self.table, self.clock, period_ms=PERIOD_MS, kept_periods=KEPT)

    async def soon(self, work):
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.clock.advance_ms(50)
        return task.result()

    def record(self, key="k"):
        self.arrivals += 1
        return RecordOfRun(
            self.records,
            account="a",
            request_key=key,
            owner=f"arrival-{self.arrivals}",
            fingerprint="f",
        )

    async def pass_periods(self, count, sweeper=None):
        for _ in range(count):
            await self.soon((sweeper or self.sweeper).look())
            await self.clock.advance_ms(PERIOD_MS)
        await self.soon((sweeper or self.sweeper).look())

    def rows(self):
        keys = self.table.row_by_key
        return [key for key in keys if key.startswith(("runs/records", "runs/batches"))]

    async def test_record_lasts_its_periods_and_no_longer_than_two_more(self):
        await self.soon(self.record().claim("r"))
        await self.pass_periods(KEPT)
        self.assertIsInstance(await self.soon(self.record().claim("s")), EarlierRun)
        await self.pass_periods(2)
        self.assertEqual(self.rows(), [])
        self.assertIsInstance(await self.soon(self.record().claim("s")), Permit)

    async def test_jump_of_the_wall_clock_deletes_nothing(self):
        """Symptom: a request runs twice after somebody corrected the time. Sequence:
        the wall clock jumps a day ahead. Cause: the age of records was read from
        it."""
        await self.soon(self.record().claim("r"))
        self.clock.jump_wall_ms(86_400_000)
        await self.soon(self.sweeper.look())
        await self.soon(self.sweeper.look())
        self.assertIsInstance(await self.soon(self.record().claim("s")), EarlierRun)

    async def test_record_claimed_again_is_not_swept_with_its_first_batch(self):
        """Symptom: a request runs twice within the lifetime of its record. Sequence:
        it is not run at first and runs three periods later under the same key.
        Cause: the first batch's end took the later claim with it."""
        first = self.record()
        await self.soon(first.claim("r"))
        await self.soon(first.settle(NotRun(Reason.NO_UPSTREAM), ""))
        await self.pass_periods(KEPT)
        self.assertIsInstance(await self.soon(self.record().claim("r")), Permit)
        await self.pass_periods(2)
        self.assertIsInstance(await self.soon(self.record().claim("s")), EarlierRun)

    async def test_node_that_slept_files_its_claim_under_the_current_period(self):
        """Symptom: a record is deleted at once. Sequence: a node that last read the
        period long ago claims a record. Cause: it filed it under that period."""
        await self.soon(self.record("before").claim("r"))
        await self.pass_periods(KEPT + 2)
        await self.soon(self.record().claim("r"))
        await self.soon(self.make_sweeper().look())
        self.assertIsInstance(await self.soon(self.record().claim("s")), EarlierRun)
        await self.pass_periods(KEPT + 2)
        self.assertEqual(self.rows(), [])

    async def test_two_sweepers_and_a_lost_answer_do_no_harm(self):
        for number in range(20):
            await self.soon(self.record(f"k{number}").claim("r"))
        other = self.make_sweeper()
        for _ in range(3 * (KEPT + 2)):
            self.table.lose_answers = 1
            await self.soon(asyncio.gather(self.sweeper.look(), other.look()))
            await self.clock.advance_ms(PERIOD_MS)
        await self.soon(self.sweeper.look())
        await self.soon(self.sweeper.look())
        await self.soon(other.look())
        self.assertEqual(self.rows(), [])

    async def test_table_away_deletes_nothing_and_raises_nothing(self):
        await self.soon(self.record().claim("r"))
        self.table.unavailable = True
        self.assertEqual(await self.soon(self.sweeper.look()), 0)
