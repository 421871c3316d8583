import asyncio
import random
import unittest

from fireflyward.backing import (
    Budget,
    Committed,
    Guard,
    GuardedObjects,
    GuardedTable,
    GuardedVms,
    GuardedWeights,
    Missing,
    Stored,
    Unavailable,
    Uncertain,
    VmList,
)
from fireflyward.clock import ManualClock
from fireflyward.observe import Metrics
from fireflyward.standins import MemoryObjects, MemoryTable, MemoryVms, MemoryWeights


class SilentTable(MemoryTable):
    """Applies every write and never answers."""

    async def get(self, key):
        await asyncio.Event().wait()

    async def commit(self, *, expected, puts, deletes=(), era=0):
        await super().commit(expected=expected, puts=puts, deletes=deletes)
        await asyncio.Event().wait()


class GuardTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()

    def make_guard(self, per_second=1_000):
        return Guard(
            "table",
            clock=self.clock,
            metrics=self.metrics,
            rng=random.Random(1),
            reads=Budget(per_second=per_second, nodes=lambda: 1),
        )

    async def run_to_completion(self, coroutine):
        task = asyncio.create_task(coroutine)
        for _ in range(400):
            await self.clock.advance_ms(10)
            if task.done():
                break
        return await task

    async def test_answers_pass_through(self):
        table = GuardedTable(MemoryTable(), self.make_guard())
        put = table.commit(expected={"k": 0}, puts={"k": b"v"})
        self.assertEqual(await self.run_to_completion(put), Committed({"k": 1}))
        row = await self.run_to_completion(table.get("k"))
        self.assertEqual(row.value, b"v")
        self.assertEqual(await self.run_to_completion(table.scan("k")), (row,))
        objects = GuardedObjects(MemoryObjects(), self.make_guard())
        self.assertEqual(
            await self.run_to_completion(objects.put("o", b"")), Stored("o")
        )
        self.assertEqual(await self.run_to_completion(objects.get("x")), Missing("x"))
        weights = GuardedWeights(MemoryWeights({"m": ("v1",)}), self.make_guard())
        self.assertEqual(
            await self.run_to_completion(weights.versions()), {"m": ("v1",)}
        )
        vms = GuardedVms(MemoryVms(), self.make_guard())
        self.assertIsInstance(await self.run_to_completion(vms.list()), VmList)

    async def test_each_call_to_a_silent_service_ends_with_the_correct_result(self):
        """Guards against requests that hang while the table does not answer.

        Also guards against requests that are answered "not run" although their record
        was written. The table applies a call and never answers it, and the call has no
        deadline or returns the wrong result at its deadline.
        """
        inner = SilentTable()
        table = GuardedTable(inner, self.make_guard())
        read = await self.run_to_completion(table.get("k"))
        self.assertIsInstance(read, Unavailable)
        self.assertEqual(self.clock.now_ms(), 2_500)
        write = await self.run_to_completion(
            table.commit(expected={}, puts={"k": b"v"})
        )
        self.assertIsInstance(write, Uncertain)
        self.assertEqual(inner.row_by_key["k"].value, b"v")

    async def test_unavailable_service_gets_few_calls(self):
        inner = MemoryTable()
        inner.unavailable = True
        calls = []
        get = inner.get

        async def counting_get(key):
            calls.append(self.clock.now_ms())
            return await get(key)

        inner.get = counting_get
        table = GuardedTable(inner, self.make_guard())
        with self.assertLogs("fireflyward.backing"):
            for _ in range(1_500):
                result = await table.get("k")
                self.assertIsInstance(result, Unavailable)
                await self.clock.advance_ms(40)
        self.assertLess(len(calls), 20)
        inner.unavailable = False
        await self.clock.advance_ms(10_000)
        with self.assertLogs("fireflyward.backing") as logs:
            self.assertEqual(await self.run_to_completion(table.get("k")), Missing("k"))
        self.assertIn("table is back", logs.output[0])

    async def test_write_that_the_breaker_rejects_is_not_applied(self):
        inner = MemoryTable()
        inner.unavailable = True
        table = GuardedTable(inner, self.make_guard())
        with self.assertLogs("fireflyward.backing"):
            for _ in range(3):
                await table.get("k")
        inner.unavailable = False
        result = await table.commit(expected={}, puts={"k": b"v"})
        self.assertIsInstance(result, Unavailable)
        self.assertEqual(inner.row_by_key, {})

    async def test_calls_over_the_share_wait_and_are_then_rejected(self):
        table = GuardedTable(MemoryTable(), self.make_guard(per_second=2))
        tasks = [asyncio.create_task(table.get("k")) for _ in range(9)]
        await self.clock.advance_ms(2_000)
        results = await asyncio.gather(*tasks)
        rejected = [item for item in results if isinstance(item, Unavailable)]
        self.assertEqual(len(rejected), 3)
        labels = {"service": "table", "result": "refused"}
        self.assertEqual(self.metrics.total("platform_calls_total", **labels), 3)
