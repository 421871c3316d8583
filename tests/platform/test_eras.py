"""The store's client when the store is restored from an older snapshot."""

import asyncio
import unittest

from fireflyward.backing import Committed, Conflict, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.http1 import FullResponse
from fireflyward.platform import StoreClient
from tests.platform_standins import StoreStandIn
from tests.positions import at


class EraTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StoreStandIn(page_rows=2)
        address = await self.store.start()
        self.client = StoreClient(address, clock=Clock())
        self.store.put("t", "k", b"1")

    async def asyncTearDown(self):
        self.client.close()
        await self.store.stop()

    async def restore(self, version=1):
        """Restore an older snapshot and wait until the client's connections close."""
        self.store.restore_snapshot(version)
        await asyncio.sleep(0.02)

    async def write(self, position):
        return await self.client.write(
            table="t", part="", expected={"k": position}, puts={"k": b"v"}, limit_ms=300
        )

    async def position(self):
        return (await self.client.rows("t")).position

    async def test_positions_have_the_era_of_the_response(self):
        self.assertEqual(await self.position(), at(1, 1))
        await self.restore()
        self.assertEqual(await self.position(), at(1, 2))

    async def test_a_new_era_is_reported_once(self):
        reported_eras = []
        self.client.eras.on_new_era = lambda: reported_eras.append(
            self.client.eras.latest
        )
        await self.position()
        with self.assertLogs("fireflyward.store", "WARNING"):
            for _ in range(2):
                await self.restore()
                await self.position()
                await self.position()
        self.assertEqual(reported_eras, [2, 3])

    async def test_a_condition_of_an_earlier_era_is_not_sent(self):
        """Guards against a condition that holds by chance in the new era."""
        read = await self.position()
        await self.restore()
        await self.position()
        self.assertEqual(await self.write(read), Conflict())
        self.assertEqual(self.store.value("t", "k"), b"1")

    async def test_a_write_checked_in_another_era_is_uncertain(self):
        """Guards against trusting a write before the client detects the restore."""
        read = await self.position()
        await self.restore()
        self.assertIsInstance(await self.write(read), Uncertain)
        self.assertEqual(self.client.eras.latest, 2)

    async def test_a_write_answered_after_a_response_of_a_newer_era_is_uncertain(self):
        """Guards against trusting a write that the store lost in a restore."""
        read = await self.position()
        transact = self.store._transact

        def answer_late(body):
            self.client.eras.observe(2)
            return transact(body)

        self.store._transact = answer_late
        self.assertIsInstance(await self.write(read), Uncertain)

    async def test_a_write_of_the_new_era_is_committed(self):
        await self.restore()
        read = await self.position()
        self.assertEqual(await self.write(read), Committed({"k": 2}, 2))

    async def test_late_responses_of_an_earlier_era_are_not_used(self):
        self.client.eras.observe(4)
        self.assertIsInstance(await self.client.rows("t"), Unavailable)
        changes = self.client.changes("t", after=at(0, 4), wait_ms=0, limit_ms=300)
        self.assertIsInstance(await changes, Unavailable)
        self.assertIsInstance(await self.write(at(1, 4)), Uncertain)

    async def test_a_read_whose_pages_have_two_eras_fails(self):
        for number in range(4):
            self.store.put("t", f"k{number}", b"1")
        original_get = self.store._get

        def get(query):
            if "from" in query:
                self.store.era = 2
            return original_get(query)

        self.store._get = get
        self.assertIsInstance(await self.client.rows("t"), Unavailable)

    async def test_a_response_without_an_era_belongs_to_the_last_one(self):
        await self.restore()
        await self.position()
        self.store.era = None
        with self.assertLogs("fireflyward.platform", "WARNING") as logs:
            for _ in range(3):
                self.assertEqual(await self.position(), at(1, 2))
        self.assertEqual(len(logs.output), 1)

    async def test_an_era_that_is_not_a_number_is_ignored(self):
        """Guards against a header that crashes the process or blocks later reads."""
        await self.position()
        with self.assertLogs("fireflyward.platform", "WARNING"):
            for garbage in ("x", "-3", "1.5", "9" * 40, "\xb2", "", 99_999):
                self.store.era = garbage
                self.assertEqual(await self.position(), at(1, 1))
        self.store.era = 2
        self.assertEqual(await self.position(), at(1, 2))

    async def test_non_ascii_digits_and_long_numbers_are_ignored(self):
        """Guards against text for which ``isdigit`` is true but ``int`` fails."""
        await self.position()
        for text in ("\xb2", "\u0663", "9" * 5_000):
            response = FullResponse(200, b"", (("store-era", text),))
            with self.assertLogs("fireflyward.platform", "WARNING"):
                self.assertEqual(self.client._era_of(response), 1)

    async def test_a_cursor_newer_than_the_snapshot_is_unavailable(self):
        for _ in range(9):
            self.store.put("t", "k", b"1")
        read = await self.position()
        waiting = asyncio.create_task(
            self.client.changes("t", after=read, wait_ms=5_000, limit_ms=500)
        )
        await asyncio.sleep(0.05)
        await self.restore()
        self.assertIsInstance(await waiting, Unavailable)
