from fireflyward.leases import LeaseStep
from fireflyward.rollout import Phase, RolloutStep, Target
from fireflyward.upstreams import OrderReason, OrderRefused

from .rollout_fixtures import MODEL, REPLICAS, Crash, RolloutCase

SENT = tuple(step for step in RolloutStep if step.value.endswith(" sent"))
SPECIAL = {
    RolloutStep.FOLLOWED,
    RolloutStep.ORDER_LOST,
    RolloutStep.HOLD_SENT,
    RolloutStep.HELD,
}
ORDINARY = tuple(step for step in RolloutStep if step not in SPECIAL)
BOTH_KINDS = (True, False)


def at(step, act):
    """Return an observer that acts once, the first time that it sees a step."""
    seen = []

    def observe(reached):
        if reached is step and not seen:
            seen.append(reached)
            act()

    return observe


def crash():
    raise Crash


class OrdinaryTests(RolloutCase):
    async def test_every_replica_loads_once_and_capacity_stays(self):
        for names in (REPLICAS, REPLICAS[:5], REPLICAS[:2]):
            with self.subTest(replicas=len(names)):
                world = self.make_world(names=names)
                await self.begin(world)
                await world.finish()
                self.assert_done(world)

    async def test_share_of_the_new_version_only_grows(self):
        world = self.make_world()
        await self.begin(world)
        shares = []
        for _ in range(80):
            await world.run(250)
            row = world.row.shares_by_model[MODEL]
            shares.append(row[0].up_to if row[0].version == "v2" else 0)
        self.assertEqual(shares, sorted(shares))
        self.assertGreater(len(set(shares)), 3)

    async def test_role_and_adapters_are_ordered_too(self):
        world = self.make_world(names=REPLICAS[:2])
        driver = await self.begin(world)
        target = Target({MODEL: "v1"}, (f"{MODEL}/seismic",), "prefill", True)
        driver.plan.target_by_replica.update(dict.fromkeys(world.names, target))
        await world.finish()
        for orders in world.fleet.orders_by_name.values():
            self.assertEqual(orders.role, "prefill")
            self.assertEqual(orders.adapters, (f"{MODEL}/seismic",))

    async def test_bundle_that_changes_no_replica_costs_one_write(self):
        world = self.make_world()
        await self.begin(world)
        await world.finish()
        writes = world.table.writes
        renewals = []
        world.drivers[0].lease._observe = renewals.append
        world.accept(3, "v2")
        await world.run(2_000)
        renewed = renewals.count(LeaseStep.RENEWED)
        self.assertEqual(world.table.writes - writes - renewed, 1)
        self.assertEqual(world.row.bundle_number, 3)


class CrashTests(RolloutCase):
    async def test_successor_ends_a_rollout_whose_driver_died_at_any_step(self):
        """Symptom: a rollout stands still, or replicas load twice. Sequence: the
        driver dies at one named step and another node gets the lease. Cause: what
        the successor needed was only in the dead driver's memory."""
        for step in ORDINARY:
            for honours_fencing in BOTH_KINDS:
                with self.subTest(step=step, honours_fencing=honours_fencing):
                    world = self.make_world(honours_fencing=honours_fencing)
                    await self.begin(world, at(step, crash))
                    world.add_driver("b")
                    await world.finish()
                    self.assertTrue(world.drivers[0].dead)
                    self.assert_done(world)

    async def test_driver_that_dies_while_holding_leaves_a_held_rollout(self):
        for step in (RolloutStep.HOLD_SENT, RolloutStep.HELD):
            with self.subTest(step=step):
                world = self.make_world()
                world.fleet.orders_by_name["engine-1"].fail_loads = 1
                await self.begin(world, at(step, crash))
                world.add_driver("b")
                await world.finish()
                self.assertTrue(world.drivers[0].dead)
                self.assertEqual(world.row.phase, Phase.HELD)
                self.assertEqual(world.loads["engine-5"], 0)


class LostAnswerTests(RolloutCase):
    async def test_lost_answer_at_any_step_doubles_nothing(self):
        """Symptom: a replica loads twice, or the rollout stops. Sequence: a write
        or an order takes effect and its answer is lost. Cause: silence was taken
        for failure and the step done again as a new one."""
        for step in SENT:
            with self.subTest(step=step):
                world = self.make_world()
                if step is RolloutStep.HOLD_SENT:
                    continue
                await self.begin(world, at(step, lambda w=world: self.lose_one(w)))
                await world.finish()
                self.assert_done(world)

    def lose_one(self, world):
        world.table.lose_answers = 1
        for orders in world.fleet.orders_by_name.values():
            orders.lose_answers = 1

    async def test_order_that_never_arrived_is_sent_again(self):
        world = self.make_world()
        engine = world.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        await self.begin(world)
        await world.run(1_500)
        engine._held.clear()
        engine.hold_orders = False
        await world.finish()
        self.assert_done(world)

    async def test_order_that_arrives_late_after_its_copy_does_nothing(self):
        world = self.make_world()
        engine = world.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        await self.begin(world)
        await world.run(1_500)
        engine.hold_orders = False
        await world.finish()
        engine.let_go()
        await world.run(5_000)
        self.assert_done(world)

    async def test_table_away_at_any_step_delays_and_doubles_nothing(self):
        for step in ORDINARY:
            with self.subTest(step=step):
                world = self.make_world()

                def leave(world=world):
                    world.table.away = True

                await self.begin(world, at(step, leave))
                await world.run(15_000)
                world.table.away = False
                await world.finish()
                self.assert_done(world)


