"""Actions of a run for each message."""

import unittest

from fireflyward.limits import MAX_RETRY_AFTER_MS
from fireflyward.outcomes import Answered, NotRun, Reason, Unknown, Usage
from fireflyward.runs import (
    AttemptEvent,
    Begin,
    CallerGone,
    Cancel,
    Choose,
    Chosen,
    DeadlinePassed,
    Deliver,
    Dispatching,
    End,
    Mark,
    Resume,
    RetryBudget,
    Run,
    Start,
    Wait,
    Waited,
)
from fireflyward.upstreams import (
    Accepted,
    Broken,
    Finished,
    KeepAlive,
    Piece,
    Refused,
)

DEADLINE_MS = 10_000


class RunTestCase(unittest.TestCase):
    def begin_run(self, **options):
        self.run_ = Run(DEADLINE_MS, version="v1", **options)
        self.run_.decide(0, Begin())

    def place(self, replica):
        (start,) = self.run_.decide(0, Chosen(replica))
        self.assertIsInstance(start, Start)
        self.run_.decide(0, Dispatching(start.attempt))
        return start.attempt

    def send_event(self, attempt, event, now_ms=0):
        return self.run_.decide(now_ms, AttemptEvent(attempt, event))

    def texts(self, actions):
        return [action.text for action in actions if isinstance(action, Deliver)]

    def lose_replica(self, attempt):
        """Lose the replica of ``attempt``: first its stream breaks, then the resume."""
        (resume,) = self.send_event(attempt, Broken(True, "cut"))
        actions = self.send_event(resume.attempt, Broken(True, "status 404"))
        self.assertIsInstance(actions[-1], Wait)
        self.assertIsInstance(self.run_.decide(0, Waited())[0], Choose)
        return actions


