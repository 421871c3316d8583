"""Rollouts while a replica does not answer."""

import unittest

from fireflyward.rollout import Phase

from .rollout_fixtures import RolloutCase
from .test_rollout import RolloutMachine


class ReturningReplicaTests(unittest.TestCase):
    def test_replica_that_returns_has_the_version_when_the_rollout_is_done(self):
        """Guards against a rollout that is done while a replica has another version.

        A replica does not answer while the others load. The rollout's row says that
        it is done, and the replica returns with the version from before.
        """
        machine = RolloutMachine()
        machine.accept(250)
        machine.accept(250)
        machine.accept(2_000)
        machine.accept(250)
        machine.replica_unavailable("engine-5", 70_000)
        machine.teardown()


class UnreachableReplicaTests(RolloutCase):
    async def start_without(self, name):
        simulation = self.make_simulation()
        simulation.fleet.orders_by_name[name].unavailable = True
        await self.begin(simulation)
        await simulation.run(60_000)
        return simulation

    async def test_rollout_is_not_done_and_names_the_replica(self):
        simulation = await self.start_without("engine-3")
        row = simulation.row
        self.assertEqual((row.phase, row.confirmed), (Phase.RUNNING, 5))
        self.assertEqual(row.unreachable, ("engine-3",))

    async def test_rollout_is_done_when_the_replica_answers(self):
        simulation = await self.start_without("engine-3")
        simulation.fleet.orders_by_name["engine-3"].unavailable = False
        await simulation.finish()
        self.assert_done(simulation)

    async def test_next_bundle_does_not_wait_for_the_replica(self):
        simulation = await self.start_without("engine-3")
        simulation.accept(3, "v3")
        await simulation.run(30_000)
        self.assertEqual(simulation.row.bundle_number, 3)
        self.assertEqual(simulation.row.confirmed, 5)

    async def test_finished_rollout_stays_done_when_a_replica_falls_silent(self):
        simulation = self.make_simulation()
        await self.begin(simulation)
        await simulation.finish()
        simulation.fleet.orders_by_name["engine-3"].unavailable = True
        await simulation.run(20_000)
        self.assertEqual(simulation.row.phase, Phase.DONE)
        self.assertEqual(simulation.row.unreachable, ("engine-3",))
