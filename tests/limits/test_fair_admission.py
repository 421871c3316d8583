import unittest
from dataclasses import replace
from unittest.mock import patch

from hypothesis import given, settings, strategies as st

from fireflyward.limits import (
    FairAdmission,
    FairRequest,
    FairVerdict,
    LocalSums,
    PeerSums,
)
from fireflyward.limits._fair_view import FairView
from fireflyward.limits._group_sums import GroupKind, GroupSum, name_hash
from fireflyward.limits._peer_sums import Total

REQUEST = FairRequest("s", "r", "small", 0, 10)
LARGE = replace(REQUEST, account="large")


class FairAdmissionTests(unittest.TestCase):
    def setUp(self):
        peers = PeerSums()
        peers.set_alone(True)
        self.fairness = FairAdmission(LocalSums(), peers)

    def decide(self, request, *, admitted, rejected):
        for is_admitted, count in ((True, admitted), (False, rejected)):
            for _ in range(count):
                self.fairness.on_decision(
                    0, request, is_admitted=is_admitted, is_late=not is_admitted
                )

    def judge(self, request, now_ms=100):
        return self.fairness.judge(now_ms, request)

    def test_account_above_its_share_yields(self):
        self.decide(LARGE, admitted=60, rejected=20)
        self.decide(REQUEST, admitted=20, rejected=20)
        verdict = self.judge(LARGE)
        self.assertEqual(verdict.reason, "account")
        self.assertAlmostEqual(verdict.account_ratio, 1.5)
        self.assertLess(verdict.factor, 0.5)
        self.assertEqual(self.judge(REQUEST).factor, 1.0)

    def test_verdicts_are_neutral_where_the_rule_does_not_apply(self):
        """Guards against other admission in fleets that don't call for the rule."""
        peers = PeerSums()
        peers.set_alone(True)
        self.fairness = FairAdmission(LocalSums(), peers, applies=lambda: False)
        self.decide(LARGE, admitted=60, rejected=20)
        self.decide(REQUEST, admitted=20, rejected=20)
        self.assertEqual(self.judge(LARGE), FairVerdict())

    def test_weight_enlarges_the_share(self):
        heavy = replace(LARGE, weight=4.0)
        self.decide(heavy, admitted=60, rejected=20)
        self.decide(REQUEST, admitted=20, rejected=20)
        self.assertEqual(self.judge(heavy).reason, "none")

    def test_weight_that_cannot_be_used_counts_as_one(self):
        for weight in (0.0, -1.0, float("nan")):
            self.decide(replace(LARGE, weight=weight), admitted=20, rejected=10)
        self.decide(REQUEST, admitted=20, rejected=10)
        self.assertEqual(self.fairness.invalid_weights, 90)
        self.assertEqual(self.judge(LARGE).reason, "account")

    def test_less_urgent_group_yields(self):
        later = replace(REQUEST, priority=2, route="later")
        self.decide(REQUEST, admitted=40, rejected=10)
        self.decide(later, admitted=20, rejected=1)
        self.assertEqual(self.judge(later).reason, "urgency")
        self.assertEqual(self.judge(REQUEST).factor, 1.0)

    def test_small_prompts_yield_to_large_ones(self):
        """Guards against rejecting large prompts as long as small ones arrive."""
        sized = [replace(REQUEST, size=size) for size in range(100, 164)]
        for request in sized * 3:
            is_large = self.fairness.size_group(request) > 0
            self.fairness.on_decision(
                0, request, is_admitted=not is_large, is_late=is_large
            )
        self.assertEqual(self.judge(sized[0]).reason, "size")
        self.assertEqual(self.judge(sized[-1]).factor, 1.0)

    def test_account_that_is_served_far_too_little_does_not_yield(self):
        later = replace(REQUEST, priority=2, route="later")
        of_large = replace(LARGE, priority=2, route="later")
        self.decide(REQUEST, admitted=60, rejected=40)
        self.decide(later, admitted=100, rejected=0)
        self.decide(of_large, admitted=10, rejected=50)
        self.assertEqual(self.judge(later).reason, "urgency")
        verdict = self.judge(of_large)
        self.assertEqual((verdict.factor, verdict.reason), (1.0, "protected"))

    def test_caller_that_returns_goes_before_new_ones(self):
        returning = replace(REQUEST, is_returning=True)
        self.decide(REQUEST, admitted=40, rejected=10)
        self.assertGreater(self.judge(returning).factor, self.judge(REQUEST).factor)

    def test_account_that_retries_excessively_gets_no_preference(self):
        """Guards against a caller that gets in first by retrying all the time."""
        returning = replace(LARGE, is_returning=True)
        self.decide(REQUEST, admitted=40, rejected=10)
        self.decide(LARGE, admitted=10, rejected=20)
        self.decide(returning, admitted=0, rejected=120)
        self.assertLessEqual(self.judge(returning).factor, 1.0)
        self.assertGreater(self.judge(LARGE).account_ratio, 1.0)

    def test_account_with_shorter_deadlines_is_not_taken_for_one_that_retries(self):
        """Guards against starving an account whose callers all seem to return."""
        seems_returning = replace(REQUEST, account="brief", is_returning=True)
        self.decide(seems_returning, admitted=30, rejected=0)
        self.decide(REQUEST, admitted=40, rejected=20)
        self.assertGreaterEqual(self.judge(seems_returning).factor, 1.0)

    def test_stated_size_of_one_request_does_not_outweigh_all_accounts(self):
        """Guards against an overflow, and against sums that take minutes to decay."""
        self.decide(replace(REQUEST, cost=10**400), admitted=1, rejected=0)
        sums = self.fairness._sums.of_service(0, name_hash("s"))
        self.assertLessEqual(sums[GroupKind.COST, 0].admitted, 1_000_000)

    def test_route_that_is_served_far_too_little_does_not_yield(self):
        urgent = replace(REQUEST, account="")
        bulk = replace(urgent, priority=2, route="bulk")
        rare = replace(urgent, priority=2, route="rare")
        self.decide(urgent, admitted=60, rejected=40)
        self.decide(bulk, admitted=200, rejected=0)
        self.decide(rare, admitted=5, rejected=35)
        self.assertEqual(self.judge(bulk).reason, "urgency")
        verdict = self.judge(rare)
        self.assertEqual((verdict.factor, verdict.reason), (1.0, "protected"))

    def test_requests_that_replicas_reject_show_a_shortage(self):
        """Guards against an inactive rule where replicas are full and nodes admit."""
        self.decide(REQUEST, admitted=40, rejected=0)
        self.assertEqual(self.judge(REQUEST, now_ms=0).pressure, 0)
        for _ in range(20):
            self.fairness.on_not_run(0, REQUEST)
        self.assertAlmostEqual(self.judge(REQUEST).pressure, 0.5)

    def test_requests_that_replicas_reject_late_count_as_not_served(self):
        """Guards against a share below 0, by which other groups yield too much."""
        self.decide(REQUEST, admitted=40, rejected=0)
        for _ in range(40):
            self.fairness.on_not_run(2_000, REQUEST)
        sums = self.fairness._sums.of_service(2_000, name_hash("s"))
        self.assertEqual(sums[GroupKind.SERVICE, 0].served_share, 0.0)

    def test_accounts_are_not_added_up_without_shortage(self):
        """Guards against a cost that grows with the accounts while nothing is short."""
        for number in range(30):
            account = replace(REQUEST, account=str(number))
            self.decide(account, admitted=1, rejected=0)
        with patch.object(LocalSums, "of_service") as of_service:
            self.assertEqual(self.judge(REQUEST).pressure, 0)
        of_service.assert_not_called()

    def test_later_rejections_have_a_later_position(self):
        self.decide(REQUEST, admitted=40, rejected=10)
        earlier_ms = self.judge(REQUEST, now_ms=0).position_ms
        self.decide(REQUEST, admitted=0, rejected=10)
        self.assertGreater(self.judge(REQUEST).position_ms, earlier_ms)

    def test_rule_ends_after_the_shortage(self):
        self.decide(LARGE, admitted=60, rejected=20)
        self.decide(REQUEST, admitted=20, rejected=5)
        for now_ms in range(0, 12_000, 10):
            self.fairness.on_decision(now_ms, LARGE, is_admitted=True, is_late=False)
        verdict = self.judge(LARGE, now_ms=12_000)
        self.assertEqual((verdict.factor, verdict.reason), (1.0, ""))


