"""Orders that are carried out late, at a replica that has restarted meanwhile."""

import asyncio
import unittest

from .engines import Fleet, LostOrder

_START_MS = 3_000
_LATE_MS = 6_000


class LateOrderTests(unittest.IsolatedAsyncioTestCase):
    """A replica that keeps its name when it restarts; its count of orders is cleared.

    A replica that gets a new name rejects the late order, which names the former one.
    """

    async def asyncSetUp(self):
        # The debug mode takes four fifths of the time.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = Fleet(engines=3)
        self.addCleanup(self.fleet.stop)
        await self.fleet.clock.advance_ms(_START_MS)
        self.engine = self.fleet.engines[0]
        self.engine.lost_orders = [LostOrder(_LATE_MS)]
        self.fleet.name_version(2)
        await self.fleet.clock.advance_ms(500)
        self.assertEqual(len(self.engine.received), 1)
        self.fleet.name_version(3)
        await self.until(lambda: not self.fleet.outdated())

    async def until(self, condition, limit_ms=8_000):
        for _ in range(limit_ms // 10):
            if condition():
                return
            await self.fleet.clock.advance_ms(10)
        self.fail("the condition did not hold in time")

    async def test_without_a_restart_the_late_order_is_rejected(self):
        await self.fleet.clock.advance_ms(_LATE_MS)
        self.assertEqual(self.engine.versions_loaded, [3])

    async def test_after_a_restart_the_replica_is_ordered_again(self):
        """Guards against a replica that stays with the version of a late order."""
        self.engine.restart()
        await self.until(lambda: self.engine.version == 2)
        loaded_ms = self.fleet.clock.now_ms()
        directories = [node.directory for node in self.fleet.nodes]
        await self.until(
            lambda: all(
                each.find("r0").version_by_model["m"] == 2 for each in directories
            )
        )
        self.assertLessEqual(self.fleet.clock.now_ms() - loaded_ms, 500)
        await self.until(lambda: self.engine.version == 3)
        self.assertLessEqual(self.fleet.clock.now_ms() - loaded_ms, 3_000)
        self.assertEqual(self.engine.versions_loaded, [3, 2, 3])

    async def test_a_load_of_older_weights_is_followed_by_the_newest(self):
        """Guards against 6 s of older weights after a load that another order began.

        The next holder finds the replica loading, and orders as soon as that ends.
        """
        self.engine.restart()
        self.fleet.name_version(4)
        self.assertEqual(self.engine.carry_out(2, 0), 202)
        await self.until(lambda: self.engine.version == 2)
        loaded_ms = self.fleet.clock.now_ms()
        await self.until(lambda: self.engine.version == 4)
        self.assertLessEqual(self.fleet.clock.now_ms() - loaded_ms, 3_000)
