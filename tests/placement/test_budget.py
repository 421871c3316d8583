import unittest

from hypothesis import given, settings, strategies as st

from fireflyward.placement import Dropped, Grant, LinkBudget, Transfer, Urgency

LIMIT = 100


def transfer(number, urgency, size=10, account="a"):
    return Transfer(number, urgency, size, account)


def granted(actions):
    return [action.transfer.transfer_id for action in actions]


class LinkBudgetTests(unittest.TestCase):
    def setUp(self):
        self.budget = LinkBudget(LIMIT)

    def test_import_of_a_waiting_caller_goes_before_prefetch_and_export(self):
        self.budget.request(transfer(1, Urgency.IMPORT, LIMIT))
        for number, urgency in enumerate(reversed(Urgency), start=2):
            self.assertEqual(self.budget.request(transfer(number, urgency, LIMIT)), [])
        self.assertEqual(granted(self.budget.on_end(1)), [4])
        self.assertEqual(granted(self.budget.on_end(4)), [3])
        self.assertEqual(granted(self.budget.on_end(3)), [2])

    def test_import_begins_at_once_however_many_exports_wait(self):
        """Symptom: returning prompts slow while the shift begins. Sequence: many
        new prompts are exported; a known one returns. Cause: its import stood
        behind the exports on the link."""
        for number in range(100):
            self.budget.request(transfer(number, Urgency.EXPORT))
        self.assertEqual(self.budget.in_flight_bytes, LIMIT // 2)
        self.assertEqual(
            granted(self.budget.request(transfer(200, Urgency.IMPORT))), [200]
        )

    def test_accounts_take_turns(self):
        self.budget.request(transfer(0, Urgency.IMPORT, LIMIT))
        for number in range(1, 4):
            self.budget.request(transfer(number, Urgency.IMPORT, LIMIT, "large"))
        self.budget.request(transfer(9, Urgency.IMPORT, LIMIT, "small"))
        order = []
        ended = 0
        while actions := self.budget.on_end(ended):
            (ended,) = granted(actions)
            order.append(ended)
        self.assertEqual(order, [1, 9, 2, 3])

    def test_withdrawn_transfer_is_never_granted(self):
        self.budget.request(transfer(1, Urgency.IMPORT, LIMIT))
        self.budget.request(transfer(2, Urgency.IMPORT, LIMIT))
        self.budget.cancel(2)
        self.assertEqual(self.budget.on_end(1), [])

    def test_exports_beyond_the_queue_are_dropped_and_imports_never(self):
        actions = []
        for number in range(2_000):
            actions += self.budget.request(transfer(number, Urgency.EXPORT, LIMIT))
        self.assertTrue(any(isinstance(action, Dropped) for action in actions))
        self.assertLess(self.budget.waiting(Urgency.EXPORT), 2_000)
        actions = self.budget.request(transfer(3_000, Urgency.IMPORT, LIMIT))
        self.assertEqual(actions, [])
        self.assertEqual(self.budget.waiting(Urgency.IMPORT), 1)


EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(list(Urgency)), st.integers(1, 150), st.sampled_from("abc")
        ),
        st.just(None),
    ),
    max_size=60,
)


class LinkBudgetProperties(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(EVENTS)
    def test_limits_order_and_progress(self, events):
        """Never more in flight than the limit (but for one that is larger alone),
        no export while anything more urgent waits, nothing granted twice or lost,
        and never idle while something waits."""
        budget = LinkBudget(LIMIT)
        asked, seen, in_flight = {}, set(), {}

        def take(actions):
            for action in actions:
                assert isinstance(action, Grant)
                number = action.transfer.transfer_id
                self.assertNotIn(number, seen)
                seen.add(number)
                in_flight[number] = asked[number]
            total = sum(item.size_bytes for item in in_flight.values())
            self.assertEqual(total, budget.in_flight_bytes)
            self.assertTrue(total <= LIMIT or len(in_flight) == 1, in_flight)
            waiting = [item for n, item in asked.items() if n not in seen]
            if actions and waiting:
                last = actions[-1].transfer.urgency
                self.assertLessEqual(last, min(item.urgency for item in waiting))
            self.assertTrue(in_flight or not waiting)

        for number, event in enumerate(events):
            if event is None and in_flight:
                ended = next(iter(in_flight))
                del in_flight[ended]
                take(budget.on_end(ended))
            elif event is not None:
                asked[number] = Transfer(number, *event)
                take(budget.request(asked[number]))
        while in_flight:
            ended = next(iter(in_flight))
            del in_flight[ended]
            take(budget.on_end(ended))
        self.assertEqual(seen, set(asked))
