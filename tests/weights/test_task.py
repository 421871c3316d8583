"""When a holder of the lease may order."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.deployment import ModelWeights, ReplicaEntry, WeightTarget
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import Claim, Gained, Lost
from fireflyward.replicas import ReplicaDirectory
from fireflyward.weights import WeightTask

LEASE_MS = 3_000
SLACK_MS = 300


class Lease:
    """A lease that holds what it is told to."""

    def __init__(self):
        self.held = None
        self.freshened = 0

    def request_renewal(self):
        self.freshened += 1

    def claim(self):
        return self.held


class HolderTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.lease = Lease()
        self.directory = ReplicaDirectory()
        self.weights = WeightVersions(version_ms=12_000)
        self.task = WeightTask(
            clock=self.clock,
            lease=self.lease,
            api=None,
            directory=self.directory,
            weights=self.weights,
            news=None,
            busy_ms=lambda now_ms, state: 0.0,
            node="entry-1",
            lease_ms=LEASE_MS,
            slack_ms=SLACK_MS,
        )

    def gain(self, fencing, *, after_expiry):
        claim = Claim(fencing, self.clock.now_ms() + LEASE_MS, after_expiry)
        self.lease.held = claim
        self.task.on_change(Gained(claim))

    def renew(self):
        """Renew the claim at the time that it is now."""
        held = self.lease.held
        self.lease.held = Claim(
            held.fencing, self.clock.now_ms() + LEASE_MS, held.after_expiry
        )

    def may_order_after(self, wait_ms):
        self.clock._now_ms += wait_ms
        self.renew()
        return self.task._fencing()

    def test_a_replica_that_said_that_it_leaves_is_not_behind(self):
        """Guards against loads of weights at replicas that are about to end."""
        weights = (ModelWeights("m", 1),)
        entry = ReplicaEntry("r1", "s", "r1:80", "a", 4, False, weights=weights)
        self.directory.on_whole(0, [entry], after_outage=False)
        self.weights.set_target(0, WeightTarget("m", 2), at_start=False)
        self.assertEqual(self.task._models_behind(), {"m"})
        self.directory.on_leaving(self.directory.find("r1"))
        self.assertEqual(self.task._models_behind(), set())
        self.assertEqual(self.task._views(0, "m"), [])

    def test_the_first_holder_orders_at_once(self):
        self.gain(1, after_expiry=False)
        self.assertEqual(self.task._fencing(), 1)

    def test_after_a_hand_over_the_last_orders_are_waited_out(self):
        """Symptom: a replica loads weights back and forth.

        A holder orders and hands over; its successor orders within one lease's
        length, and replicas that check no token obey both in turns.
        """
        self.gain(2, after_expiry=False)
        self.assertIsNone(self.may_order_after(LEASE_MS + SLACK_MS - 1))
        self.assertEqual(self.may_order_after(1), 2)

    def test_after_a_lapse_the_rest_is_waited_out(self):
        self.gain(2, after_expiry=True)
        self.assertIsNone(self.may_order_after(LEASE_MS // 10 + SLACK_MS - 1))
        self.assertEqual(self.may_order_after(1), 2)

    def test_a_holder_whose_renewal_is_old_orders_nothing(self):
        """Symptom: as above.

        The holder is cut off from the store and goes on ordering until its lease
        ends, just before another takes it.
        """
        self.gain(1, after_expiry=False)
        self.clock._now_ms += LEASE_MS // 10
        self.assertEqual(self.task._fencing(), 1)
        self.clock._now_ms += 1
        self.assertIsNone(self.task._fencing())

    def test_without_the_lease_nothing_is_ordered(self):
        self.gain(1, after_expiry=False)
        self.lease.held = None
        self.task.on_change(Lost(1))
        self.assertIsNone(self.task._fencing())

    def name_a_version(self):
        entry = ReplicaEntry(
            "r1", "s", "r1:80", "a", 4, False, weights=(ModelWeights("m", 1),)
        )
        self.directory.on_whole(0, [entry], after_outage=False)
        self.weights.set_target(0, WeightTarget("m", 2))

    def test_a_lease_is_renewed_for_an_order(self):
        """Symptom: a rollout stands still for four seconds after its holder was lost.

        The holder might order for a third of the lease after each renewal, and its
        successor had to wait that out. Now it orders only just after a renewal, which
        it asks for when an order is due.
        """
        self.gain(1, after_expiry=False)
        self.clock._now_ms += LEASE_MS // 10 + 1
        self.task._order_due()
        self.assertEqual(self.lease.freshened, 0)
        self.name_a_version()
        self.task._order_due()
        self.assertEqual(self.lease.freshened, 1)
        self.assertFalse(self.task._loads)

    def test_an_evacuated_domain_loads_beside_the_share(self):
        """Symptom: a rollout took as long as if nothing were evacuated.

        The replicas of the evacuated domain, which serve nobody, waited for their
        turn among those that did.
        """
        self.name_a_version()
        (view,) = self.task._views(0, "m")
        self.assertFalse(view.is_evacuated)
        self.directory.set_evacuated(0, frozenset("a"))
        (view,) = self.task._views(0, "m")
        self.assertTrue(view.is_evacuated)

    def test_a_lapsed_lease_is_noticed_sooner_while_a_rollout_is_under_way(self):
        self.assertEqual(self.task.look_ms(), LEASE_MS // 3)
        self.name_a_version()
        self.assertEqual(self.task.look_ms(), 400)
        self.directory.find("r1").on_loaded("m", 2)
        self.assertEqual(self.task.look_ms(), LEASE_MS // 3)
