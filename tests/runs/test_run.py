"""Decisions of a run, message by message."""

import unittest

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


class RunTests(unittest.TestCase):
    def begin(self, **options):
        self.run_ = Run(DEADLINE_MS, version="v1", **options)
        self.run_.decide(0, Begin())

    def place(self, replica):
        (start,) = self.run_.decide(0, Chosen(replica))
        self.assertIsInstance(start, Start)
        self.run_.decide(0, Dispatching(start.attempt))
        return start.attempt

    def event(self, attempt, event, now_ms=0):
        return self.run_.decide(now_ms, AttemptEvent(attempt, event))

    def texts(self, actions):
        return [action.text for action in actions if isinstance(action, Deliver)]

    def move(self, attempt):
        """Lose the replica of ``attempt``: its stream, then the resume of it."""
        (resume,) = self.event(attempt, Broken(True, "cut"))
        actions = self.event(resume.attempt, Broken(True, "status 404"))
        self.assertIsInstance(actions[-1], Wait)
        self.assertIsInstance(self.run_.decide(0, Waited())[0], Choose)
        return actions


class StreamTests(RunTests):
    def test_piece_that_straddles_the_callers_offset_is_cut(self):
        """Symptom: a caller reads a word twice in the middle of its answer.
        Sequence: a replica dies after three tokens; the next one sends the answer
        in pieces of two tokens. Cause: the piece with tokens three and four was
        delivered whole, although the caller had the third."""
        self.begin()
        first = self.place("a")
        self.event(first, Piece(0, 3, "one two three "))
        self.move(first)
        second = self.place("b")
        self.assertEqual(self.texts(self.event(second, Piece(0, 2, "one two "))), [])
        actions = self.event(second, Piece(2, 2, "three four "))
        self.assertEqual(actions, [Deliver("four ", 3, 1)])
        actions = self.event(second, Finished(Usage(1, 4)))
        self.assertEqual(actions, [End(Answered(Usage(1, 4)))])

    def test_answer_that_differs_from_the_one_begun_is_not_joined_to_it(self):
        """Symptom: an answer changes its mind half-way. Sequence: a stream moves to
        another replica that words the same answer differently. Cause: offsets
        fit, and nothing compared the text before them."""
        self.begin()
        first = self.place("a")
        self.event(first, Piece(0, 2, "pass all "))
        self.move(first)
        second = self.place("b")
        actions = self.event(second, Piece(0, 3, "fail two of "))
        self.assertEqual(actions[0], Cancel("b"))
        self.assertIsInstance(actions[1].outcome, Unknown)

    def test_gap_in_a_stream_is_read_again_and_never_delivered(self):
        self.begin()
        first = self.place("a")
        self.event(first, Piece(0, 1, "one "))
        self.assertEqual(self.event(first, Piece(2, 1, "three ")), [Resume(2, "a", 1)])

    def test_end_marker_before_the_last_piece_is_no_end(self):
        self.begin()
        first = self.place("a")
        self.event(first, Piece(0, 1, "one "))
        self.assertEqual(self.event(first, Finished(Usage(1, 2))), [Resume(2, "a", 1)])

    def test_late_event_of_an_earlier_attempt_is_dropped(self):
        self.begin()
        first = self.place("a")
        self.event(first, Broken(True, "cut"))
        self.assertEqual(self.event(first, Piece(0, 1, "late ")), [])

    def test_losing_attempt_is_cancelled(self):
        self.begin()
        actions = self.move(self.place("a"))
        self.assertEqual(actions[0], Cancel("a"))

    def test_slow_prefill_on_forgotten_connections_is_not_killed(self):
        """Symptom: long prompts never get an answer while something drops idle
        connections. Sequence: the stream falls silent during prefill, is resumed,
        is accepted and falls silent again. Cause: a second silence counted as a
        dead replica though it had just said that it has the run."""
        self.begin()
        attempt = self.place("a")
        for _ in range(5):
            self.event(attempt, Accepted("v1", 0))
            (resume,) = self.event(attempt, Broken(True, "silent"))
            self.assertIsInstance(resume, Resume)
            attempt = resume.attempt
        self.event(attempt, KeepAlive())
        self.assertEqual(self.texts(self.event(attempt, Piece(0, 1, "x "))), ["x "])

    def test_replica_without_progress_is_left_in_the_end(self):
        self.begin()
        attempt = self.place("a")
        for _ in range(10):
            self.event(attempt, Accepted("v1", 0))
            (resume,) = self.event(attempt, Broken(True, "silent"))
            attempt = resume.attempt
        self.event(attempt, Accepted("v1", 0))
        actions = self.event(attempt, Broken(True, "silent"))
        self.assertEqual(actions[0], Cancel("a"))

    def test_answer_by_another_weight_version_is_not_delivered(self):
        self.begin()
        actions = self.event(self.place("a"), Accepted("v2", 0))
        self.assertEqual(actions[0], Cancel("a"))

    def test_unstreamed_answer_is_made_anew_whatever_came_before(self):
        self.begin(is_streamed=False)
        first = self.place("a")
        self.event(first, Piece(0, 2, "pass all "))
        self.move(first)
        actions = self.event(self.place("b"), Piece(0, 1, "fail "))
        self.assertEqual(actions, [Deliver("fail ", 0, 1)])

    def test_caller_that_comes_back_gets_the_rest_from_another_replica(self):
        """Symptom: after its entry VM died a caller reads a part twice. Sequence:
        it comes back to another node with its mark, and the replica is gone too.
        Cause: the new node knows the offset but never saw the text before it."""
        before = Run(DEADLINE_MS, version="v1")
        before.decide(0, Begin())
        before.decide(0, Chosen("a"))
        (deliver,) = before.decide(0, AttemptEvent(1, Piece(0, 3, "one two three ")))
        self.run_ = Run(DEADLINE_MS, version="v1", mark=deliver.mark)
        self.assertEqual(self.run_.decide(0, Begin()), [Resume(1, "a", 3)])
        self.event(1, Broken(True, "status 404"))
        self.run_.decide(0, Waited())
        actions = self.event(self.place("b"), Piece(0, 5, "one two three four five"))
        self.assertEqual(self.texts(actions), ["four five"])


