"""The decision after each possible result of a send."""

import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.forwarding import (
    AttemptPlan,
    Deliver,
    Failed,
    Finish,
    NoReplica,
    Rejected,
    RejectionReason,
    TryAgain,
    Unsent,
    WholeAnswer,
)
from fireflyward.http1 import Head
from fireflyward.outcomes import NotRun, Reason, Unknown

FULL = Rejected(RejectionReason.FULL)
FAILURE = WholeAnswer(Head(500, "", ()), b"")
GOOD = WholeAnswer(Head(200, "", ()), b"x")


def plan(may_repeat=True, max_attempts=2, budget=100):
    left = [True] * budget
    return AttemptPlan(
        max_attempts=max_attempts,
        may_repeat=may_repeat,
        take_budget=lambda: bool(left and left.pop()),
    )


class PlanTests(unittest.TestCase):
    def assert_finish(self, decision, outcome_type, reason=None):
        self.assertIsInstance(decision, Finish)
        self.assertIsInstance(decision.outcome, outcome_type)
        if reason:
            self.assertIs(decision.outcome.reason, reason)

    def test_a_non_idempotent_request_is_not_sent_again_after_it_may_have_run(self):
        """Guards against a revision record that is written twice.

        The connection breaks after the request was sent. It is unknown whether the
        request ran, and a second replica would run it again.
        """
        decision = plan(may_repeat=False, max_attempts=3).decide(900, Failed("reset"))
        self.assert_finish(decision, Unknown, Reason.UPSTREAM_FAILED)

    def test_a_request_that_did_not_run_goes_to_another_replica_even_if_non_idempotent(
        self,
    ):
        self.assertEqual(plan(may_repeat=False).decide(900, FULL), TryAgain())
        self.assertEqual(plan(may_repeat=False).decide(900, Unsent("x")), TryAgain())

    def test_a_request_that_may_have_run_is_never_reported_as_not_run(self):
        """Guards against a caller that repeats a request that did run.

        The request ran but was reported to the caller as not run.
        """
        for then in (FULL, FULL, FULL, NoReplica()):
            attempt = plan(max_attempts=9)
            attempt.decide(900, Failed("reset"))
            decision = TryAgain()
            while decision == TryAgain() or isinstance(decision, TryAgain):
                decision = attempt.decide(900, then)
            self.assert_finish(decision, Unknown)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    (Unsent("x"), NoReplica(), FULL, Failed("a"), Failed("b", True))
                ),
                st.integers(-50, 2_000),
            ),
            min_size=1,
        ),
        st.booleans(),
    )
    def test_an_outcome_is_unknown_exactly_if_bytes_may_have_arrived(
        self, results, may_repeat
    ):
        """Guards against 502 or 504 for a request that no replica received."""
        attempt, may_have_run = plan(may_repeat=may_repeat), False
        for result, left_ms in results:
            may_have_run |= isinstance(result, Failed)
            decision = attempt.decide(left_ms, result)
            if isinstance(decision, Finish):
                self.assert_finish(decision, Unknown if may_have_run else NotRun)
                if not may_have_run:
                    self.assertGreater(decision.outcome.retry_after_ms, 0)
                return

    def test_the_route_limits_the_sends_that_may_have_run(self):
        attempt = plan(max_attempts=2)
        self.assertEqual(attempt.decide(900, Failed("a")), TryAgain())
        self.assert_finish(attempt.decide(900, Failed("b")), Unknown)

    def test_without_retry_budget_nothing_is_repeated(self):
        self.assert_finish(plan(budget=0).decide(900, Failed("a")), Unknown)
        self.assert_finish(plan(budget=0).decide(900, FULL), NotRun, Reason.OVERLOADED)

    def test_shortly_before_the_deadline_nothing_is_repeated(self):
        self.assert_finish(plan().decide(10, Failed("a")), Unknown)

    def test_a_failure_of_the_replica_is_repeated_only_if_idempotent(self):
        self.assertEqual(plan().decide(900, FAILURE), TryAgain())
        self.assertEqual(plan(may_repeat=False).decide(900, FAILURE), Deliver(FAILURE))

    def test_a_failure_is_delivered_if_no_replica_may_repeat_the_request(self):
        attempt = plan()
        attempt.decide(900, FAILURE)
        self.assertEqual(attempt.decide(900, NoReplica()), Deliver(FAILURE))

    def test_a_good_answer_is_delivered(self):
        self.assertEqual(plan().decide(900, GOOD), Deliver(GOOD))

    def test_the_number_of_rejected_sends_is_limited(self):
        attempt, count = plan(), 0
        while isinstance(attempt.decide(900, FULL), TryAgain):
            count += 1
        self.assertLess(count, 4)

    def test_a_rejected_caller_waits_at_most_a_third_of_the_time_it_has_left(self):
        """Guards against a caller whose retry comes too late to be answered."""
        for result in (FULL, Unsent("refused")):
            for left_ms, expected_ms in ((9_000, 300), (600, 200), (30, 10), (1, 10)):
                attempt, decision = plan(), TryAgain()
                while isinstance(decision, TryAgain):
                    decision = attempt.decide(left_ms, result)
                self.assertEqual(decision.outcome.retry_after_ms, expected_ms)

    def test_a_rejection_says_when_to_retry(self):
        decision = plan().decide(900, NoReplica())
        self.assertGreater(decision.outcome.retry_after_ms, 0)
