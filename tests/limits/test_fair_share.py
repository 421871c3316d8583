import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.limits._fair_share import fair_shares

_NUMBERS = st.floats(0.01, 1_000)
_ACCOUNTS = st.dictionaries(
    st.integers(0, 30),
    st.tuples(_NUMBERS, st.sampled_from((0.5, 1.0, 3.0))),
    min_size=1,
)


class FairShareTests(unittest.TestCase):
    def test_what_a_small_account_leaves_is_divided_by_weight(self):
        shares = fair_shares(10, {"a": 50, "b": 50, "c": 1}, {"a": 2})
        self.assertEqual(shares, {"a": 6, "b": 3, "c": 1})

    def test_no_capacity_gives_no_share(self):
        self.assertEqual(fair_shares(-1, {"a": 5}, {}), {"a": 0})

    @given(accounts=_ACCOUNTS, capacity=_NUMBERS)
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_shares_are_max_min(self, accounts, capacity):
        """No share exceeds its demand, all capacity is used if there is demand, and an
        account that gets less than it wants gets no less per weight than any other."""
        demands = {name: demand for name, (demand, _) in accounts.items()}
        weights = {name: weight for name, (_, weight) in accounts.items()}
        shares = fair_shares(capacity, demands, weights)
        total = min(capacity, sum(demands.values()))
        self.assertAlmostEqual(sum(shares.values()), total, delta=1e-6 * total + 1e-9)
        levels = {name: shares[name] / weights[name] for name in shares}
        for name, share in shares.items():
            self.assertLessEqual(share, demands[name])
            if share < demands[name] * (1 - 1e-6):
                self.assertGreaterEqual(levels[name] * (1 + 1e-6), max(levels.values()))
