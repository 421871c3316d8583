import unittest

from fireflyward.bench._shares_mesh import SharesMesh
from fireflyward.limits import AccountShares, Demand, Tally
from fireflyward.limits._account_tally import AccountTally, Allotment, DemandReport

from .test_account_shares import ACCOUNT, LIMIT, AccountSharesMachine

NODES = 4


class Steps(AccountSharesMachine):
    """Plays steps, and checks after each that the total is at most twice the limit."""

    def admit(self, count, place):
        self.admit_request(count=count, place=place)
        self.total_is_at_most_twice_the_limit()

    def wait(self, by_ms):
        self.pass_time(by_ms=by_ms)
        self.total_is_at_most_twice_the_limit()


class BoundTests(unittest.TestCase):
    def test_first_reports_after_a_pause_do_not_count_as_all(self):
        """Guards against more than twice the limit in flight after a pause.

        All reports lapse. The first node that reports again is told a total that
        consists of its own demand, and takes nearly the whole limit, while the other
        nodes still have requests in flight.
        """
        steps = Steps()
        steps.admit(count=25, place=0)
        for _ in range(12):
            steps.wait(by_ms=200)
        steps.admit(count=22, place=0)
        steps.admit(count=26, place=3)
        steps.admit(count=34, place=3)
        steps.wait(by_ms=1800)
        steps.admit(count=23, place=3)
        steps.admit(count=25, place=2)
        steps.admit(count=56, place=1)
        steps.wait(by_ms=6001)
        steps.admit(count=22, place=1)
        steps.admit(count=34, place=0)

    def test_demand_that_moves_does_not_add_up_parts(self):
        """Guards against a part that other nodes still have in flight.

        Demand rises at one node after the other, each time beyond that of all nodes
        before, while no request ends.
        """
        steps = Steps()
        steps.admit(count=30, place=0)
        steps.wait(by_ms=2_000)
        steps.admit(count=60, place=0)
        steps.wait(by_ms=2_000)
        for _ in range(2):
            steps.admit(count=60, place=0)
        for _ in range(4):
            steps.admit(count=60, place=1)
        steps.wait(by_ms=2_000)
        for _ in range(2):
            steps.admit(count=60, place=1)
        for _ in range(14):
            steps.admit(count=60, place=2)
        steps.wait(by_ms=2_000)
        for _ in range(2):
            steps.admit(count=60, place=2)
        steps.admit(count=25, place=3)


class AccountTallyTests(unittest.TestCase):
    def setUp(self):
        self.tally = AccountTally()

    def record(self, now_ms, node, demand, in_flight, limit=LIMIT):
        report = DemandReport(demand, in_flight, limit)
        return self.tally.record(now_ms, NODES, node, report)

    def record_complete(self, now_ms, *reports):
        for _ in range(2):
            allotments = [self.record(now_ms, *report) for report in reports]
            now_ms += 2_000
        return allotments

    def test_nothing_is_allotted_before_every_node_can_have_reported(self):
        self.assertIsNone(self.record(0, "a", 60, 25))
        self.assertIsNone(self.record(1_999, "b", 60, 25))
        self.assertEqual(self.record(2_000, "a", 60, 25), Allotment(120, 43))

    def test_first_report_after_a_pause_is_not_complete(self):
        self.record_complete(0, ("a", 60, 25), ("b", 60, 25))
        self.assertIsNone(self.record(8_500, "a", 60, 25))
        self.assertIsNone(self.record(8_500, "b", 60, 25))
        self.assertEqual(self.record(10_500, "a", 60, 25), Allotment(120, 43))

    def test_older_node_counts_with_the_part_that_it_computes(self):
        report = DemandReport(200)
        self.record_complete(0, ("a", 100, 100))
        self.assertEqual(self.tally.record(2_000, NODES, "old", report).part, 56)

    def test_parts_of_nodes_with_equal_demand_add_up_to_the_limit(self):
        names = ("a", "b", "c", "d")
        allotments = self.record_complete(0, *((name, 90, 25) for name in names))
        self.assertEqual([item.part for item in allotments], [25] * 4)

    def test_requests_in_flight_elsewhere_are_not_allotted_again(self):
        _, second = self.record_complete(0, ("a", 80, 80), ("b", 900, 5))
        self.assertEqual(second.part, 20)

    def test_unused_part_is_not_allotted_to_a_second_node(self):
        first, second = self.record_complete(0, ("a", 80, 0), ("b", 80, 0))
        self.assertLessEqual(first.part + second.part, LIMIT)

    def test_part_is_allotted_again_after_its_node_could_use_it(self):
        self.record_complete(0, ("a", 80, 0))
        self.assertEqual(self.record(7_000, "b", 80, 0).part, 19)
        self.assertEqual(self.record(10_000, "b", 80, 0).part, 81)

    def test_node_always_gets_its_share_of_the_even_quarter(self):
        _, second = self.record_complete(0, ("a", 100, 100), ("b", 50, 0))
        self.assertEqual(second.part, 6)

    def test_tally_without_recent_reports_is_removed(self):
        self.record(0, "a", 80, 0)
        self.assertTrue(self.tally.remove_stale(8_000))
        self.assertFalse(self.tally.remove_stale(8_001))