class OutcomeTests(RunTests):
    def test_lost_connection_of_a_non_idempotent_run_is_unknown(self):
        """Symptom: a verdict is computed and billed twice. Sequence: a replica
        takes a non-idempotent run and its connection breaks for good. Cause: the
        run was started again on another replica, as an idempotent one is."""
        self.begin(is_non_idempotent=True)
        (resume,) = self.event(self.place("a"), Broken(True, "cut"))
        (end,) = self.event(resume.attempt, Broken(True, "status 404"))
        self.assertIsInstance(end.outcome, Unknown)

    def test_non_idempotent_run_moves_on_after_a_proof_that_it_did_not_run(self):
        proofs = [Refused(Reason.STOPPING), Broken(False, "connection refused")]
        for proof in proofs:
            with self.subTest(proof=proof):
                self.begin(is_non_idempotent=True)
                (wait,) = self.event(self.place("a"), proof)
                self.assertIsInstance(wait, Wait)

    def test_dispatched_run_is_unknown_before_it_is_accepted(self):
        """Symptom: an answer says "not run" and the engine's log shows the run.
        Sequence: the deadline passes between dispatch and acceptance. Cause: only
        the acceptance counted as a sign that the run may have run."""
        self.begin()
        self.place("a")
        actions = self.run_.decide(DEADLINE_MS, DeadlinePassed())
        self.assertEqual(actions[0], Cancel("a"))
        self.assertIsInstance(actions[1].outcome, Unknown)

    def test_undispatched_run_is_not_run(self):
        self.begin()
        (end,) = self.run_.decide(DEADLINE_MS, DeadlinePassed())
        self.assertIsInstance(end.outcome, NotRun)

    def test_refusal_of_a_resume_does_not_prove_that_nothing_ran(self):
        self.begin()
        (resume,) = self.event(self.place("a"), Broken(True, "cut"))
        self.event(resume.attempt, Refused(Reason.STOPPING))
        self.run_.decide(0, Waited())
        (end,) = self.run_.decide(0, Chosen(None))
        self.assertIsInstance(end.outcome, Unknown)

    def test_caller_gone_cancels_what_may_be_repeated(self):
        self.begin()
        self.place("a")
        self.assertEqual(self.run_.decide(0, CallerGone())[0], Cancel("a"))

    def test_caller_gone_leaves_a_non_idempotent_run_to_become_known(self):
        self.begin(is_non_idempotent=True)
        first = self.place("a")
        self.assertEqual(self.run_.decide(0, CallerGone()), [])
        self.event(first, Piece(0, 1, "x "))
        actions = self.event(first, Finished(Usage(1, 1)))
        self.assertEqual(actions, [End(Answered(Usage(1, 1)))])

    def test_lost_run_of_a_caller_that_comes_back_is_not_started_again(self):
        self.begin(is_non_idempotent=True, mark=Mark("a", 3, 14, 1))
        (end,) = self.event(1, Broken(True, "status 404"))
        self.assertEqual(end.outcome.reason, Reason.DUPLICATE_RUNNING)
        self.assertIsInstance(end.outcome, Unknown)

    def test_run_id_that_a_replica_knows_is_read_there(self):
        self.begin()
        refused = Refused(Reason.DUPLICATE_RUNNING)
        self.assertEqual(self.event(self.place("a"), refused), [Resume(2, "a", 0)])


class RetryTests(RunTests):
    def test_no_retry_past_the_deadline(self):
        self.begin()
        late_ms = DEADLINE_MS
        (end,) = self.event(self.place("a"), Broken(False, "refused"), late_ms)
        self.assertEqual(end.outcome.reason, Reason.DEADLINE)

    def test_spent_budget_ends_the_run_at_once_and_says_when_to_come_back(self):
        budget = RetryBudget(capacity=0.5)
        self.begin(budget=budget)
        overloaded = Refused(Reason.OVERLOADED, "queue full", 700)
        (end,) = self.event(self.place("a"), overloaded)
        self.assertIsInstance(end.outcome, NotRun)
        self.assertEqual(end.outcome.reason, Reason.OVERLOADED)
        self.assertEqual(end.outcome.retry_after_ms, 700)

    def test_dispatch_that_never_arrived_is_free(self):
        self.begin(budget=RetryBudget(capacity=0.5))
        (wait,) = self.event(self.place("a"), Broken(False, "refused"))
        self.assertIsInstance(wait, Wait)

    def test_failed_replica_is_not_asked_for_again(self):
        self.begin()
        self.event(self.place("a"), Broken(False, "refused"))
        (choose,) = self.run_.decide(0, Waited())
        self.assertEqual(choose, Choose(frozenset({"a"})))
