"""How long a rollout takes when orders are lost."""

import asyncio
import random
import unittest

from fireflyward.platform import ReplicaReport
from fireflyward.weights import OrderProgress, ReplicaView, WeightPlan

from .engines import VERSION_MS, Fleet, LostOrder

_START_MS = 3_000
_VERSION_ALL_MS = 17_000
_LATE_MS = (2_000, 12_000)


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, engines):
        # The debug mode takes four fifths of the time.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = Fleet(engines=engines)
        self.addCleanup(self.fleet.stop)
        await self.fleet.clock.advance_ms(_START_MS)

    async def name_and_load(self, limit_ms=_VERSION_ALL_MS, **options):
        self.fleet.name_version(2)
        took_ms = await self.fleet.run_until_loaded(limit_ms, **options)
        self.assertIsNotNone(took_ms, [each.name for each in self.fleet.outdated()])
        return took_ms


class LostOrderTests(FleetTestCase):
    async def test_every_first_order_is_lost(self):
        """Guards against older weights for 16 s because a lost order was waited for."""
        for engines in (1, 2, 4, 5, 9, 30):
            with self.subTest(engines=engines):
                await self.start(engines)
                for engine in self.fleet.engines:
                    engine.lost_orders = [LostOrder()]
                await self.name_and_load(VERSION_MS)
                for engine in self.fleet.engines:
                    self.assertEqual(engine.versions_loaded, [2])
                    self.assertEqual(len(engine.received), 2)

    async def test_every_first_order_is_carried_out_late(self):
        """Guards against a replica that loads twice because an order was repeated."""
        late = random.Random(7)
        await self.start(9)
        for engine in self.fleet.engines:
            engine.lost_orders = [LostOrder(late.randint(*_LATE_MS))]
        await self.name_and_load(VERSION_MS)
        await self.fleet.clock.advance_ms(_LATE_MS[1])
        for engine in self.fleet.engines:
            self.assertEqual(engine.versions_loaded, [2])

    async def test_half_of_all_orders_are_lost(self):
        """Guards against a version that is not in place after the time for all."""
        for seed in range(10):
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                await self.start(5)
                for engine in self.fleet.engines:
                    engine.lost_orders = [
                        LostOrder(draw.randint(*_LATE_MS))
                        if draw.random() < 0.5
                        else None
                        for _ in range(50)
                    ]
                await self.name_and_load()

    async def test_replicas_that_get_no_order_do_not_delay_the_others(self):
        """Guards against two replicas that keep both places until the limit for sends.

        Their orders are all lost, and they are the least busy of the oldest ones.
        """
        await self.start(9)
        for engine in self.fleet.engines[:3]:
            engine.lost_orders = [LostOrder()] * 50
        took_ms = await self.name_and_load(may_be_outdated=3)
        self.assertLess(took_ms, 8_500)

    async def test_the_nodes_use_a_replica_again_whose_orders_are_lost(self):
        """Guards against replicas without requests that load nothing."""
        await self.start(1)
        (engine,) = self.fleet.engines
        engine.lost_orders = [LostOrder()] * 50
        self.fleet.name_version(2)
        directory = self.fleet.holder().directory
        await self.fleet.clock.advance_ms(500)
        now_ms = self.fleet.clock.now_ms
        self.assertTrue(directory.find("r0").is_loading(now_ms()))
        await self.fleet.clock.advance_ms(3_500)
        self.assertFalse(directory.find("r0").is_loading(now_ms()))


class UnreachableReplicaTests(FleetTestCase):
    async def test_a_replica_that_the_holder_cannot_reach_does_not_delay_the_others(
        self,
    ):
        """Guards against one place that goes to the same replica again and again."""
        await self.start(3)
        self.fleet.engines[0].is_reachable = False
        took_ms = await self.name_and_load(may_be_outdated=1)
        self.assertLess(took_ms, 8_500)

    def test_a_replica_that_was_not_reached_comes_last(self):
        plan = WeightPlan()
        views = [ReplicaView(f"r{n}", n, "", 1, float(n)) for n in range(3)]
        (order,) = plan.next(0, "m", 2, views)
        plan.on_order_started(0, order)
        plan.on_not_reached(400, order)
        (second,) = plan.next(400, "m", 2, views)
        self.assertEqual((order.incarnation, second.incarnation), ("r0", "r1"))
        self.assertEqual(plan.next(400, "m", 2, views[:1]), [])
        self.assertEqual(len(plan.next(900, "m", 2, views[:1])), 1)


class ProgressTests(unittest.TestCase):
    def report(self, *, loading=False, orders=0):
        return ReplicaReport(loading, orders, 0, 0, {"m": 1})

    def progress(self, **options):
        return OrderProgress(sent_ms=0, orders_seen=0, **options)

    def test_a_report_from_before_an_accepted_order_shows_no_failure(self):
        """Guards against orders that are repeated during a load."""
        progress = self.progress(has_response=True)
        self.assertFalse(progress.has_failed(5_000, self.report()))
        self.assertTrue(progress.has_failed(5_000, self.report(orders=1)))

    def test_a_load_that_ended_with_other_weights_has_failed(self):
        progress = self.progress(has_response=True)
        self.assertFalse(progress.has_failed(300, self.report(loading=True, orders=1)))
        self.assertTrue(progress.has_failed(400, self.report(orders=1)))

    def test_an_order_without_response_has_time_to_begin(self):
        progress = self.progress(has_response=False)
        self.assertFalse(progress.has_failed(799, self.report()))
        self.assertFalse(progress.has_failed(800, self.report(loading=True)))
        self.assertTrue(progress.has_failed(800, self.report()))
