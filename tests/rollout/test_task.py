from unittest import mock

from fireflyward.leases import LeaseStep, LeaseTask
from fireflyward.rollout import ROLLOUT_KEY, Phase, RolloutStep, Target
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
    """Return an observer that calls ``act`` the first time that a step is reached."""
    seen = []

    def observe(reached):
        if reached is step and not seen:
            seen.append(reached)
            act()

    return observe


def crash():
    raise Crash


class NoFaultTests(RolloutCase):
    async def test_every_replica_loads_once_and_capacity_is_kept(self):
        for names in (REPLICAS, REPLICAS[:5], REPLICAS[:2]):
            with self.subTest(replicas=len(names)):
                simulation = self.make_simulation(names=names)
                await self.begin(simulation)
                await simulation.finish()
                self.assert_done(simulation)

    async def test_share_of_the_new_version_only_grows(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        shares = []
        for _ in range(80):
            await simulation.run(250)
            row = simulation.row.shares_by_model[MODEL]
            shares.append(row[0].up_to if row[0].version == "v2" else 0)
        self.assertEqual(shares, sorted(shares))
        self.assertGreater(len(set(shares)), 3)

    async def test_role_and_adapters_are_ordered_too(self):
        simulation = self.make_simulation(names=REPLICAS[:2])
        driver = await self.begin(simulation)
        target = Target({MODEL: "v1"}, (f"{MODEL}/seismic",), "prefill", True)
        driver.plan.target_by_replica.update(dict.fromkeys(simulation.names, target))
        await simulation.finish()
        for orders in simulation.fleet.orders_by_name.values():
            self.assertEqual(orders.role, "prefill")
            self.assertEqual(orders.adapters, (f"{MODEL}/seismic",))

    async def test_bundle_that_changes_no_replica_needs_one_write(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        writes = simulation.table.writes
        renewals = []
        simulation.drivers[0].lease._observe = renewals.append
        simulation.accept(3, "v2")
        await simulation.run(2_000)
        renewed = renewals.count(LeaseStep.RENEWED)
        self.assertEqual(simulation.table.writes - writes - renewed, 1)
        self.assertEqual(simulation.row.bundle_number, 3)


class FailedStepTests(RolloutCase):
    """Steps that raise, after each of which the task starts anew."""

    async def run_with_failure(self, fail):
        """Run a rollout during which ``fail`` makes one call raise an exception."""
        simulation = self.make_simulation(names=REPLICAS[:3])
        driver = await self.begin(simulation)
        step, self.failures = driver.task.step, 0

        async def step_anew():
            try:
                await step()
            except ValueError:
                self.failures += 1

        driver.task.step = step_anew
        fail(simulation)
        await simulation.finish()
        self.assertEqual(self.failures, 1)
        self.assertEqual(simulation.row.phase, Phase.DONE, simulation.row)
        self.assertEqual(simulation.versions, {"v2"})

    async def test_a_call_that_raises_does_not_end_the_rollout(self):
        """Guards against a rollout that fails again and again with an old error."""

        def fail(simulation):
            engine = simulation.fleet.engine_by_name[REPLICAS[0]]
            self.fail_once(engine, "send_order")

        await self.run_with_failure(fail)

    async def test_a_write_that_raises_does_not_end_the_rollout(self):
        """Guards against a rollout that waits for a write which nobody makes."""
        await self.run_with_failure(
            lambda simulation: self.fail_once(simulation.table, "commit", ROLLOUT_KEY)
        )

    async def test_a_new_fencing_number_is_requested_until_it_is_assigned(self):
        """Guards against a rollout that stands still under a lease that it holds."""
        request, requests = LeaseTask.request_new_fencing, []

        def lose_first(lease):
            requests.append(lease)
            if len(requests) > 1:
                request(lease)

        with mock.patch.object(LeaseTask, "request_new_fencing", lose_first):
            await self.run_with_failure(
                lambda simulation: self.fail_once(
                    simulation.fleet.engine_by_name[REPLICAS[0]], "send_order"
                )
            )
        self.assertGreater(len(requests), 1)

    def fail_once(self, target, name, key=None):
        method, calls = getattr(target, name), []

        async def call(*arguments, **options):
            if not calls and (key is None or key in options["expected"]):
                calls.append(name)
                raise ValueError("unexpected")
            return await method(*arguments, **options)

        setattr(target, name, call)


class CrashTests(RolloutCase):
    async def test_successor_finishes_a_rollout_after_a_crash_at_any_step(self):
        """Guards against a rollout that stops, and against replicas that load twice.

        The driver crashes at one step and another node gains the lease. The new driver
        must not need anything that was only in the memory of the last one.
        """
        for step in ORDINARY:
            for honours_fencing in BOTH_KINDS:
                with self.subTest(step=step, honours_fencing=honours_fencing):
                    simulation = self.make_simulation(honours_fencing=honours_fencing)
                    await self.begin(simulation, at(step, crash))
                    simulation.add_driver("b")
                    await simulation.finish()
                    self.assertTrue(simulation.drivers[0].is_stopped)
                    self.assert_done(simulation)

    async def test_rollout_stays_held_when_the_driver_crashes_during_the_hold(self):
        for step in (RolloutStep.HOLD_SENT, RolloutStep.HELD):
            with self.subTest(step=step):
                simulation = self.make_simulation()
                simulation.fleet.orders_by_name["engine-1"].fail_loads = 1
                await self.begin(simulation, at(step, crash))
                simulation.add_driver("b")
                await simulation.finish()
                self.assertTrue(simulation.drivers[0].is_stopped)
                self.assertEqual(simulation.row.phase, Phase.HELD)
                self.assertEqual(simulation.loads["engine-5"], 0)


class LostAnswerTests(RolloutCase):
    async def test_lost_answer_at_any_step_causes_no_second_load(self):
        """Guards against a replica that loads twice, and a rollout that stops.

        A write or an order takes effect and its answer is lost. A missing answer must
        not count as a failure after which the step is repeated as a new one.
        """
        for step in SENT:
            with self.subTest(step=step):
                simulation = self.make_simulation()
                if step is RolloutStep.HOLD_SENT:
                    continue
                await self.begin(
                    simulation, at(step, lambda w=simulation: self.lose_one(w))
                )
                await simulation.finish()
                self.assert_done(simulation)

    def lose_one(self, simulation):
        simulation.table.lose_answers = 1
        for orders in simulation.fleet.orders_by_name.values():
            orders.lose_answers = 1

    async def test_lost_order_is_resent(self):
        simulation = self.make_simulation()
        engine = simulation.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        await self.begin(simulation)
        await simulation.run(1_500)
        engine._held_orders.clear()
        engine.hold_orders = False
        await simulation.finish()
        self.assert_done(simulation)

    async def test_late_order_is_ignored_after_its_resent_copy(self):
        simulation = self.make_simulation()
        engine = simulation.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        await self.begin(simulation)
        await simulation.run(1_500)
        engine.hold_orders = False
        await simulation.finish()
        engine.deliver_held_orders()
        await simulation.run(5_000)
        self.assert_done(simulation)

    async def test_unavailable_table_at_any_step_causes_no_second_load(self):
        for step in ORDINARY:
            with self.subTest(step=step):
                simulation = self.make_simulation()

                def make_unavailable(simulation=simulation):
                    simulation.table.unavailable = True

                await self.begin(simulation, at(step, make_unavailable))
                await simulation.run(15_000)
                simulation.table.unavailable = False
                await simulation.finish()
                self.assert_done(simulation)


class PausedHolderTests(RolloutCase):
    async def test_holder_paused_at_any_step_sends_no_order_when_it_resumes(self):
        """Guards against orders of a former driver.

        The holder is paused at a step until its lease has expired, and resumes. It has
        to compare the lease with its clock before each order, instead of relying on a
        timer or a flag.
        """
        for step in ORDINARY:
            for honours_fencing in BOTH_KINDS:
                with self.subTest(step=step, honours_fencing=honours_fencing):
                    await self.pause_at(step, honours_fencing)

    async def pause_at(self, step, honours_fencing):
        simulation = self.make_simulation(honours_fencing=honours_fencing)
        fencing_at_pause = []

        def pause():
            fencing_at_pause.append(simulation.row.fencing)
            simulation.clock.paused_ms += 30_000
            for orders in simulation.fleet.orders_by_name.values():
                orders.applied_orders.clear()

        await self.begin(simulation, at(step, pause))
        simulation.add_driver("b")
        await simulation.finish()
        self.assertEqual(len(fencing_at_pause), 1)
        for orders in simulation.fleet.orders_by_name.values():
            for order in orders.applied_orders:
                self.assertGreater(order.fencing, fencing_at_pause[0])
        self.assert_done(simulation)

    async def stop_driver_with_order_in_flight(self, honours_fencing):
        """Stop a driver that has an order in flight."""
        simulation = self.make_simulation(honours_fencing=honours_fencing)
        engine = simulation.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        driver = await self.begin(simulation)
        await simulation.run(750)
        await driver.stop()
        self.assertEqual(len({order.order_id for order in engine._held_orders}), 1)
        return simulation, engine

    async def test_engine_that_honours_fencing_rejects_the_order_of_a_former_holder(
        self,
    ):
        simulation, engine = await self.stop_driver_with_order_in_flight(True)
        engine.hold_orders = False
        simulation.add_driver("b")
        simulation.accept(3, "v3")
        await simulation.finish()
        for result in engine.deliver_held_orders():
            self.assertIsInstance(result, OrderRefused)
            self.assertEqual(result.reason, OrderReason.OLD_FENCING)
        self.assertEqual(simulation.versions, {"v3"})
        self.assertEqual(simulation.loads["engine-0"], 1)

    async def test_successor_waits_for_orders_to_engines_that_ignore_fencing(self):
        """Guards against a replica that loads the previous version again.

        The lease of a holder expires with an order in flight, its successor orders a
        newer version, and then the old order arrives. Since the engine ignores
        fencing, the successor has to wait for the longest flight of an order first.
        """
        simulation, engine = await self.stop_driver_with_order_in_flight(False)
        engine.hold_orders = False
        simulation.add_driver("b")
        simulation.accept(3, "v3")
        while simulation.row.fencing < 2:
            await simulation.run(250)
        await simulation.run(4_000)
        applied_orders = [
            o.applied_orders for o in simulation.fleet.orders_by_name.values()
        ]
        self.assertTrue(
            all(o.fencing == 1 for orders in applied_orders for o in orders)
        )
        engine.deliver_held_orders()
        await simulation.finish()
        self.assertEqual(simulation.versions, {"v3"})

    async def test_order_in_flight_arrives_before_anything_newer_is_ordered(self):
        """Guards against a replica that loads an old version again.

        A holder crashes with an order in flight. The successor orders the same load,
        then that of a newer bundle, and then the old order arrives. The engine
        ignores fencing and forgets order ids, so the successor has to wait for the
        longest flight of an order.
        """
        simulation, engine = await self.stop_driver_with_order_in_flight(False)
        engine.hold_orders = False
        engine.orders.deduplicates_orders = False
        simulation.add_driver("b")
        while simulation.row.fencing < 2:
            await simulation.run(250)
        await simulation.run(2_500)
        simulation.accept(3, "v3")
        await simulation.run(2_000)
        engine.deliver_held_orders()
        await simulation.finish()
        versions = [o.version_by_model[MODEL] for o in engine.orders.applied_orders]
        self.assertEqual(versions, sorted(versions))
        self.assertEqual(simulation.versions, {"v3"})

    async def test_effect_of_an_order_after_the_longest_flight_is_reverted(self):
        """Guards against an old version that stays on an engine that ignores fencing.

        An order of a former holder arrives a minute late, which no waiting time can
        exclude. The driver detects it by the regular reads of states and orders the
        load again, so the replica is out of service for two loads. No request gets the
        old version, since the replica does not confirm the new one meanwhile.
        """
        simulation, engine = await self.stop_driver_with_order_in_flight(False)
        engine.hold_orders = False
        simulation.add_driver("b")
        simulation.accept(3, "v3")
        await simulation.finish()
        engine.deliver_held_orders()
        await simulation.run(500)
        self.assertEqual(
            simulation.fleet.count_serving(simulation.clock.now_ms(), MODEL, "v3"), 5
        )
        await simulation.run(20_000)
        self.assertEqual(simulation.versions, {"v3"})
        self.assertEqual(simulation.row.phase, Phase.DONE)


class RaceTests(RolloutCase):
    async def test_three_competing_nodes_run_one_rollout(self):
        simulation = self.make_simulation()
        for name in ("a", "b", "c"):
            simulation.add_driver(name)
        await simulation.run(1_000)
        simulation.accept(2, "v2")
        await simulation.finish()
        self.assert_done(simulation)
        self.assertEqual(simulation.row.fencing, 1)

    async def test_planned_stop_during_a_rollout_hands_over_immediately(self):
        simulation = self.make_simulation(honours_fencing=False)
        driver = await self.begin(simulation)
        await simulation.run(500)
        self.assertTrue(simulation.row.claims)
        self.assertTrue(await driver.task.hand_over())
        await driver.stop()
        other = simulation.add_driver("b")
        await simulation.run(500)
        self.assertFalse(other.lease.claim().after_expiry)
        await simulation.finish()
        self.assert_done(simulation)

    async def test_planned_stop_with_an_order_in_flight_lets_the_lease_expire(self):
        simulation = self.make_simulation(names=REPLICAS[:2], honours_fencing=False)
        engine = simulation.fleet.engine_by_name["engine-0"]
        engine.hold_orders = True
        driver = await self.begin(simulation)
        await simulation.run(750)
        self.assertFalse(
            driver.task._rollout.has_no_orders_in_flight(simulation.clock.now_ms())
        )
