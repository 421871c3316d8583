"""Orders that only raise a replica's fencing number."""

import unittest

from fireflyward.rollout import Phase
from fireflyward.rollout._fencing_orders import FencingOrders
from fireflyward.upstreams import Broken, EngineState, OrderReason, OrderRefused

from .rollout_fixtures import REPLICAS, RolloutCase

OLD = EngineState({"clauses": "v1"}, adapters=("clauses/a",), fencing=1, role="decode")


class FencingOrdersTests(unittest.TestCase):
    def setUp(self):
        self.orders = FencingOrders(fencing=2)

    def test_order_repeats_the_state_under_the_new_number(self):
        order = self.orders.send("e", OLD)
        self.assertEqual(order.version_by_model, OLD.version_by_model)
        self.assertEqual((order.adapters, order.role), (OLD.adapters, OLD.role))
        self.assertEqual(order.fencing, 2)
        self.assertTrue(self.orders.is_own("e", order.order_id))
        self.assertFalse(self.orders.is_own("f", order.order_id))

    def test_only_a_taken_order_raises_the_number(self):
        refused = OrderRefused(OrderReason.NOT_NOW)
        for result, is_raised in (
            (Broken(True, "lost"), False),
            (refused, False),
            (OLD, True),
        ):
            with self.subTest(result=result):
                self.orders.send("e", OLD)
                self.assertTrue(self.orders.is_in_flight("e"))
                self.orders.on_answer(10, "e", result)
                self.assertFalse(self.orders.is_in_flight("e"))
                self.assertEqual(self.orders.is_raised("e", OLD), is_raised)

    def test_replica_that_reports_the_number_needs_no_order(self):
        state = EngineState({"clauses": "v1"}, fencing=2)
        self.assertTrue(self.orders.is_raised("e", state))
        self.assertFalse(self.orders.is_raised("e", OLD))


