"""Rollouts that a newer bundle replaces, and rollouts that wait for an operator."""

from fireflyward.rollout import Phase

from .rollout_fixtures import MODEL, REPLICAS, RolloutCase


class SupersedeTests(RolloutCase):
    async def test_newer_bundle_starts_when_no_load_is_in_progress(self):
        """Guards against two rollouts at the same time.

        A bundle is accepted in the middle of a rollout. If both rollouts continued, the
        replicas of one model would switch between three versions.
        """
        for after_ms in range(250, 12_000, 1_250):
            with self.subTest(after_ms=after_ms):
                simulation = self.make_simulation()
                await self.begin(simulation)
                await simulation.run(after_ms)
                simulation.accept(3, "v3")
                await simulation.finish()
                self.assertEqual(simulation.row.bundle_number, 3)
                self.assertEqual(simulation.row.phase, Phase.DONE)
                self.assertEqual(simulation.versions, {"v3"})
                self.assertLessEqual(max(simulation.loads.values()), 2)

    async def test_revert_during_a_rollout_reloads_only_changed_replicas(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.run(2_000)
        simulation.accept(3, "v1")
        await simulation.finish()
        self.assertEqual(simulation.versions, {"v1"})
        self.assertEqual(sum(simulation.loads.values()), 4)

    async def test_driver_with_an_older_bundle_orders_no_loads(self):
        simulation = self.make_simulation()
        driver = await self.begin(simulation)
        await simulation.finish()
        await driver.stop()
        behind = simulation.add_driver("b")
        behind.plan = simulation.make_plan(1, "v1")
        await simulation.finish()
        self.assertEqual(simulation.versions, {"v2"})
        self.assertEqual(simulation.row.bundle_number, 2)


class HoldTests(RolloutCase):
    async def test_failed_load_holds_the_rollout_and_names_the_next_step(self):
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name["engine-1"].fail_loads = 1
        await self.begin(simulation)
        await simulation.finish()
        row = simulation.row
        self.assertEqual(row.phase, Phase.HELD)
        self.assertIn("engine-1", row.held_because)
        self.assertIn("bundle 3", row.next_step)
        self.assertEqual(simulation.loads["engine-5"], 0)

    async def test_rejected_order_holds_the_rollout(self):
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name["engine-0"].refuse = 1
        await self.begin(simulation)
        await simulation.run(20_000)
        self.assertIn("not_now", simulation.row.held_because)

    async def test_next_bundle_ends_the_hold(self):
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name["engine-1"].fail_loads = 1
        await self.begin(simulation)
        await simulation.run(20_000)
        simulation.accept(3, "v2")
        await simulation.finish()
        self.assertEqual(simulation.row.phase, Phase.DONE)
        self.assertEqual(simulation.versions, {"v2"})
        self.assertEqual(simulation.row.held_because, "")

    async def test_version_with_more_errors_is_held_after_the_first_replicas(self):
        simulation = self.make_simulation()
        driver = await self.begin(simulation)
        while "v2" not in simulation.versions:
            await simulation.run(250)
        driver.watch.of(MODEL, "v1").runs = 100
        driver.watch.of(MODEL, "v2").runs = 40
        driver.watch.of(MODEL, "v2").failures = 8
        await simulation.run(20_000)
        self.assertEqual(simulation.row.phase, Phase.HELD)
        self.assertIn("answers worse", simulation.row.held_because)
        self.assertIn("v1", simulation.row.next_step)
        self.assertEqual(sum(simulation.loads.values()), 2)

    async def test_replica_unreachable_during_its_load_keeps_its_claim(self):
        """Guards against three loads at once.

        A replica loses its connection during a load. If the driver assumed that the
        load had ended, it would order another replica while this one still loads.
        """
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.run(500)
        lost = simulation.row.claims[0].replica
        simulation.fleet.orders_by_name[lost].unavailable = True
        await simulation.run(70_000)
        self.assertEqual(simulation.row.phase, Phase.HELD)
        self.assertEqual([claim.replica for claim in simulation.row.claims], [lost])
        simulation.accept(3, "v3")
        await simulation.finish()
        self.assertIn(lost, [claim.replica for claim in simulation.row.claims])
        simulation.fleet.orders_by_name[lost].unavailable = False
        await simulation.run(20_000)
        self.assertEqual(simulation.versions, {"v3"})
        self.assertEqual(simulation.row.phase, Phase.DONE)

    async def test_unreachable_replica_is_skipped_and_loaded_when_reachable_again(self):
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name["engine-3"].unavailable = True
        await self.begin(simulation)
        simulation.min_serving = len(REPLICAS)
        await simulation.finish()
        self.assertEqual(simulation.row.unreachable, ("engine-3",))
        self.assertEqual(simulation.row.confirmed, 5)
        simulation.fleet.orders_by_name["engine-3"].unavailable = False
        await simulation.run(10_000)
        self.assertEqual(simulation.versions, {"v2"})
