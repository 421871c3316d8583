import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fireflyward.limits import FairQueue, Waiter

ACCOUNTS = ("a", "b", "c")
WEIGHT = {"a": 1, "b": 1, "c": 3}


class FairQueueTests(unittest.TestCase):
    def test_flood_delays_another_account_by_one_request(self):
        """A request of a small account waited for minutes behind a thousand prompts of
        a large account, because requests were served in order of arrival."""
        queue = FairQueue()
        for _ in range(1_000):
            queue.push(Waiter("a", 1, 100.0))
        queue.pop()
        queue.push(Waiter("b", 1, 100.0))
        self.assertIn("b", [queue.pop().account for _ in range(2)])

    def test_shares_follow_weights(self):
        queue = FairQueue()
        for _ in range(100):
            for account, weight in WEIGHT.items():
                queue.push(Waiter(account, weight, 10.0))
        served = [queue.pop().account for _ in range(100)]
        self.assertAlmostEqual(served.count("c"), 60, delta=2)
        self.assertAlmostEqual(served.count("a"), 20, delta=2)

    def test_shares_are_measured_by_cost(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(Waiter("a", 1, 90.0))
            queue.push(Waiter("b", 1, 10.0))
        served = [queue.pop().account for _ in range(50)]
        self.assertAlmostEqual(served.count("a"), 5, delta=2)

    def test_idle_account_has_no_credit(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(Waiter("a", 1, 10.0))
        for _ in range(50):
            queue.pop()
        for _ in range(50):
            queue.push(Waiter("b", 1, 10.0))
        served = [queue.pop().account for _ in range(20)]
        self.assertAlmostEqual(served.count("b"), 10, delta=1)

    def test_skipped_account_keeps_its_position(self):
        queue = FairQueue()
        queue.push(Waiter("a", 1, 10.0))
        queue.push(Waiter("b", 1, 10.0))
        self.assertEqual(queue.pop(lambda account: account != "a").account, "b")
        self.assertIsNone(queue.pop(lambda account: account != "a"))
        self.assertEqual(queue.pop().account, "a")

    def test_removed_request_costs_its_account_nothing(self):
        queue = FairQueue()
        removed = Waiter("a", 1, 1_000.0)
        queue.push(removed)
        queue.push(Waiter("a", 1, 10.0))
        queue.push(Waiter("b", 1, 20.0))
        queue.push(Waiter("b", 1, 20.0))
        queue.remove(removed)
        self.assertEqual([queue.pop().account for _ in range(3)], ["b", "a", "b"])


class FairQueueMachine(RuleBasedStateMachine):
    """Requests are added, removed and served in any order. While two accounts both
    have waiting requests, the work served for them, divided by their weights, never
    differs by more than the largest request of each."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.waiting = []
        self.served = dict.fromkeys(ACCOUNTS, 0.0)

    @rule(account=st.sampled_from(ACCOUNTS), cost=st.integers(1, 50))
    def push(self, account, cost):
        if not any(item.account == account for item in self.waiting):
            self.served = dict.fromkeys(ACCOUNTS, 0.0)
        waiter = Waiter(account, WEIGHT[account], float(cost))
        self.queue.push(waiter)
        self.waiting.append(waiter)

    @rule(data=st.data())
    @precondition(lambda self: self.waiting)
    def remove(self, data):
        waiter = data.draw(st.sampled_from(self.waiting))
        self.queue.remove(waiter)
        self.waiting.remove(waiter)
        self.served = dict.fromkeys(ACCOUNTS, 0.0)

    @rule()
    @precondition(lambda self: self.waiting)
    def pop(self):
        waiter = self.queue.pop()
        first = next(x for x in self.waiting if x.account == waiter.account)
        assert waiter is first, "an account's own requests keep their order"
        self.waiting.remove(waiter)
        self.served[waiter.account] += waiter.cost / waiter.weight

    @invariant()
    def counts_agree(self):
        assert len(self.queue) == len(self.waiting)
        for account in ACCOUNTS:
            cost = sum(item.cost for item in self.waiting if item.account == account)
            assert abs(self.queue.waiting_cost(account) - cost) < 1e-6

    @invariant()
    def no_account_is_starved(self):
        backlogged = {item.account for item in self.waiting}
        served = [self.served[account] for account in backlogged]
        if served:
            assert max(served) - min(served) <= 100.0 + 1e-6


FairQueueMachineTests = FairQueueMachine.TestCase
FairQueueMachineTests.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