class LateOrderTests(RolloutCase):
    def orders_of(self, simulation):
        return simulation.fleet.orders_by_name.values()

    async def start_successor(self, simulation):
        await simulation.drivers[0].stop()
        simulation.add_driver("b")
        await simulation.run(20_000)

    def deliver(self, simulation):
        for engine in simulation.fleet.engine_by_name.values():
            engine.deliver_held_orders()

    async def test_late_order_of_a_confirmed_claim_is_refused_by_every_replica(self):
        """Guards against a finished rollout whose replicas reload an old version.

        A driver sends an order twice, and the first copy is delayed. The driver
        finishes this rollout and the next one, and is killed. Its successor has
        nothing to load, so no replica would receive its fencing number.
        """
        simulation = self.make_simulation()
        for orders in self.orders_of(simulation):
            orders.deduplicates_orders = False
        for engine in simulation.fleet.engine_by_name.values():
            engine.hold_orders = True
        await self.begin(simulation)
        await simulation.run(250)
        for engine in simulation.fleet.engine_by_name.values():
            engine.hold_orders = False
        await simulation.finish()
        simulation.accept(3, "v3")
        await simulation.finish()
        await self.start_successor(simulation)
        loads = simulation.loads
        self.deliver(simulation)
        await simulation.run(5_000)
        self.assertEqual(simulation.loads, loads)
        self.assertEqual(simulation.versions, {"v3"})
        self.assertEqual(simulation.row.phase, Phase.DONE)

    async def test_successor_raises_every_number_without_a_load(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        await self.start_successor(simulation)
        numbers = {orders.fencing for orders in self.orders_of(simulation)}
        self.assertEqual(numbers, {simulation.row.fencing})
        self.assert_done(simulation)

    async def test_first_driver_sends_no_fencing_orders(self):
        simulation = self.make_simulation()
        simulation.add_driver("a")
        await simulation.run(5_000)
        sent = [len(orders.applied_orders) for orders in self.orders_of(simulation)]
        self.assertEqual(sent, [0] * len(REPLICAS))

    async def test_refused_and_lost_fencing_orders_are_repeated(self):
        for fault in ("refuse", "lose_answers"):
            with self.subTest(fault=fault):
                simulation = self.make_simulation()
                await self.begin(simulation)
                await simulation.finish()
                for orders in self.orders_of(simulation):
                    setattr(orders, fault, 1)
                await self.start_successor(simulation)
                numbers = {orders.fencing for orders in self.orders_of(simulation)}
                self.assertEqual(numbers, {simulation.row.fencing})
                self.assert_done(simulation)

    async def test_rollout_is_not_done_before_every_number_is_raised(self):
        """Guards against a finished rollout that a late order can still change."""
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        simulation.fleet.orders_by_name["engine-4"].refuse = 6
        await simulation.drivers[0].stop()
        simulation.add_driver("b")
        simulation.accept(3, "v2")
        phases = []
        for _ in range(120):
            await simulation.run(250)
            row = simulation.row
            numbers = {orders.fencing for orders in self.orders_of(simulation)}
            phases.append(row.phase)
            if row.bundle_number == 3 and numbers != {row.fencing}:
                self.assertEqual(row.phase, Phase.RUNNING)
        self.assertIn(Phase.RUNNING, phases)
        self.assertEqual(phases[-1], Phase.DONE)

    async def test_load_in_progress_is_not_ended_by_a_fencing_order(self):
        """Guards against an order that repeats the state of a replica that loads."""
        simulation = self.make_simulation()
        engine = simulation.fleet.engine_by_name["engine-0"]
        engine.orders.deduplicates_orders = False
        engine.orders.load_time_factor = 20.0
        engine.hold_orders = True
        await self.begin(simulation)
        await simulation.run(250)
        engine.hold_orders = False
        await simulation.finish(120_000)
        simulation.accept(3, "v3")
        await simulation.finish(120_000)
        await simulation.drivers[0].stop()
        simulation.add_driver("b")
        await simulation.run(8_000)
        engine.deliver_held_orders()
        await simulation.run(120_000)
        self.assertEqual(simulation.versions, {"v3"})
        applied = [orders.applied_orders for orders in self.orders_of(simulation)]
        self.assertTrue(all(o.version_by_model for orders in applied for o in orders))

    async def test_load_order_waits_for_the_answer_to_a_fencing_order(self):
        """Guards against a fencing order that arrives after the order to load.

        It repeats the state from before the load, so the replica would load twice.
        """
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        self.delay_orders(simulation, fencing_ms=3_000)
        simulation.accept(3, "v3")
        await self.start_successor(simulation)
        await simulation.finish()
        self.assert_done(simulation, "v3", loads=2)

    async def test_claimed_replica_gets_no_fencing_order_beside_its_load_order(self):
        """Guards against an order that repeats the state from before a claimed load."""
        simulation = await self.start_successor_of_a_claim()
        await simulation.finish()
        self.assertLessEqual(max(simulation.loads.values()), 1)

    async def test_ordered_claim_of_a_replaced_bundle_gets_no_fencing_order(self):
        """Guards against the same after a newer bundle has stopped the rollout."""
        simulation = await self.start_successor_of_a_claim()
        while not any(engine.send_count for engine in self.engines_of(simulation)):
            await simulation.run(250)
        simulation.accept(3, "v2")
        await simulation.finish()
        await simulation.run(10_000)
        self.assertLessEqual(max(simulation.loads.values()), 1)

    async def start_successor_of_a_claim(self):
        """Replace the driver after its first claims and before it orders them."""
        simulation = self.make_simulation()
        driver = await self.begin(simulation)
        while not simulation.row.claims:
            await simulation.run(250)
        await driver.stop()
        for engine in self.engines_of(simulation):
            engine.orders.loads = 0
            self.drop_first_fencing_order(engine)
        self.delay_orders(simulation, fencing_ms=3_000, load_ms=1_000)
        simulation.add_driver("b")
        return simulation

    def engines_of(self, simulation):
        return simulation.fleet.engine_by_name.values()

    def drop_first_fencing_order(self, engine):
        send_order, dropped = engine.send_order, []

        async def send(order):
            if order.order_id.startswith("fencing.") and not dropped:
                dropped.append(order)
                return Broken(False, "not sent")
            return await send_order(order)

        engine.send_order = send

    def delay_orders(self, simulation, *, fencing_ms, load_ms=0):
        for engine in self.engines_of(simulation):
            send_order = engine.send_order
            engine.send_count = 0

            async def send_late(order, engine=engine, send_order=send_order):
                is_fencing = order.order_id.startswith("fencing.")
                engine.send_count += not is_fencing
                await simulation.clock.sleep_ms(fencing_ms if is_fencing else load_ms)
                return await send_order(order)

            engine.send_order = send_late
