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
                    domain.ask(name, ACCOUNT)
            domain.pass_time()

    def test_flood_at_every_node_stays_within_the_limit(self):
        """Symptom: an account has nine times its limit in flight. Sequence: its
        callers reach all nine nodes. Cause: each node counted alone."""
        domain = SharesMesh(9)
        self.saturate(domain, domain.names)
        self.assertLessEqual(domain.total(ACCOUNT), LIMIT)
        self.assertGreater(domain.total(ACCOUNT), 0.8 * LIMIT)

    def test_callers_at_one_node_have_most_of_the_limit(self):
        domain = SharesMesh(9)
        self.saturate(domain, [domain.names[4]])
        self.assertGreaterEqual(domain.total(ACCOUNT), 75)

    def test_parts_follow_where_callers_go(self):
        domain = SharesMesh(3)
        self.saturate(domain, [domain.names[1]])
        domain.in_flight.clear()
        self.saturate(domain, [domain.names[2]])
        self.assertGreaterEqual(domain.total(ACCOUNT), 75)

    def test_node_that_hears_no_tally_keeps_to_an_even_part(self):
        """Symptom: a domain that is split holds an account to twice its limit.
        Sequence: nodes lose the one that tallies. Cause: no news was taken for no
        use elsewhere."""
        domain = SharesMesh(4)
        tallies = domain.owner(ACCOUNT)
        domain.cut = {tallies}
        self.saturate(domain, [name for name in domain.names if name != tallies])
        self.assertEqual(domain.total(ACCOUNT), 75)

    def test_tally_is_forgotten_when_it_is_old(self):
        domain = SharesMesh(4)
        self.saturate(domain, [domain.names[1]])
        self.assertGreater(domain.allowed(domain.names[1], ACCOUNT), 25)
        domain.now_ms += 6_001
        self.assertEqual(domain.allowed(domain.names[1], ACCOUNT), 25)

    def test_account_far_below_its_limit_is_not_spoken_of(self):
        domain = SharesMesh(4)
        domain.ask(domain.names[1], ACCOUNT)
        shares = domain.shares_by_name[domain.names[1]]
        self.assertEqual(shares.tick(2_000, lambda account: 1), [])

    def test_single_node_has_the_whole_limit(self):
        mesh = SharesMesh(1)
        self.assertEqual(mesh.allowed(mesh.names[0], ACCOUNT), LIMIT)

    def test_limit_smaller_than_the_domain_lets_one_in_at_each_node(self):
        domain = SharesMesh(9)
        shares = domain.shares_by_name[domain.names[3]]
        self.assertEqual(shares.local_limit(0, ACCOUNT, 2), 1)


class AccountSharesMachine(RuleBasedStateMachine):
    """Requests come and go at any node while tallies pass; together the nodes never
    let in more than the limit, but for what demands changed within one period."""

    def __init__(self):
        super().__init__()
        self.domain = SharesMesh(4)

    @rule(place=st.integers(0, 3), count=st.integers(1, 60))
    def ask(self, place, count):
        for _ in range(count):
            self.domain.ask(self.domain.names[place], ACCOUNT)

    @rule(place=st.integers(0, 3), count=st.integers(1, 60))
    def end(self, place, count):
        held = self.domain.names[place], ACCOUNT
        left = self.domain.in_flight.get(held, 0) - count
        self.domain.in_flight[held] = max(0, left)

    @rule(by_ms=st.integers(200, 8_000))
    def pass_time(self, by_ms):
        self.domain.pass_time(by_ms)

    @invariant()
    def a_node_keeps_to_its_part(self):
        for name in self.domain.names:
            assert 1 <= self.domain.allowed(name, ACCOUNT) <= LIMIT

    @invariant()
    def together_they_stay_below_twice_the_limit(self):
        assert self.domain.total(ACCOUNT) <= 2 * LIMIT


AccountSharesMachineTests = AccountSharesMachine.TestCase
AccountSharesMachineTests.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
