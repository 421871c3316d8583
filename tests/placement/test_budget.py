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

    def test_import_is_granted_before_prefetch_and_export(self):
        self.budget.request(transfer(1, Urgency.IMPORT, LIMIT))
        for number, urgency in enumerate(reversed(Urgency), start=2):
            self.assertEqual(self.budget.request(transfer(number, urgency, LIMIT)), [])
        self.assertEqual(granted(self.budget.on_end(1)), [4])
        self.assertEqual(granted(self.budget.on_end(4)), [3])
        self.assertEqual(granted(self.budget.on_end(3)), [2])

    def test_import_starts_at_once_with_any_number_of_waiting_exports(self):
        """Repeated prompts were slow while many new prompts were exported, because
        their imports waited behind the exports on the same link."""
        for number in range(100):
            self.budget.request(transfer(number, Urgency.EXPORT))
        self.assertEqual(self.budget.in_flight_bytes, LIMIT // 2)
        self.assertEqual(
            granted(self.budget.request(transfer(200, Urgency.IMPORT))), [200]
        )

    def test_accounts_are_granted_transfers_in_turn(self):
        self.budget.request(transfer(0, Urgency.IMPORT, LIMIT))
        for number in range(1, 4):
            self.budget.request(transfer(number, Urgency.IMPORT, LIMIT, "large"))
        self.budget.request(transfer(9, Urgency.IMPORT, LIMIT, "small"))
        order = []
        finished = 0
        while actions := self.budget.on_end(finished):
            (finished,) = granted(actions)
            order.append(finished)
        self.assertEqual(order, [1, 9, 2, 3])

    def test_cancelled_transfer_is_never_granted(self):
        self.budget.request(transfer(1, Urgency.IMPORT, LIMIT))
        self.budget.request(transfer(2, Urgency.IMPORT, LIMIT))
        self.budget.cancel(2)
        self.assertEqual(self.budget.on_end(1), [])

    def test_exports_are_dropped_when_the_queue_is_full_and_imports_are_not(self):
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
        """The bytes in flight never exceed the limit, except for a single larger
        transfer. No export is granted while a more urgent transfer waits. Every
        transfer is granted once, and the link is not idle while one waits."""
        budget = LinkBudget(LIMIT)
        requested, seen, in_flight = {}, set(), {}

        def check(actions):
            for action in actions:
                assert isinstance(action, Grant)
                number = action.transfer.transfer_id
                self.assertNotIn(number, seen)
                seen.add(number)
                in_flight[number] = requested[number]
            total = sum(item.size_bytes for item in in_flight.values())
            self.assertEqual(total, budget.in_flight_bytes)
            self.assertTrue(total <= LIMIT or len(in_flight) == 1, in_flight)
            waiting = [item for n, item in requested.items() if n not in seen]
            if actions and waiting:
                last = actions[-1].transfer.urgency
                self.assertLessEqual(last, min(item.urgency for item in waiting))
            self.assertTrue(in_flight or not waiting)

        for number, event in enumerate(events):
            if event is None and in_flight:
                finished = next(iter(in_flight))
                del in_flight[finished]
                check(budget.on_end(finished))
            elif event is not None:
                requested[number] = Transfer(number, *event)
                check(budget.request(requested[number]))
        while in_flight:
            finished = next(iter(in_flight))
            del in_flight[finished]
            check(budget.on_end(finished))
        self.assertEqual(seen, set(requested))