_NUMBERS = st.floats(0, 1_000)
# Messages and own requests can't have a weight below a hundredth.
_WEIGHTS = st.floats(0.01, 100)
_SUMS = st.builds(GroupSum, _NUMBERS, _NUMBERS, _NUMBERS, _NUMBERS, _WEIGHTS)


class FairViewPropertyTests(unittest.TestCase):
    @given(
        st.lists(_SUMS, min_size=2, max_size=6),
        st.lists(_SUMS, min_size=1, max_size=4),
        _SUMS,
        _NUMBERS,
    )
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_any_totals_give_a_valid_factor(self, accounts, priorities, service, late):
        """Whatever nodes report, the most urgent group never yields by urgency, factors
        are from 0 to 1, and an account that is served far too little never yields."""
        sums = {(GroupKind.ACCOUNT, i): item for i, item in enumerate(accounts)}
        sums |= {(GroupKind.PRIORITY, i): x for i, x in enumerate(priorities)}
        sums |= {(GroupKind.SERVICE, 0): service, (GroupKind.COST, 0): service}
        sums[GroupKind.LATE, 0] = GroupSum(arrived=late)
        view = FairView(Total(sums))
        self.assertEqual(view.priority_factor(0), 1.0)
        self.assertGreaterEqual(view.position_ms, 0)
        for account in range(len(accounts)):
            factor = view.account_factor(account)
            self.assertTrue(0.0 <= factor <= 1.0)
            if view.protects_account(account) or not view.pressure:
                self.assertEqual(factor, 1.0)
        for priority in range(len(priorities)):
            self.assertTrue(0.0 <= view.priority_factor(priority) <= 1.0)

    def test_unknown_account_does_not_yield(self):
        view = FairView(Total({}))
        self.assertEqual(view.account_factor(name_hash("unknown")), 1.0)