class StreamTests(RunTestCase):
    def test_piece_that_contains_the_callers_offset_is_cut(self):
        """Guards against repeating a word in the middle of an answer.

        A replica crashes after three tokens, and the next one sends the answer in
        pieces of two tokens. The piece with tokens three and four must not be delivered
        completely, because the caller already has token three.
        """
        self.begin_run()
        first = self.place("a")
        self.send_event(first, Piece(0, 3, "one two three "))
        self.lose_replica(first)
        second = self.place("b")
        self.assertEqual(
            self.texts(self.send_event(second, Piece(0, 2, "one two "))), []
        )
        actions = self.send_event(second, Piece(2, 2, "three four "))
        self.assertEqual(actions, [Deliver("four ", 3, 1)])
        actions = self.send_event(second, Finished(Usage(1, 4)))
        self.assertEqual(actions, [End(Answered(Usage(1, 4)))])

    def test_different_answer_is_not_appended_to_the_delivered_part(self):
        """Guards against an answer that consists of parts of two different answers.

        A stream moves to another replica, which generates a different text. The offsets
        match, so the text before them must be compared as well.
        """
        self.begin_run()
        first = self.place("a")
        self.send_event(first, Piece(0, 2, "pass all "))
        self.lose_replica(first)
        second = self.place("b")
        actions = self.send_event(second, Piece(0, 3, "fail two of "))
        self.assertEqual(actions[0], Cancel("b"))
        self.assertIsInstance(actions[1].outcome, Unknown)

    def test_stream_with_a_gap_is_resumed_before_the_gap(self):
        self.begin_run()
        first = self.place("a")
        self.send_event(first, Piece(0, 1, "one "))
        self.assertEqual(
            self.send_event(first, Piece(2, 1, "three ")), [Resume(2, "a", 1)]
        )

    def test_end_marker_before_the_last_piece_does_not_end_the_run(self):
        self.begin_run()
        first = self.place("a")
        self.send_event(first, Piece(0, 1, "one "))
        self.assertEqual(
            self.send_event(first, Finished(Usage(1, 2))), [Resume(2, "a", 1)]
        )

    def test_late_event_of_an_earlier_attempt_is_dropped(self):
        self.begin_run()
        first = self.place("a")
        self.send_event(first, Broken(True, "cut"))
        self.assertEqual(self.send_event(first, Piece(0, 1, "late ")), [])

    def test_attempt_on_a_lost_replica_is_cancelled(self):
        self.begin_run()
        actions = self.lose_replica(self.place("a"))
        self.assertEqual(actions[0], Cancel("a"))

    def test_slow_prefill_is_not_cancelled_when_connections_are_lost(self):
        """Guards against long prompts that never get an answer.

        The network drops idle connections: the stream falls silent during prefill, is
        resumed and accepted, and falls silent again. The second silence must not count
        as a crashed replica, because the replica has just confirmed the run.
        """
        self.begin_run()
        attempt = self.place("a")
        for _ in range(5):
            self.send_event(attempt, Accepted("v1", 0))
            (resume,) = self.send_event(attempt, Broken(True, "silent"))
            self.assertIsInstance(resume, Resume)
            attempt = resume.attempt
        self.send_event(attempt, KeepAlive())
        self.assertEqual(
            self.texts(self.send_event(attempt, Piece(0, 1, "x "))), ["x "]
        )

    def test_run_leaves_a_replica_without_progress_after_ten_resumes(self):
        self.begin_run()
        attempt = self.place("a")
        for _ in range(10):
            self.send_event(attempt, Accepted("v1", 0))
            (resume,) = self.send_event(attempt, Broken(True, "silent"))
            attempt = resume.attempt
        self.send_event(attempt, Accepted("v1", 0))
        actions = self.send_event(attempt, Broken(True, "silent"))
        self.assertEqual(actions[0], Cancel("a"))

    def test_answer_of_another_weight_version_is_not_delivered(self):
        self.begin_run()
        actions = self.send_event(self.place("a"), Accepted("v2", 0))
        self.assertEqual(actions[0], Cancel("a"))

    def test_unstreamed_answer_starts_again_on_another_replica(self):
        self.begin_run(is_streamed=False)
        first = self.place("a")
        self.send_event(first, Piece(0, 2, "pass all "))
        self.lose_replica(first)
        actions = self.send_event(self.place("b"), Piece(0, 1, "fail "))
        self.assertEqual(actions, [Deliver("fail ", 0, 1)])

    def test_returning_caller_gets_the_rest_from_another_replica(self):
        """Guards against repeated text after the entry VM of a caller crashed.

        The caller returns to another node with its mark, and the replica has crashed
        as well. The new node knows the offset but not the text before it.
        """
        before = Run(DEADLINE_MS, version="v1")
        before.decide(0, Begin())
        before.decide(0, Chosen("a"))
        (deliver,) = before.decide(0, AttemptEvent(1, Piece(0, 3, "one two three ")))
        self.run_ = Run(DEADLINE_MS, version="v1", mark=deliver.mark)
        self.assertEqual(self.run_.decide(0, Begin()), [Resume(1, "a", 3)])
        self.send_event(1, Broken(True, "status 404"))
        self.run_.decide(0, Waited())
        actions = self.send_event(
            self.place("b"), Piece(0, 5, "one two three four five")
        )
        self.assertEqual(self.texts(actions), ["four five"])


