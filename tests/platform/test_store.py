"""The store's client returns a distinct value for each result of a call."""

import asyncio
import unittest

from fireflyward.backing import Committed, Conflict, Missing, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.feeds import HistoryLost, Snapshot
from fireflyward.platform import LeaseTable, StoreClient
from tests.platform_standins import StoreBehavior, StoreStandIn
from tests.positions import at


class StoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StoreStandIn(page_rows=2)
        address = await self.store.start()
        self.client = StoreClient(address, clock=Clock())

    async def asyncTearDown(self):
        self.client.close()
        await self.store.stop()

    async def write(self, expected=0):
        return await self.client.write(
            table="t",
            part="",
            expected={"k": at(expected, 1)},
            puts={"k": b"v"},
            limit_ms=300,
        )

    async def test_all_pages_are_read(self):
        for number in range(5):
            self.store.put("t", f"k{number}", b"%d" % number)
        found = await self.client.rows("t")
        self.assertEqual(
            [row.value for row in found.rows], [b"0", b"1", b"2", b"3", b"4"]
        )

    async def test_the_feed_returns_changes_and_removals(self):
        self.store.put("t", "a", b"1")
        self.store.remove("t", "a")
        changes = await self.client.changes(
            "t", after=at(0, 1), wait_ms=0, limit_ms=500
        )
        self.assertEqual([row.is_deleted for row in changes.rows], [False, True])
        self.assertEqual(changes.position, at(2, 1))

    async def test_lost_history_is_reported(self):
        self.store.behavior = StoreBehavior.HISTORY_LOST
        result = await self.client.changes("t", after=at(0, 1), wait_ms=0, limit_ms=500)
        self.assertEqual(result, HistoryLost())

    async def test_a_condition_that_fails_is_a_conflict(self):
        self.assertEqual(await self.write(), Committed({"k": 1}, 1))
        self.assertEqual(await self.write(), Conflict({"k": 1}))

    async def test_a_rejected_call_has_no_effect(self):
        for behavior in (StoreBehavior.BUSY, StoreBehavior.RATE_LIMITED):
            self.store.behavior = behavior
            self.assertIsInstance(await self.write(), Unavailable)
            self.assertIsInstance(await self.client.rows("t"), Unavailable)
        self.assertIsNone(self.store.value("t", "k"))

    async def test_a_write_without_a_response_is_uncertain(self):
        self.store.behavior = StoreBehavior.DROPS_RESPONSES
        self.assertIsInstance(await self.write(), Uncertain)
        self.assertEqual(self.store.value("t", "k"), b"v")

    async def test_a_call_times_out_and_the_next_opens_a_new_connection(self):
        """Guards against an outdated configuration at a node despite a working store.

        A connection of the node to the store became silent permanently. Calls that
        continue to use this connection, or other connections that were idle at that
        time, hang one after the other until they time out.
        """
        await asyncio.gather(*(self.client.rows("t") for _ in range(3)))
        self.store.behavior = StoreBehavior.SILENT
        result = await self.client.rows("t", limit_ms=100)
        self.assertIsInstance(result, Unavailable)
        self.store.behavior = StoreBehavior.NORMAL
        before = self.store.connections
        await self.client.rows("t", limit_ms=500)
        self.assertEqual(self.store.connections, before + 1)

    async def test_connections_that_were_idle_at_a_timeout_are_not_used_again(self):
        """Guards against a second lost answer, after another call had succeeded."""
        await asyncio.gather(*(self.client.rows("t") for _ in range(3)))
        self.store.silence_open_connections()
        result = await self.client.rows("t", limit_ms=100)
        self.assertIsInstance(result, Unavailable)
        self.assertIsInstance(await self.client.rows("t"), Snapshot)
        for result in await asyncio.gather(
            *(self.client.rows("t", limit_ms=500) for _ in range(3))
        ):
            self.assertIsInstance(result, Snapshot)

    async def test_a_store_that_does_not_listen_is_unavailable(self):
        await self.store.stop()
        self.assertIsInstance(await self.client.rows("t"), Unavailable)

    async def test_the_lease_table_reads_and_commits_rows(self):
        table = LeaseTable(self.client)
        self.assertEqual(await table.get("lease/x"), Missing("lease/x", 1))
        result = await table.commit(
            expected={"lease/x": 0}, puts={"lease/x": b"1"}, era=1
        )
        self.assertIsInstance(result, Committed)
        row = await table.get("lease/x")
        self.assertEqual((row.value, row.position), (b"1", at(1, 1)))