class ReturnedPartTests(unittest.TestCase):
    def test_part_that_is_not_needed_any_more_is_returned_once(self):
        mesh = SharesMesh(NODES)
        busy = mesh.names[1]
        for _ in range(3):
            for _ in range(LIMIT):
                mesh.try_admit(busy, ACCOUNT)
            mesh.pass_time()
        self.assertGreater(mesh.local_limit(busy, ACCOUNT), 75)
        mesh.in_flight.clear()
        for _ in range(2):
            mesh.pass_time()
        self.assertEqual(mesh.local_limit(busy, ACCOUNT), 25)
        sent = mesh.sent_bytes[busy]
        mesh.pass_time()
        self.assertEqual(mesh.sent_bytes[busy], sent)


class MixedVersionsTests(unittest.TestCase):
    """Nodes whose build does not know parts beside nodes that do."""

    def setUp(self):
        self.shares = AccountShares("a", owner_of=lambda account: "b")
        self.shares.set_nodes(NODES)
        self.shares.local_limit(0, ACCOUNT, LIMIT)

    def report(self, now_ms, in_flight):
        self.shares.local_limit(now_ms, ACCOUNT, LIMIT)
        (action,) = self.shares.tick(now_ms, lambda account: in_flight)
        return action.demand

    def test_node_uses_the_total_of_an_older_owner(self):
        demand = self.report(0, 50)
        self.shares.on_tally(100, Tally(accounts=demand.accounts, totals=[100]))
        self.assertEqual(self.shares.local_limit(100, ACCOUNT, LIMIT), 43)

    def test_part_never_exceeds_a_limit_that_was_lowered(self):
        demand = self.report(0, 50)
        tally = Tally(accounts=demand.accounts, totals=[100], parts=[43])
        self.shares.on_tally(100, tally)
        self.assertEqual(self.shares.local_limit(100, ACCOUNT, LIMIT), 43)
        self.assertEqual(self.shares.local_limit(100, ACCOUNT, 10), 10)

    def test_owner_answers_an_older_node_with_the_total(self):
        demand = Demand(accounts=[7], demands=[60])
        self.assertEqual(self.shares.on_demand(0, "old", demand), [])
        (answer,) = self.shares.on_demand(2_000, "old", demand)
        self.assertEqual(answer.tally.totals, [60])

    def test_older_node_counts_with_what_it_uses(self):
        own = self.report(0, 60)
        old = Demand(accounts=own.accounts, demands=[60])
        for now_ms in (0, 2_000):
            self.shares.on_demand(now_ms, "new", own)
            self.shares.on_demand(now_ms, "old", old)
        (answer,) = self.shares.on_demand(2_100, "new", own)
        self.assertEqual(answer.tally.parts, [43])

    def test_report_with_lists_of_different_length_is_ignored(self):
        demand = Demand(accounts=[7], demands=[60], in_flight=[], limits=[1, 2])
        self.assertEqual(self.shares.on_demand(2_000, "b", demand), [])
