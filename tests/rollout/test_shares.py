import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.rollout import VersionShare, shares_of


def up_to(shares):
    return [(share.version, share.up_to) for share in shares]


class ShareTests(unittest.TestCase):
    def test_no_request_moves_before_a_replica_confirmed(self):
        before = (VersionShare("v1", 100),)
        shares = shares_of(("v2",), before, {"v1": 6})
        self.assertEqual(up_to(shares), [("v2", 0), ("v1", 100)])

    def test_share_never_shrinks_when_a_new_replica_is_lost(self):
        before = (VersionShare("v2", 50), VersionShare("v1", 100))
        shares = shares_of(("v2",), before, {"v2": 1, "v1": 5})
        self.assertEqual(up_to(shares), [("v2", 50), ("v1", 100)])

    def test_third_version_gets_the_share_of_a_removed_one(self):
        before = (
            VersionShare("v3", 20),
            VersionShare("v2", 60),
            VersionShare("v1", 100),
        )
        shares = shares_of(("v3",), before, {"v3": 2, "v1": 4})
        self.assertEqual(up_to(shares), [("v3", 60), ("v1", 100)])

    def test_revert_ignores_the_previous_shares(self):
        before = (VersionShare("v2", 66), VersionShare("v1", 100))
        shares = shares_of(("v1",), before, {"v1": 2, "v2": 4})
        self.assertEqual(up_to(shares), [("v1", 33), ("v2", 100)])

    def test_only_version_gets_all_requests_without_replicas(self):
        self.assertEqual(up_to(shares_of(("v1",), (), {})), [("v1", 100)])

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 6)), max_size=12))
    def test_no_point_returns_to_the_old_version(self, counts):
        shares = (VersionShare("v1", 100),)
        least = 0
        for new, old in counts:
            shares = shares_of(("v2",), shares, {"v2": new, "v1": old})
            self.assertEqual(shares[-1].up_to, 100)
            self.assertGreaterEqual(shares[0].up_to, least)
            least = shares[0].up_to
