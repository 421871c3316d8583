"""A rollout that another takes over, and one that waits for an operator."""

from fireflyward.rollout import Phase

from .rollout_fixtures import MODEL, REPLICAS, RolloutCase


class SupersedeTests(RolloutCase):
    async def test_later_bundle_takes_over_at_a_safe_point(self):
        """Symptom: replicas of one model at three versions that flap. Sequence: a
        bundle is accepted in the middle of a rollout. Cause: both rollouts went on
        side by side."""
        for after_ms in range(250, 12_000, 1_250):
            with self.subTest(after_ms=after_ms):
                world = self.make_world()
                await self.begin(world)
                await world.run(after_ms)
                world.accept(3, "v3")
                await world.finish()
                self.assertEqual(world.row.bundle_number, 3)
                self.assertEqual(world.row.phase, Phase.DONE)
                self.assertEqual(world.versions, {"v3"})
                self.assertLessEqual(max(world.loads.values()), 2)

    async def test_going_back_in_the_middle_reloads_only_what_changed(self):
        world = self.make_world()
        await self.begin(world)
        await world.run(2_000)
        world.accept(3, "v1")
        await world.finish()
        self.assertEqual(world.versions, {"v1"})
        self.assertEqual(sum(world.loads.values()), 4)

    async def test_driver_behind_the_rollout_adds_nothing_of_its_older_bundle(self):
        world = self.make_world()
        driver = await self.begin(world)
        await world.finish()
        await driver.die()
        behind = world.add_driver("b")
        behind.plan = world.make_plan(1, "v1")
        await world.finish()
        self.assertEqual(world.versions, {"v2"})
        self.assertEqual(world.row.bundle_number, 2)


class HoldTests(RolloutCase):
    async def test_failed_load_holds_the_rollout_with_a_next_step(self):
        world = self.make_world()
        world.fleet.orders_by_name["engine-1"].fail_loads = 1
        await self.begin(world)
        await world.finish()
        row = world.row
        self.assertEqual(row.phase, Phase.HELD)
        self.assertIn("engine-1", row.held_because)
        self.assertIn("bundle 3", row.next_step)
        self.assertEqual(world.loads["engine-5"], 0)

    async def test_refused_order_holds_the_rollout(self):
        world = self.make_world()
        world.fleet.orders_by_name["engine-0"].refuse = 1
        await self.begin(world)
        await world.run(20_000)
        self.assertIn("not_now", world.row.held_because)

    async def test_next_bundle_ends_the_hold(self):
        world = self.make_world()
        world.fleet.orders_by_name["engine-1"].fail_loads = 1
        await self.begin(world)
        await world.run(20_000)
        world.accept(3, "v2")
        await world.finish()
        self.assertEqual(world.row.phase, Phase.DONE)
        self.assertEqual(world.versions, {"v2"})
        self.assertEqual(world.row.held_because, "")

    async def test_version_with_more_errors_is_held_after_its_first_replicas(self):
        world = self.make_world()
        driver = await self.begin(world)
        while "v2" not in world.versions:
            await world.run(250)
        driver.watch.of(MODEL, "v1").runs = 100
        driver.watch.of(MODEL, "v2").runs = 40
        driver.watch.of(MODEL, "v2").failures = 8
        await world.run(20_000)
        self.assertEqual(world.row.phase, Phase.HELD)
        self.assertIn("answers worse", world.row.held_because)
        self.assertIn("v1", world.row.next_step)
        self.assertEqual(sum(world.loads.values()), 2)

    async def test_replica_out_of_reach_in_its_load_keeps_its_place(self):
        """Symptom: three loads at once. Sequence: a replica loses its connection
        in the middle of a load, and the driver gives its place to another while
        it still loads. Cause: silence was taken for the end of the load."""
        world = self.make_world()
        await self.begin(world)
        await world.run(500)
        lost = world.row.claims[0].replica
        world.fleet.orders_by_name[lost].away = True
        await world.run(70_000)
        self.assertEqual(world.row.phase, Phase.HELD)
        self.assertEqual([claim.replica for claim in world.row.claims], [lost])
        world.accept(3, "v3")
        await world.finish()
        self.assertIn(lost, [claim.replica for claim in world.row.claims])
        world.fleet.orders_by_name[lost].away = False
        await world.run(20_000)
        self.assertEqual(world.versions, {"v3"})
        self.assertEqual(world.row.phase, Phase.DONE)

    async def test_dead_replica_is_left_out_and_loaded_when_it_returns(self):
        world = self.make_world()
        world.fleet.orders_by_name["engine-3"].away = True
        await self.begin(world)
        world.least_serving = len(REPLICAS)
        await world.finish()
        self.assertEqual(world.row.unreachable, ("engine-3",))
        self.assertEqual(world.row.confirmed, 5)
        world.fleet.orders_by_name["engine-3"].away = False
        await world.run(10_000)
        self.assertEqual(world.versions, {"v2"})
