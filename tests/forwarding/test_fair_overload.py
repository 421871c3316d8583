"""Callers of several routes and accounts compete for too little capacity."""

import unittest

from .overload_replay import Replay

_EVEN = {f"a{i}": 1.0 for i in range(24)}
_ONE_LARGE = {"large": 23.0, **{f"a{i}": 1.0 for i in range(23)}}


class FairOverloadTests(unittest.TestCase):
    """Load of V's three routes, 1.2 to 2 times what the replicas can prefill."""

    @classmethod
    def setUpClass(cls):
        cls.base = Replay(is_fair=False, load=1.5, seconds=10, accounts=_ONE_LARGE)
        cls.fair = Replay(is_fair=True, load=1.5, seconds=10, accounts=_ONE_LARGE)

    def test_urgent_requests_are_not_served_less_often(self):
        """Guards against rejecting the most urgent requests in favour of long prompts.

        The base estimate admits a request while it can meet its objective, and the
        least urgent route has the longest objective. It fills the queues, and the other
        routes find them too long.
        """
        self.assertLess(self.base.share("tags"), self.base.share("long") - 0.5)
        self.assertGreater(self.fair.share("tags"), self.fair.share("long") - 0.1)
        self.assertGreater(self.fair.share("questions"), self.fair.share("long") - 0.15)

    def test_large_account_yields_first_and_keeps_a_share(self):
        """Guards against an account with half of the requests crowding out the others,
        and against serving it less than a quarter as often as all."""
        smallest = min(self.fair.share(f"a{i}") for i in range(23))
        self.assertGreater(smallest, 0.8)
        self.assertLess(self.fair.share("large"), smallest)
        self.assertGreater(self.fair.share("large"), 0.25 * self.fair.share("all"))

    def test_admitted_work_and_answers_in_time_are_not_reduced(self):
        self.assertGreater(self.fair.work_ms, 0.97 * self.base.work_ms)
        self.assertGreater(self.fair.in_time, self.base.in_time)

    def test_without_shortage_nothing_changes(self):
        base = Replay(is_fair=False, load=0.6, seconds=4, accounts=_EVEN)
        fair = Replay(is_fair=True, load=0.6, seconds=4, accounts=_EVEN)
        self.assertEqual(fair.served, base.served)
        self.assertEqual(set(fair.reasons), {""})