class OutcomeTests(RunTestCase):
    def test_lost_connection_of_a_non_idempotent_run_is_unknown(self):
        """Guards against computing and billing a non-idempotent request twice.

        A replica accepts the run, and its connection breaks permanently. The run must
        not be started again on another replica, as an idempotent one would be.
        """
        self.begin_run(is_non_idempotent=True)
        (resume,) = self.send_event(self.place("a"), Broken(True, "cut"))
        (end,) = self.send_event(resume.attempt, Broken(True, "status 404"))
        self.assertIsInstance(end.outcome, Unknown)

    def test_non_idempotent_run_is_retried_if_it_certainly_did_not_run(self):
        proofs = [Refused(Reason.STOPPING), Broken(False, "connection refused")]
        for proof in proofs:
            with self.subTest(proof=proof):
                self.begin_run(is_non_idempotent=True)
                (wait,) = self.send_event(self.place("a"), proof)
                self.assertIsInstance(wait, Wait)

    def test_dispatched_run_is_unknown_before_it_is_accepted(self):
        """Guards against "not run" for a run that the engine executed.

        The deadline passes between dispatch and acceptance. A run that is dispatched
        but not yet accepted may have run.
        """
        self.begin_run()
        self.place("a")
        actions = self.run_.decide(DEADLINE_MS, DeadlinePassed())
        self.assertEqual(actions[0], Cancel("a"))
        self.assertIsInstance(actions[1].outcome, Unknown)

    def test_undispatched_run_is_not_run(self):
        self.begin_run()
        (end,) = self.run_.decide(DEADLINE_MS, DeadlinePassed())
        self.assertIsInstance(end.outcome, NotRun)

    def test_rejected_resume_does_not_prove_that_nothing_ran(self):
        self.begin_run()
        (resume,) = self.send_event(self.place("a"), Broken(True, "cut"))
        self.send_event(resume.attempt, Refused(Reason.STOPPING))
        self.run_.decide(0, Waited())
        (end,) = self.run_.decide(0, Chosen(None))
        self.assertIsInstance(end.outcome, Unknown)

    def test_caller_gone_cancels_an_idempotent_run(self):
        self.begin_run()
        self.place("a")
        self.assertEqual(self.run_.decide(0, CallerGone())[0], Cancel("a"))

    def test_caller_gone_does_not_cancel_a_non_idempotent_run(self):
        self.begin_run(is_non_idempotent=True)
        first = self.place("a")
        self.assertEqual(self.run_.decide(0, CallerGone()), [])
        self.send_event(first, Piece(0, 1, "x "))
        actions = self.send_event(first, Finished(Usage(1, 1)))
        self.assertEqual(actions, [End(Answered(Usage(1, 1)))])

    def test_lost_run_of_a_returning_caller_is_not_started_again(self):
        self.begin_run(is_non_idempotent=True, mark=Mark("a", 3, 14, 1))
        (end,) = self.send_event(1, Broken(True, "status 404"))
        self.assertEqual(end.outcome.reason, Reason.DUPLICATE_RUNNING)
        self.assertIsInstance(end.outcome, Unknown)

    def test_run_that_its_replica_already_has_is_resumed(self):
        self.begin_run()
        refused = Refused(Reason.DUPLICATE_RUNNING)
        self.assertEqual(self.send_event(self.place("a"), refused), [Resume(2, "a", 0)])


class RetryTests(RunTestCase):
    def test_run_is_not_retried_after_its_deadline(self):
        self.begin_run()
        late_ms = DEADLINE_MS
        (end,) = self.send_event(self.place("a"), Broken(False, "refused"), late_ms)
        self.assertEqual(end.outcome.reason, Reason.DEADLINE)

    def test_used_up_budget_ends_the_run_with_a_retry_delay(self):
        budget = RetryBudget(capacity=0.5)
        self.begin_run(budget=budget)
        overloaded = Refused(Reason.OVERLOADED, "queue full", 700)
        (end,) = self.send_event(self.place("a"), overloaded)
        self.assertIsInstance(end.outcome, NotRun)
        self.assertEqual(end.outcome.reason, Reason.OVERLOADED)
        self.assertEqual(end.outcome.retry_after_ms, 700)

    def test_a_replica_does_not_send_callers_away_for_long(self):
        """Guards against callers that one replica tells to wait for weeks."""
        self.begin_run(budget=RetryBudget(capacity=0.5))
        overloaded = Refused(Reason.OVERLOADED, "queue full", 2**31 - 1)
        (end,) = self.send_event(self.place("a"), overloaded)
        self.assertEqual(end.outcome.retry_after_ms, MAX_RETRY_AFTER_MS)

    def test_retry_of_a_dispatch_that_never_arrived_uses_no_budget(self):
        self.begin_run(budget=RetryBudget(capacity=0.5))
        (wait,) = self.send_event(self.place("a"), Broken(False, "refused"))
        self.assertIsInstance(wait, Wait)

    def test_failed_replica_is_excluded_from_the_next_choice(self):
        self.begin_run()
        self.send_event(self.place("a"), Broken(False, "refused"))
        (choose,) = self.run_.decide(0, Waited())
        self.assertEqual(choose, Choose(frozenset({"a"})))
