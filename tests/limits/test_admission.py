import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fireflyward.limits import Admission, AdmissionRequest, Ticket
from fireflyward.outcomes import NotRun, Reason

FAR_MS = 1_000_000


def request(account="a", *, model="m", limit=1_000, deadline_ms=FAR_MS, weight=1):
    return AdmissionRequest(account, model, 100.0, limit, deadline_ms, weight)


class AdmissionTests(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(queue_limit_ms=2_000)

    def enter(self, now_ms, count, account="a", **changes):
        return [
            self.admission.enter(now_ms, request(account, **changes))
            for _ in range(count)
        ]

    def test_requests_within_the_window_are_admitted_and_others_wait(self):
        tickets = self.enter(0, 20)
        admitted = self.admission.decide(0)
        self.assertEqual(admitted, tickets[:8])
        self.admission.on_first_token(100, admitted[0], 0.0)
        self.assertEqual(self.admission.decide(100), [tickets[8]])

    def test_models_do_not_wait_for_each_other(self):
        self.enter(0, 20)
        self.admission.decide(0)
        other = self.enter(0, 1, model="n")
        self.assertEqual(self.admission.decide(0), other)

    def test_ticket_is_rejected_after_the_queue_limit(self):
        tickets = self.enter(0, 9)
        self.admission.decide(0)
        self.assertEqual(self.admission.decide(1_999), [])
        self.assertEqual(self.admission.decide(2_000), [tickets[8]])
        self.assertEqual(tickets[8].rejection.reason, Reason.OVERLOADED)
        self.assertGreater(tickets[8].rejection.retry_after_ms, 0)

    def test_request_does_not_wait_past_its_deadline(self):
        self.enter(0, 8)
        self.admission.decide(0)
        (ticket,) = self.enter(0, 1, deadline_ms=300)
        self.assertEqual(self.admission.decide(300), [ticket])
        self.assertEqual(ticket.rejection.reason, Reason.DEADLINE)

    def test_request_with_a_too_long_estimated_wait_is_rejected_on_arrival(self):
        """Under overload, callers waited two seconds before they were rejected.
        Requests were rejected only after they had waited, even if the queue was too
        long from the start."""
        running = []
        rejected = None
        for now_ms in range(0, 2_000, 10):
            result = self.admission.enter(now_ms, request())
            rejected = rejected or (result if isinstance(result, NotRun) else None)
            running.extend(t for t in self.admission.decide(now_ms) if not t.rejection)
            if now_ms % 100 == 0 and running:
                self.admission.on_first_token(now_ms, running.pop(0), 0.0)
        self.assertEqual(rejected.reason, Reason.OVERLOADED)
        self.assertGreaterEqual(rejected.retry_after_ms, 2_000)

    def test_burst_after_an_idle_time_is_not_overload(self):
        """After a busy evening and an idle night, the first requests of the morning
        were rejected. The rate was calculated from the admissions of the evening over
        the time since then, so it was far too low."""
        for now_ms in range(0, 20_000, 100):
            for ticket in [self.admission.enter(now_ms, request())]:
                self.admission.decide(now_ms)
                self.admission.on_first_token(now_ms, ticket, 0.0)
                self.admission.leave(ticket)
        night_ms = 40_000_000
        tickets = self.enter(night_ms, 60, deadline_ms=night_ms + 60_000)
        self.assertTrue(all(isinstance(item, Ticket) for item in tickets))

    def test_account_at_its_limit_is_rejected_and_others_are_not(self):
        self.enter(0, 3, limit=3)
        (rejected,) = self.enter(0, 1, limit=3)
        self.assertEqual(rejected.reason, Reason.OVER_LIMIT)
        self.assertIsInstance(self.enter(0, 1, "b", limit=3)[0], Ticket)

    def test_flooding_account_leaves_room_for_a_recent_other_account(self):
        """Requests of a small account always waited until a prefill ended. A large
        account occupied the whole window, and admitted runs are not cancelled."""
        (small,) = self.enter(0, 1, "small")
        self.admission.decide(0)
        self.admission.on_first_token(0, small, 0.0)
        self.admission.leave(small)
        self.enter(0, 50, "large")
        self.admission.decide(0)
        (again,) = self.enter(10, 1, "small")
        self.assertEqual(self.admission.decide(10), [again])

    def flood(self, now_ms, count):
        """Fill the window and the queue with requests of a large account."""
        self.enter(now_ms, count, "large")
        return self.admission.decide(now_ms)

    def test_single_request_of_a_light_account_may_exceed_the_window(self):
        """A request of a small account waited for a prefill of a large one. Eight nodes
        shared six replicas, so each node had a window of two, which the large account
        occupied: an account's share of two is one or two."""
        self.flood(0, 50)
        (single,) = self.enter(10, 1, "small")
        self.assertEqual(self.admission.decide(10), [single])
        self.enter(20, 1, "small")
        self.assertEqual(self.admission.decide(20), [])

    def test_single_requests_are_admitted_up_to_twice_the_window(self):
        self.flood(0, 50)
        for number in range(40):
            self.enter(10, 1, f"small-{number}")
        self.assertEqual(len(self.admission.decide(10)), 8)

    def test_account_with_several_waiting_requests_is_beyond_its_share(self):
        first = self.flood(0, 50)
        (single,) = self.enter(10, 1, "small")
        self.admission.decide(10)
        for ticket in first[:3]:
            self.admission.on_first_token(20, ticket, 0.0)
        (later,) = self.admission.decide(20)
        self.assertFalse(single.is_beyond_share)
        self.assertTrue(later.is_beyond_share)

    def test_account_is_within_its_share_again_after_ten_seconds(self):
        for ticket in [*self.flood(0, 20), *self.admission.decide(2_000)]:
            self.admission.leave(ticket)
        (again,) = self.enter(12_100, 1, "large")
        self.admission.decide(12_100)
        self.assertFalse(again.is_beyond_share)

    def test_only_account_uses_the_whole_window(self):
        self.enter(0, 50, "large")
        self.assertEqual(len(self.admission.decide(0)), 8)

    def test_request_that_leaves_the_queue_is_not_admitted_later(self):
        tickets = self.enter(0, 10)
        admitted = self.admission.decide(0)
        self.admission.leave(tickets[8])
        self.admission.on_first_token(1, admitted[0], 0.0)
        self.assertEqual(self.admission.decide(1), [tickets[9]])


class AdmissionMachine(RuleBasedStateMachine):
    """Requests of three accounts enter, get first tokens and leave at any time. Every
    ticket is decided at most once and in time, and no count remains at the end."""

    def __init__(self):
        super().__init__()
        self.admission = Admission(queue_limit_ms=500)
        self.now_ms = 0
        self.waiting = []
        self.running = []

    @rule(
        account=st.sampled_from(("a", "b", "c")),
        within_ms=st.integers(-5, 900),
        limit=st.integers(1, 12),
    )
    def enter(self, account, within_ms, limit):
        before = self.admission.in_flight(account)
        deadline_ms = self.now_ms + within_ms
        entered = request(account, limit=limit, deadline_ms=deadline_ms)
        result = self.admission.enter(self.now_ms, entered)
        if isinstance(result, NotRun):
            assert result.retry_after_ms > 0
            assert self.admission.in_flight(account) == before
        else:
            assert before < limit
            self.waiting.append(result)
        self.decide()

    @rule(by_ms=st.integers(1, 400))
    def pass_time(self, by_ms):
        self.now_ms += by_ms
        self.decide()

    @rule(data=st.data(), queueing_delay_ms=st.sampled_from((None, 0.0, 200.0)))
    @precondition(lambda self: self.running)
    def first_token(self, data, queueing_delay_ms):
        ticket = data.draw(st.sampled_from(self.running))
        self.admission.on_first_token(self.now_ms, ticket, queueing_delay_ms)
        self.decide()

    @rule(data=st.data())
    @precondition(lambda self: self.waiting or self.running)
    def leave(self, data):
        ticket = data.draw(st.sampled_from(self.waiting + self.running))
        (self.waiting if ticket in self.waiting else self.running).remove(ticket)
        self.admission.leave(ticket)
        self.decide()

    def decide(self):
        for ticket in self.admission.decide(self.now_ms):
            assert ticket in self.waiting, "decided twice or after it left"
            self.waiting.remove(ticket)
            if ticket.rejection:
                assert self.now_ms >= ticket.reject_at_ms
                self.admission.leave(ticket)
            else:
                assert self.now_ms < ticket.request.deadline_ms
                self.running.append(ticket)

    @invariant()
    def counts_agree(self):
        assert self.admission.total() == len(self.waiting) + len(self.running)

    @invariant()
    def no_ticket_waits_too_long(self):
        for ticket in self.waiting:
            assert self.now_ms < ticket.reject_at_ms

    def teardown(self):
        for ticket in self.waiting + self.running:
            self.admission.leave(ticket)
        assert self.admission.total() == 0
        assert self.admission.decide(self.now_ms) == []


AdmissionMachineTests = AdmissionMachine.TestCase
AdmissionMachineTests.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
