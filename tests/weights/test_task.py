"""When a holder of the lease may give orders."""

import unittest

from fireflyward.clock import ManualClock, Standstills
from fireflyward.deployment import ModelWeights, ReplicaEntry, WeightTarget
from fireflyward.forwarding import WeightVersions
from fireflyward.leases import Claim, Gained, Lost
from fireflyward.replicas import ReplicaDirectory
from fireflyward.weights import WeightTask

LEASE_MS = 3_000
SLACK_MS = 300


class Lease:
    """A lease whose claim is set by the test."""

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
            announcer=None,
            busy_ms=lambda now_ms, state: 0.0,
            node="entry-1",
            lease_ms=LEASE_MS,
            slack_ms=SLACK_MS,
            standstills=Standstills(clock=ManualClock()),
        )

    def gain(self, fencing, *, after_expiry):
        claim = Claim(fencing, self.clock.now_ms() + LEASE_MS, after_expiry)
        self.lease.held = claim
        self.task.on_change(Gained(claim))

    def renew(self):
        """Renew the claim at the current time."""
        held = self.lease.held
        self.lease.held = Claim(
            held.fencing, self.clock.now_ms() + LEASE_MS, held.after_expiry
        )

    def may_order_after(self, wait_ms):
        self.clock._now_ms += wait_ms
        self.renew()
        return self.task._fencing()

    def test_a_leaving_replica_is_not_ordered(self):
        """Guards against loads of weights at replicas that are about to exit."""
        weights = (ModelWeights("m", 1),)
        entry = ReplicaEntry("r1", "s", "r1:80", "a", 4, False, weights=weights)
        self.directory.on_full_read(0, [entry])
        self.weights.set_target(0, WeightTarget("m", 2))
        self.assertEqual(self.task._outdated_models(), {"m"})
        self.directory.on_leaving(self.directory.find("r1"))
        self.assertEqual(self.task._outdated_models(), set())
        self.assertEqual(self.task._views(0, "m"), [])

    def test_the_first_holder_may_order_immediately(self):
        self.gain(1, after_expiry=False)
        self.assertEqual(self.task._fencing(), 1)

    def test_after_a_hand_over_the_new_holder_waits_one_lease(self):
        """Guards against a replica that loads two versions alternately.

        A holder orders and hands over, and its successor orders within one lease
        duration. Replicas that do not check fencing tokens obey both.
        """
        self.gain(2, after_expiry=False)
        self.assertIsNone(self.may_order_after(LEASE_MS + SLACK_MS - 1))
        self.assertEqual(self.may_order_after(1), 2)

    def test_after_an_expiry_the_new_holder_waits_one_order_window(self):
        self.gain(2, after_expiry=True)
        self.assertIsNone(self.may_order_after(LEASE_MS // 10 + SLACK_MS - 1))
        self.assertEqual(self.may_order_after(1), 2)

    def test_a_holder_with_an_old_renewal_may_not_order(self):
        """Guards against a replica that loads two versions alternately.

        A holder that is cut off from the store would order until its lease expires,
        just before another node gains the lease.
        """
        self.gain(1, after_expiry=False)
        self.clock._now_ms += LEASE_MS // 10
        self.assertEqual(self.task._fencing(), 1)
        self.clock._now_ms += 1
        self.assertIsNone(self.task._fencing())

    def test_no_orders_without_the_lease(self):
        self.gain(1, after_expiry=False)
        self.lease.held = None
        self.task.on_change(Lost(1))
        self.assertIsNone(self.task._fencing())

    def set_target_version(self):
        entry = ReplicaEntry(
            "r1", "s", "r1:80", "a", 4, False, weights=(ModelWeights("m", 1),)
        )
        self.directory.on_full_read(0, [entry])
        self.weights.set_target(0, WeightTarget("m", 2))

    def test_the_lease_is_renewed_before_an_order(self):
        """Guards against a rollout that stops for four seconds after a lost holder.

        When a holder might order for a third of the lease after each renewal, its
        successor had to wait for that long. A holder therefore orders only just after
        a renewal, and requests a renewal when an order is pending.
        """
        self.gain(1, after_expiry=False)
        self.clock._now_ms += LEASE_MS // 10 + 1
        self.task._give_pending_orders()
        self.assertEqual(self.lease.freshened, 0)
        self.set_target_version()
        self.task._give_pending_orders()
        self.assertEqual(self.lease.freshened, 1)
        self.assertFalse(self.task._loads)

    def test_replicas_of_an_evacuated_domain_are_marked_in_views(self):
        """Guards against a rollout that gains no time from an evacuated domain.

        Replicas of the evacuated domain serve no requests, so they need not wait for
        the share of the replicas that do.
        """
        self.set_target_version()
        (view,) = self.task._views(0, "m")
        self.assertFalse(view.is_evacuated)
        self.directory.set_evacuated(0, frozenset("a"))
        (view,) = self.task._views(0, "m")
        self.assertTrue(view.is_evacuated)

    def test_the_lease_is_checked_more_often_during_a_rollout(self):
        self.assertEqual(self.task.lease_poll_ms(), LEASE_MS // 3)
        self.set_target_version()
        self.assertEqual(self.task.lease_poll_ms(), 400)
        self.directory.find("r1").on_loaded("m", 2)
        self.assertEqual(self.task.lease_poll_ms(), LEASE_MS // 3)
