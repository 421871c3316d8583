import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyward.bench._shares_mesh import SharesMesh

LIMIT = 100
ACCOUNT = "large"


class AccountSharesTests(unittest.TestCase):
    def saturate(self, domain, names, *, rounds=6):
        for _ in range(rounds):
            for name in names:
                for _ in range(LIMIT):
                    domain.try_admit(name, ACCOUNT)
            domain.pass_time()

    def test_flood_at_every_node_stays_within_the_limit(self):
        """An account had nine times its limit in flight. Its callers used all nine
        nodes, and each node counted only its own requests."""
        domain = SharesMesh(9)
        self.saturate(domain, domain.names)
        self.assertLessEqual(domain.total_in_flight(ACCOUNT), LIMIT)
        self.assertGreater(domain.total_in_flight(ACCOUNT), 0.8 * LIMIT)

    def test_account_with_callers_at_one_node_gets_most_of_its_limit(self):
        domain = SharesMesh(9)
        self.saturate(domain, [domain.names[4]])
        self.assertGreaterEqual(domain.total_in_flight(ACCOUNT), 75)

    def test_parts_follow_callers_to_another_node(self):
        domain = SharesMesh(3)
        self.saturate(domain, [domain.names[1]])
        domain.in_flight.clear()
        self.saturate(domain, [domain.names[2]])
        self.assertGreaterEqual(domain.total_in_flight(ACCOUNT), 75)

    def test_node_that_receives_no_tally_uses_an_even_part(self):
        """In a partitioned domain an account got twice its limit. The nodes could not
        reach the account's owner, and they treated missing totals as no requests at
        other nodes."""
        domain = SharesMesh(4)
        owner = domain.owner(ACCOUNT)
        domain.disconnected = {owner}
        self.saturate(domain, [name for name in domain.names if name != owner])
        self.assertEqual(domain.total_in_flight(ACCOUNT), 75)

    def test_tally_expires(self):
        domain = SharesMesh(4)
        self.saturate(domain, [domain.names[1]])
        self.assertGreater(domain.local_limit(domain.names[1], ACCOUNT), 25)
        domain.now_ms += 6_001
        self.assertEqual(domain.local_limit(domain.names[1], ACCOUNT), 25)

    def test_demand_far_below_the_limit_is_not_reported(self):
        domain = SharesMesh(4)
        domain.try_admit(domain.names[1], ACCOUNT)
        shares = domain.shares_by_name[domain.names[1]]
        self.assertEqual(shares.tick(2_000, lambda account: 1), [])

    def test_single_node_has_the_whole_limit(self):
        mesh = SharesMesh(1)
        self.assertEqual(mesh.local_limit(mesh.names[0], ACCOUNT), LIMIT)

    def test_limit_smaller_than_the_node_count_admits_one_request_per_node(self):
        domain = SharesMesh(9)
        shares = domain.shares_by_name[domain.names[3]]
        self.assertEqual(shares.local_limit(0, ACCOUNT, 2), 1)


class AccountSharesMachine(RuleBasedStateMachine):
    """Requests start and end at any node while the nodes exchange tallies. Together
    the nodes admit no more than the limit, except for changes of the demand within one
    period."""

    def __init__(self):
        super().__init__()
        self.domain = SharesMesh(4)

    @rule(place=st.integers(0, 3), count=st.integers(1, 60))
    def admit_request(self, place, count):
        for _ in range(count):
            self.domain.try_admit(self.domain.names[place], ACCOUNT)

    @rule(place=st.integers(0, 3), count=st.integers(1, 60))
    def end(self, place, count):
        key = self.domain.names[place], ACCOUNT
        remaining = self.domain.in_flight.get(key, 0) - count
        self.domain.in_flight[key] = max(0, remaining)

    @rule(by_ms=st.integers(200, 8_000))
    def pass_time(self, by_ms):
        self.domain.pass_time(by_ms)

    @invariant()
    def local_limit_is_between_one_and_the_limit(self):
        for name in self.domain.names:
            assert 1 <= self.domain.local_limit(name, ACCOUNT) <= LIMIT

    @invariant()
    def total_is_at_most_twice_the_limit(self):
        assert self.domain.total_in_flight(ACCOUNT) <= 2 * LIMIT


AccountSharesMachineTests = AccountSharesMachine.TestCase
AccountSharesMachineTests.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
