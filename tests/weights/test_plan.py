"""Which replicas load, and when."""

import unittest

from fireflyward.weights import RolloutView, WeightPlan


def views(*versions):
    return [
        RolloutView(f"r{n}", n, f"r{n}:80", version, float(n))
        for n, version in enumerate(versions)
    ]


class PlanTests(unittest.TestCase):
    def setUp(self):
        self.plan = WeightPlan()

    def ordered(self, now_ms, pool):
        orders = self.plan.next(now_ms, "m", 2, pool)
        for order in orders:
            self.plan.on_begun(now_ms, order)
        return [order.incarnation for order in orders]

    def test_a_third_at_a_time_the_least_busy_first(self):
        pool = views(1, 1, 1, 1, 1, 1)
        self.assertEqual(self.ordered(0, pool), ["r0", "r1"])
        self.assertEqual(self.ordered(100, pool), [])

    def test_the_next_one_follows_when_one_is_done(self):
        (first, second) = self.plan.next(0, "m", 2, views(1, 1, 1, 1, 1, 1))
        self.plan.on_begun(0, first)
        self.plan.on_begun(0, second)
        self.plan.on_done(first)
        self.assertEqual(self.ordered(100, views(2, 1, 1, 1, 1, 1)), ["r2"])

    def test_an_order_that_was_lost_is_given_again(self):
        self.assertEqual(self.ordered(0, views(1)), ["r0"])
        self.assertEqual(self.ordered(5_999, views(1)), [])
        self.assertEqual(self.ordered(6_000, views(1)), ["r0"])

    def test_a_replica_that_is_not_reached_does_not_hold_up_the_others(self):
        (order,) = self.plan.next(0, "m", 2, views(1, 1, 1))
        self.plan.on_begun(0, order)
        self.plan.on_unreached(100, order)
        self.assertEqual(self.ordered(700, views(1, 1, 1)), ["r0"])

    def test_the_oldest_weights_load_first(self):
        """Symptom: replicas load twice while others have had their time.

        A second version is named while the first is being rolled out. Those that
        had the first were less busy and loaded first, though only the others were
        about to be barred.
        """
        pool = [
            RolloutView(f"r{n}", n, "", v, 9.0 - n)
            for n, v in enumerate((0, 0, 1, 1, 1))
        ]
        self.assertEqual(self.ordered(0, pool), ["r1", "r0"])

    def test_nothing_to_do(self):
        self.assertEqual(self.ordered(0, views(2, 2)), [])
        self.assertEqual(self.ordered(0, []), [])


class IdleReplicasTests(unittest.TestCase):
    def test_replicas_that_may_not_serve_load_beside_the_share(self):
        """Symptom: long after a rollout's holder was cut off, a third is refused.

        The next holder began seconds later. By then the oldest weights might serve
        nobody, and still two of five replicas loaded at a time.
        """
        views = [
            RolloutView(f"old{i}", 100 + i, "", 1, 0.0, may_serve=False)
            for i in range(3)
        ]
        views += [RolloutView(f"new{i}", i, "", 2, float(i)) for i in range(2)]
        plan = WeightPlan()
        names = [order.incarnation for order in plan.next(0, "m", 3, views)]
        self.assertEqual(names, ["old0", "old1", "old2"])

    def test_the_share_holds_for_those_that_serve(self):
        views = [RolloutView("old", 100, "", 1, 0.0, may_serve=False)]
        views += [RolloutView(f"new{i}", i, "", 2, float(i)) for i in range(4)]
        plan = WeightPlan()
        names = [order.incarnation for order in plan.next(0, "m", 3, views)]
        self.assertEqual(names, ["old", "new0"])


class EvacuationTests(unittest.TestCase):
    def pool(self, evacuated, others):
        gone = [
            RolloutView(f"gone{n}", 100 + n, "", 1, 0.0, is_evacuated=True)
            for n in range(evacuated)
        ]
        return gone + [RolloutView(f"r{n}", n, "", 1, float(n)) for n in range(others)]

    def ordered(self, plan, pool):
        """Return how many evacuated replicas are ordered, and how many others."""
        orders = plan.next(0, "m", 2, pool)
        for order in orders:
            plan.on_begun(0, order)
        names = [order.incarnation for order in orders]
        gone = [name for name in names if name.startswith("gone")]
        return len(gone), len(names) - len(gone)

    def test_an_evacuated_domain_loads_first_and_whole(self):
        """Symptom: a rollout took as long as if nothing were evacuated."""
        self.assertEqual(self.ordered(WeightPlan(), self.pool(23, 47)), (23, 5))

    def test_two_fifths_of_those_that_serve_load_at_once(self):
        """Symptom: new weights in an evacuation made a third of the answers late.

        The share was one of all replicas. Once the evacuated ones had loaded, three
        fifths of those that were left to serve loaded at a time.
        """
        plan = WeightPlan()
        pool = self.pool(23, 47)
        self.ordered(plan, pool)
        loaded = [
            RolloutView(view.incarnation, view.number, "", 2, 0.0, is_evacuated=True)
            for view in pool[:23]
        ]
        self.assertEqual(self.ordered(plan, loaded + pool[23:]), (0, 18 - 5))