class PausedHolderTests(RolloutCase):
    async def test_holder_paused_at_any_step_orders_nothing_after_it_wakes(self):
        """Symptom: a replica obeys a driver that was followed long ago. Sequence:
        the holder is paused past its lease at a step and wakes believing. Cause:
        it relied on a timer or a flag and not on its clock before each order."""
        for step in ORDINARY:
            for honours_fencing in BOTH_KINDS:
                with self.subTest(step=step, honours_fencing=honours_fencing):
                    await self.pause_at(step, honours_fencing)

    async def pause_at(self, step, honours_fencing):
        world = self.make_world(honours_fencing=honours_fencing)
        wakes = []

        def pause():
            wakes.append(world.row.fencing)
            world.clock.paused_ms += 30_000
            for orders in world.fleet.orders_by_name.values():
                orders.taken.clear()

        await self.begin(world, at(step, pause))
        world.add_driver("b")
        await world.finish()
        self.assertEqual(len(wakes), 1)
        for orders in world.fleet.orders_by_name.values():
            for order in orders.taken:
                self.assertGreater(order.fencing, wakes[0])
        self.assert_done(world)

    async def leave_order_behind(self, honours_fencing):
        """Let a driver die with an order on its way, and its successor finish v3."""
        world = self.make_world(honours_fencing=honours_fencing)
        engine = world.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        driver = await self.begin(world)
        await world.run(750)
        await driver.die()
        self.assertEqual(len({order.order_id for order in engine._held}), 1)
        return world, engine

    async def test_engine_that_honours_fencing_refuses_the_order_of_a_late_holder(
        self,
    ):
        world, engine = await self.leave_order_behind(True)
        engine.hold_orders = False
        world.add_driver("b")
        world.accept(3, "v3")
        await world.finish()
        for result in engine.let_go():
            self.assertIsInstance(result, OrderRefused)
            self.assertEqual(result.reason, OrderReason.OLD_FENCING)
        self.assertEqual(world.versions, {"v3"})
        self.assertEqual(world.loads["engine-0"], 1)

    async def test_successor_waits_for_orders_to_engines_that_ignore_fencing(self):
        """Symptom: a replica goes back to the version before. Sequence: a holder
        lapses with an order on its way, its successor orders something newer, the
        old order arrives. Cause: the engine ignores fencing, and the successor
        did not wait out the longest flight of an order."""
        world, engine = await self.leave_order_behind(False)
        engine.hold_orders = False
        world.add_driver("b")
        world.accept(3, "v3")
        while world.row.fencing < 2:
            await world.run(250)
        await world.run(4_000)
        taken = [o.taken for o in world.fleet.orders_by_name.values()]
        self.assertTrue(all(o.fencing == 1 for orders in taken for o in orders))
        engine.let_go()
        await world.finish()
        self.assertEqual(world.versions, {"v3"})

    async def test_order_in_flight_arrives_before_anything_newer_is_ordered(self):
        """Symptom: a replica goes back to an old version. Sequence: a holder dies
        with an order on its way; the successor loads the same, then a later
        bundle; the old order arrives. Cause: the engine ignores fencing and
        forgets order ids, and nobody waited out the order's flight."""
        world, engine = await self.leave_order_behind(False)
        engine.hold_orders = False
        engine.orders.remembers_ids = False
        world.add_driver("b")
        while world.row.fencing < 2:
            await world.run(250)
        await world.run(2_500)
        world.accept(3, "v3")
        await world.run(2_000)
        engine.let_go()
        await world.finish()
        versions = [o.version_by_model[MODEL] for o in engine.orders.taken]
        self.assertEqual(versions, sorted(versions))
        self.assertEqual(world.versions, {"v3"})

    async def test_order_later_than_any_flight_is_found_and_undone(self):
        """Symptom: a replica of an engine that ignores fencing is out of service
        for two loads. Sequence: an order of a lapsed holder arrives a minute late.
        Cause: what waiting cannot prevent; the sweep of states heals it, and no
        request gets the old version since the replica does not say the new one."""
        world, engine = await self.leave_order_behind(False)
        engine.hold_orders = False
        world.add_driver("b")
        world.accept(3, "v3")
        await world.finish()
        engine.let_go()
        await world.run(500)
        self.assertEqual(world.fleet.serving(world.clock.now_ms(), MODEL, "v3"), 5)
        await world.run(20_000)
        self.assertEqual(world.versions, {"v3"})
        self.assertEqual(world.row.phase, Phase.DONE)


class RaceTests(RolloutCase):
    async def test_three_nodes_racing_make_one_rollout(self):
        world = self.make_world()
        for name in ("a", "b", "c"):
            world.add_driver(name)
        await world.run(1_000)
        world.accept(2, "v2")
        await world.finish()
        self.assert_done(world)
        self.assertEqual(world.row.fencing, 1)

    async def test_planned_stop_in_the_middle_is_followed_at_once(self):
        world = self.make_world(honours_fencing=False)
        driver = await self.begin(world)
        await world.run(500)
        self.assertTrue(world.row.claims)
        self.assertTrue(await driver.task.hand_over())
        await driver.die()
        other = world.add_driver("b")
        await world.run(500)
        self.assertFalse(other.lease.claim().after_expiry)
        await world.finish()
        self.assert_done(world)

    async def test_planned_stop_with_an_order_on_its_way_lets_the_lease_lapse(self):
        world = self.make_world(names=REPLICAS[:2], honours_fencing=False)
        engine = world.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        driver = await self.begin(world)
        await world.run(750)
        self.assertFalse(driver.task._rollout.is_quiet(world.clock.now_ms()))
