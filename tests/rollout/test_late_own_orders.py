"""Late orders of a driver that has sent newer ones under the same fencing number."""

import unittest

import msgspec

from fireflyward.backing import Unavailable
from fireflyward.leases import LeaseRow
from fireflyward.rollout import Phase
from fireflyward.upstreams import Broken

from .rollout_fixtures import RolloutCase
from .test_rollout import RolloutMachine


class RepeatedOrderTests(unittest.TestCase):
    def test_next_bundle_is_not_replaced_by_a_late_order_of_the_one_before(self):
        """Guards against a finished rollout whose replicas reload an old version.

        The orders of a rollout are delayed, and sent again. The same driver finishes
        this rollout and the next one; then the first copies arrive.
        """
        machine = RolloutMachine()
        machine.hold_orders(500, False)
        machine.go_on(15_000)
        machine.accept(2_000)
        machine.go_on(15_000)
        machine.go_on(15_000)
        machine.teardown()

    def test_returned_version_is_not_replaced_by_a_late_order(self):
        """Guards against the same after a replica was out of reach for a load's time.

        Its claim ends without an order that arrived, and a later bundle needs none.
        """
        machine = RolloutMachine()
        machine.hold_orders(500, False)
        machine.replica_unavailable("engine-0", 70_000)
        machine.accept(250)
        machine.accept(250)
        machine.go_on(15_000)
        machine.go_on(15_000)
        machine.teardown()


class NewNumberTests(RolloutCase):
    async def test_lost_answers_cost_one_new_number(self):
        simulation = self.make_simulation()
        for name in ("engine-0", "engine-2", "engine-5"):
            simulation.fleet.orders_by_name[name].lose_answers = 1
        await self.begin(simulation)
        await simulation.finish()
        self.assert_done(simulation)
        self.assertEqual(simulation.row.fencing, 2)
        numbers = {o.fencing for o in simulation.fleet.orders_by_name.values()}
        self.assertEqual(numbers, {2})
        await simulation.run(20_000)
        self.assertEqual(simulation.row.fencing, 2)

    async def test_number_stays_without_a_lost_order(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        self.assertEqual(simulation.row.fencing, 1)

    async def test_new_number_is_requested_again(self):
        """Guards against a rollout that waits for a number that was never assigned."""
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name["engine-2"].lose_answers = 1
        commit, rejected = simulation.table.commit, []

        async def reject_first(*, expected, puts, **options):
            lease = puts.get("lease/rollout")
            is_new = lease and msgspec.json.decode(lease, type=LeaseRow).fencing == 2
            if is_new and not rejected:
                rejected.append(lease)
                return Unavailable("fault injected")
            return await commit(expected=expected, puts=puts, **options)

        simulation.table.commit = reject_first
        await self.begin(simulation)
        await simulation.finish()
        self.assertEqual(len(rejected), 1)
        self.assert_done(simulation)
        self.assertEqual(simulation.row.fencing, 2)

    async def test_replica_that_loses_every_order_still_holds_the_rollout(self):
        """Guards against new numbers that restart the time limit of a load."""
        simulation = self.make_simulation()
        simulation.fleet.engine_by_name["engine-5"].hold_orders = True
        await self.begin(simulation)
        await simulation.finish()
        self.assertEqual(simulation.row.phase, Phase.HELD)
        self.assertIn("engine-5", simulation.row.held_because)

    async def test_late_fencing_order_does_not_replace_a_load(self):
        """Guards against a fencing order that arrives after its driver's load order."""
        simulation = self.make_simulation()
        for orders in simulation.fleet.orders_by_name.values():
            orders.deduplicates_orders = False
        await self.begin(simulation)
        await simulation.finish()
        engine = simulation.fleet.engine_by_name["engine-0"]
        late = []
        send_order = engine.send_order

        async def send(order):
            if order.order_id.startswith("fencing.") and not late:
                late.append(order)
                return Broken(True, "no answer yet")
            return await send_order(order)

        engine.send_order = send
        await simulation.drivers[0].stop()
        simulation.add_driver("b")
        simulation.accept(3, "v3")
        await simulation.run(30_000)
        self.assertEqual(simulation.row.phase, Phase.DONE)
        engine.orders.handle_order(simulation.clock.now_ms(), *late)
        await simulation.run(10_000)
        self.assertEqual(simulation.versions, {"v3"})
        self.assertEqual(simulation.loads["engine-0"], 2)
