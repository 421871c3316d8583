import unittest

from fireflyward.bundles import (
    Condition,
    NodeObservation,
    NodeStatusTracker,
    is_in_force_everywhere,
)


def observation(name, number=2, **options):
    options.setdefault("is_reached", True)
    return NodeObservation(name, "norte", number, **options)


class NodeStatusTrackerTests(unittest.TestCase):
    def setUp(self):
        self.tracker = NodeStatusTracker()

    def conditions(self):
        return {item.name: item.condition for item in self.tracker.statuses()}

    def test_each_condition(self):
        self.tracker.observe(
            100,
            2,
            [
                observation("a"),
                observation("b", 1),
                observation("c", 0, is_reached=False),
                observation("d", is_leaving=True),
                observation("e", 1, refused="signatures"),
            ],
        )
        self.assertEqual(
            list(self.conditions().values()),
            [
                Condition.IN_FORCE,
                Condition.BEHIND,
                Condition.UNREACHABLE,
                Condition.LEAVING,
                Condition.REFUSING,
            ],
        )

    def test_since_is_the_start_of_the_condition(self):
        for wall_ms, number in ((100, 1), (200, 1), (300, 2), (400, 2)):
            self.tracker.observe(wall_ms, 2, [observation("a", number)])
        self.assertEqual(self.tracker.statuses()[0].since_wall_ms, 300)

    def test_each_new_number_in_force_has_its_own_start(self):
        self.tracker.observe(100, 1, [observation("a", 1)])
        self.tracker.observe(200, 2, [observation("a", 2)])
        self.tracker.observe(300, 2, [observation("a", 2)])
        self.assertEqual(self.tracker.statuses()[0].since_wall_ms, 200)

    def test_unreachable_node_keeps_its_last_reported_number(self):
        self.tracker.observe(100, 2, [observation("a")])
        self.tracker.observe(200, 3, [observation("a", 0, is_reached=False)])
        (status,) = self.tracker.statuses()
        self.assertEqual((status.number, status.failure_domain), (2, "norte"))

    def test_in_force_everywhere_disregards_unreachable_nodes(self):
        self.tracker.observe(
            1, 2, [observation("a"), observation("b", 0, is_reached=False)]
        )
        self.assertTrue(is_in_force_everywhere(self.tracker.statuses()))
        self.tracker.observe(2, 2, [observation("c", 1)])
        self.assertFalse(is_in_force_everywhere(self.tracker.statuses()))

    def test_forgotten_node_is_no_longer_listed(self):
        self.tracker.observe(1, 2, [observation("a"), observation("b")])
        self.tracker.forget(["a"])
        self.assertEqual(list(self.conditions()), ["b"])
