"""The store's client when the store comes back from an older copy."""

import asyncio
import unittest

from fireflyward.backing import Committed, Conflict, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.http1 import WholeResponse
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

    async def drill(self, version=1):
        """Come back from a copy, and wait until the client's connections are closed."""
        self.store.restore_snapshot(version)
        await asyncio.sleep(0.02)

    async def write(self, position):
        return await self.client.write(
            table="t", part="", expected={"k": position}, puts={"k": b"v"}, limit_ms=300
        )

    async def position(self):
        return (await self.client.rows("t")).position

    async def test_positions_have_the_era_of_the_answer(self):
        self.assertEqual(await self.position(), at(1, 1))
        await self.drill()
        self.assertEqual(await self.position(), at(1, 2))

    async def test_a_new_era_is_told_once(self):
        told = []
        self.client.eras.on_new_era = lambda: told.append(self.client.eras.latest)
        await self.position()
        with self.assertLogs("fireflyward.store", "WARNING"):
            for _ in range(2):
                await self.drill()
                await self.position()
                await self.position()
        self.assertEqual(told, [2, 3])

    async def test_a_condition_of_an_earlier_era_is_not_sent(self):
        """Guards against a condition that holds by chance in the new era."""
        read = await self.position()
        await self.drill()
        await self.position()
        self.assertEqual(await self.write(read), Conflict())
        self.assertEqual(self.store.value("t", "k"), b"1")

    async def test_a_write_that_met_another_era_is_uncertain(self):
        """Guards against belief in a write before the drill was heard of."""
        read = await self.position()
        await self.drill()
        self.assertIsInstance(await self.write(read), Uncertain)
        self.assertEqual(self.client.eras.latest, 2)

    async def test_a_write_that_is_answered_after_a_newer_answer_is_uncertain(self):
        """Guards against belief in a write that the store has lost meanwhile."""
        read = await self.position()
        transact = self.store._transact

        def answer_late(body):
            self.client.eras.observe(2)
            return transact(body)

        self.store._transact = answer_late
        self.assertIsInstance(await self.write(read), Uncertain)

    async def test_a_write_of_the_new_era_is_committed_there(self):
        await self.drill()
        read = await self.position()
        self.assertEqual(await self.write(read), Committed({"k": 2}, 2))

    async def test_a_late_answer_of_an_earlier_era_proves_nothing(self):
        self.client.eras.observe(4)
        self.assertIsInstance(await self.client.rows("t"), Unavailable)
        changes = self.client.changes("t", after=at(0, 4), wait_ms=0, limit_ms=300)
        self.assertIsInstance(await changes, Unavailable)
        self.assertIsInstance(await self.write(at(1, 4)), Uncertain)

    async def test_pages_of_two_eras_are_no_table(self):
        for number in range(4):
            self.store.put("t", f"k{number}", b"1")
        whole = self.store._get

        def get(query):
            if "from" in query:
                self.store.era = 2
            return whole(query)

        self.store._get = get
        self.assertIsInstance(await self.client.rows("t"), Unavailable)

    async def test_an_answer_without_an_era_is_of_the_last_one(self):
        await self.drill()
        await self.position()
        self.store.era = None
        with self.assertLogs("fireflyward.platform", "WARNING") as logs:
            for _ in range(3):
                self.assertEqual(await self.position(), at(1, 2))
        self.assertEqual(len(logs.output), 1)

    async def test_an_era_that_is_no_number_is_none(self):
        """Guards against a header that ends the process or shuts out later answers."""
        await self.position()
        with self.assertLogs("fireflyward.platform", "WARNING"):
            for garbage in ("x", "-3", "1.5", "9" * 40, "\xb2", "", 99_999):
                self.store.era = garbage
                self.assertEqual(await self.position(), at(1, 1))
        self.store.era = 2
        self.assertEqual(await self.position(), at(1, 2))

    async def test_digits_that_are_no_number_are_none(self):
        """Guards against a header that Python counts as digits and cannot read."""
        await self.position()
        for text in ("\xb2", "\u0663", "9" * 5_000):
            answer = WholeResponse(200, b"", (("store-era", text),))
            with self.assertLogs("fireflyward.platform", "WARNING"):
                self.assertEqual(self.client._era_of(answer), 1)

    async def test_a_cursor_that_the_copy_lacks_is_lost_history(self):
        for _ in range(9):
            self.store.put("t", "k", b"1")
        read = await self.position()
        waiting = asyncio.create_task(
            self.client.changes("t", after=read, wait_ms=5_000, limit_ms=500)
        )
        await asyncio.sleep(0.05)
        await self.drill()
        self.assertIsInstance(await waiting, Unavailable)
