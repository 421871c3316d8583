"""Orders that arrive after the rollout for which they were sent has gone on."""

import unittest

from .test_rollout import RolloutMachine


class HeldOrdersTests(unittest.TestCase):
    def test_a_finished_rollout_leaves_every_replica_with_the_version(self):
        """Guards against a rollout that ends while a replica has no version.

        The orders of three rollouts are delayed, the last lease holder is killed, and
        then all orders arrive. The rollout's row says that it is done, while one
        replica still loads and has no version.
        """
        machine = RolloutMachine()
        machine.hold_orders(500, False)
        machine.hold_orders(500, False)
        machine.hold_orders(500, True)
        machine.teardown()
