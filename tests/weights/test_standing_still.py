"""Rollouts whose holder stands still or ends."""

import asyncio
import itertools
import logging
import random
import unittest

from .engines import LEASE_MS, Fleet, LostOrder

_START_MS = 3_000
_VERSION_ALL_MS = 17_000
_LATE_MS = (2_000, 12_000)


class LostLease:
    """A lease that another node holds."""

    def claim(self):
        return None


class StandstillTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The debug mode takes four fifths of the time.
        asyncio.get_running_loop().set_debug(False)
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def start(self, engines):
        self.fleet = Fleet(engines=engines)
        self.addCleanup(self.fleet.stop)
        await self.fleet.clock.advance_ms(_START_MS)
        self.fleet.name_version(2)

    def assert_one_holder_at_a_time(self):
        """Check that no two nodes order one replica within a lease's duration."""
        for engine in self.fleet.engines:
            pairs = itertools.pairwise(engine.received)
            for before, after in pairs:
                if before.node != after.node:
                    self.assertGreaterEqual(after.at_ms - before.at_ms, LEASE_MS)
                    self.assertGreater(after.fencing, before.fencing)

    def orders_after(self, node, since_ms, version):
        return [
            order
            for engine in self.fleet.engines
            for order in engine.received
            if order.node == node.name
            and order.at_ms >= since_ms
            and order.version == version
        ]

    async def test_no_order_for_a_version_that_was_replaced_in_the_standstill(self):
        """Guards against a load that is replaced at once by the next one.

        The holder had decided on orders, or repeated lost ones, when it stood still,
        and went on with them before it read that a newer version had been named.
        """
        for frozen_ms in (1_500, 2_500):
            for at_ms in range(0, 2_000, 100):
                with self.subTest(frozen_ms=frozen_ms, at_ms=at_ms):
                    await self.start(5)
                    for engine in self.fleet.engines:
                        engine.lost_orders = [LostOrder()]
                    await self.fleet.clock.advance_ms(at_ms)
                    holder = self.fleet.holder()
                    holder.freeze_ms(frozen_ms)
                    await self.fleet.clock.advance_ms(frozen_ms / 2)
                    self.fleet.name_version(3)
                    thawed_ms = holder.clock.frozen_until_ms
                    await self.fleet.clock.advance_ms(_VERSION_ALL_MS)
                    self.assertEqual(self.fleet.outdated(), [])
                    self.assertEqual(self.orders_after(holder, thawed_ms, 2), [])
                    self.assert_one_holder_at_a_time()

    async def test_the_nodes_use_a_replica_again_whose_order_was_withdrawn(self):
        """Guards against replicas without requests while the lease is not renewed.

        The nodes had heard that two of five replicas were about to load.
        """
        await self.start(5)
        holder, now_ms = self.fleet.holder(), self.fleet.clock.now_ms
        replicas = holder.directory.all()
        await self.fleet.clock.advance_ms(140)
        self.assertEqual(sum(each.is_loading(now_ms()) for each in replicas), 2)
        holder.tasks[0].cancel()
        holder.task._may_order_at_ms = now_ms() + _VERSION_ALL_MS
        await self.fleet.clock.advance_ms(1_000)
        self.assertEqual(sum(len(each.received) for each in self.fleet.engines), 0)
        self.assertEqual(sum(each.is_loading(now_ms()) for each in replicas), 0)

    async def test_a_lost_lease_leaves_the_announcements_to_the_next_holder(self):
        """Guards against requests to a replica that the next holder has just ordered.

        The former holder withdrew its order then, and announced that the replica did
        not load.
        """
        await self.start(5)
        holder, now_ms = self.fleet.holder(), self.fleet.clock.now_ms
        replicas = holder.directory.all()
        await self.fleet.clock.advance_ms(140)
        holder.task._lease = LostLease()
        await self.fleet.clock.advance_ms(1_000)
        self.assertEqual(sum(each.is_loading(now_ms()) for each in replicas), 2)

    async def test_a_holder_that_ends_or_stands_still(self):
        """Guards against a rollout that waits for the loads of a lost holder."""
        for frozen_ms in (None, 2_000, 3_500, 10_000):
            for at_ms in range(0, 8_000, 1_000):
                with self.subTest(frozen_ms=frozen_ms, at_ms=at_ms):
                    await self.start(5)
                    for engine in self.fleet.engines:
                        engine.lost_orders = [LostOrder()]
                    await self.fleet.clock.advance_ms(at_ms)
                    holder = self.fleet.holder()
                    if frozen_ms is None:
                        holder.kill()
                    else:
                        holder.freeze_ms(frozen_ms)
                    limit_ms = _VERSION_ALL_MS - at_ms
                    took_ms = await self.fleet.run_until_loaded(limit_ms)
                    self.assertIsNotNone(took_ms)
                    self.assert_one_holder_at_a_time()

    async def test_random_losses_restarts_and_holders(self):
        """Guards against a version that is not in place after the time for all."""
        for seed in range(20):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, draw):
        await self.start(draw.choice([2, 3, 5, 6, 9]))
        started_ms = self.fleet.clock.now_ms()
        for engine in self.fleet.engines:
            engine.lost_orders = [
                LostOrder(draw.choice([None, draw.randint(*_LATE_MS)]))
                if draw.random() < 0.3
                else None
                for _ in range(30)
            ]
        for _ in range(draw.randint(1, 3)):
            await self.fleet.clock.advance_ms(draw.randint(0, 2_500))
            holder = self.fleet.holder()
            kind = draw.choice(["restart", "restart", "freeze", "kill"])
            if kind == "restart":
                draw.choice(self.fleet.engines).restart()
            elif holder is not None and kind == "freeze":
                holder.freeze_ms(draw.randint(300, 6_000))
            elif holder is not None and len(self.fleet.alive()) > 2:
                holder.kill()
        rest_ms = _VERSION_ALL_MS - (self.fleet.clock.now_ms() - started_ms)
        took_ms = await self.fleet.run_until_loaded(rest_ms, may_be_outdated=1)
        self.assertIsNotNone(took_ms)
        self.assert_one_holder_at_a_time()
