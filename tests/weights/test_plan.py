"""Which replicas are ordered to load, and when."""

import unittest

from fireflyward.weights import ReplicaView, WeightPlan


def views(*versions):
    return [
        ReplicaView(f"r{n}", n, f"r{n}:80", version, float(n))
        for n, version in enumerate(versions)
    ]


class PlanTests(unittest.TestCase):
    def setUp(self):
        self.plan = WeightPlan()

    def ordered(self, now_ms, pool):
        orders = self.plan.next(now_ms, "m", 2, pool)
        for order in orders:
            self.plan.on_order_started(now_ms, order)
        return [order.incarnation for order in orders]

    def test_the_least_busy_share_loads_first(self):
        pool = views(1, 1, 1, 1, 1, 1)
        self.assertEqual(self.ordered(0, pool), ["r0", "r1"])
        self.assertEqual(self.ordered(100, pool), [])

    def test_the_next_replica_is_ordered_when_one_has_loaded(self):
        (first, second) = self.plan.next(0, "m", 2, views(1, 1, 1, 1, 1, 1))
        self.plan.on_order_started(0, first)
        self.plan.on_order_started(0, second)
        self.plan.on_loaded(first)
        self.assertEqual(self.ordered(100, views(2, 1, 1, 1, 1, 1)), ["r2"])

    def test_a_lost_order_is_repeated(self):
        self.assertEqual(self.ordered(0, views(1)), ["r0"])
        self.assertEqual(self.ordered(5_999, views(1)), [])
        self.assertEqual(self.ordered(6_000, views(1)), ["r0"])

    def test_an_unreachable_replica_does_not_delay_the_others(self):
        (order,) = self.plan.next(0, "m", 2, views(1, 1, 1))
        self.plan.on_order_started(0, order)
        self.plan.on_order_failed(100, order)
        self.assertEqual(self.ordered(700, views(1, 1, 1)), ["r0"])

    def test_the_oldest_weights_load_first(self):
        """Guards against replicas that load again before those with the oldest weights.

        A second version becomes the target while the first is rolled out. Replicas
        with the first were less busy and loaded first, although the time in which the
        older weights may serve was about to end.
        """
        pool = [
            ReplicaView(f"r{n}", n, "", v, 9.0 - n)
            for n, v in enumerate((0, 0, 1, 1, 1))
        ]
        self.assertEqual(self.ordered(0, pool), ["r1", "r0"])

    def test_no_orders_without_outdated_replicas(self):
        self.assertEqual(self.ordered(0, views(2, 2)), [])
        self.assertEqual(self.ordered(0, []), [])


class NotServingReplicasTests(unittest.TestCase):
    def test_replicas_that_may_not_serve_load_regardless_of_the_share(self):
        """Guards against requests rejected long after a rollout's holder was cut off.

        The next holder started seconds later, when the oldest weights were no longer
        allowed to serve, and yet only two of five replicas loaded at a time. A third
        of the requests was rejected.
        """
        views = [
            ReplicaView(f"old{i}", 100 + i, "", 1, 0.0, may_serve=False)
            for i in range(3)
        ]
        views += [ReplicaView(f"new{i}", i, "", 2, float(i)) for i in range(2)]
        plan = WeightPlan()
        names = [order.incarnation for order in plan.next(0, "m", 3, views)]
        self.assertEqual(names, ["old0", "old1", "old2"])

    def test_the_share_limits_replicas_that_may_serve(self):
        views = [ReplicaView("old", 100, "", 1, 0.0, may_serve=False)]
        views += [ReplicaView(f"new{i}", i, "", 2, float(i)) for i in range(4)]
        plan = WeightPlan()
        names = [order.incarnation for order in plan.next(0, "m", 3, views)]
        self.assertEqual(names, ["old", "new0"])


class EvacuationTests(unittest.TestCase):
    def pool(self, evacuated, others):
        gone = [
            ReplicaView(f"gone{n}", 100 + n, "", 1, 0.0, is_evacuated=True)
            for n in range(evacuated)
        ]
        return gone + [ReplicaView(f"r{n}", n, "", 1, float(n)) for n in range(others)]

    def ordered(self, plan, pool):
        """Return how many evacuated replicas are ordered, and how many others."""
        orders = plan.next(0, "m", 2, pool)
        for order in orders:
            plan.on_order_started(0, order)
        names = [order.incarnation for order in orders]
        gone = [name for name in names if name.startswith("gone")]
        return len(gone), len(names) - len(gone)

    def test_all_replicas_of_an_evacuated_domain_load_first(self):
        """Guards against a rollout that gains no time from an evacuated domain."""
        self.assertEqual(self.ordered(WeightPlan(), self.pool(23, 47)), (23, 5))

    def test_two_fifths_of_the_replicas_that_serve_load_at_once(self):
        """Guards against a third of the answers being late during an evacuation.

        The share was calculated from all replicas. Once the evacuated ones had loaded,
        three fifths of the replicas that still served loaded at a time.
        """
        plan = WeightPlan()
        pool = self.pool(23, 47)
        self.ordered(plan, pool)
        loaded = [
            ReplicaView(
                view.incarnation, view.incarnation_id, "", 2, 0.0, is_evacuated=True
            )
            for view in pool[:23]
        ]
        self.assertEqual(self.ordered(plan, loaded + pool[23:]), (0, 18 - 5))
