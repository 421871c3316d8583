"""What is recorded about one request for the rule of who yields first."""

import unittest
from types import SimpleNamespace

from fireflyward.deployment import Route, RouteKind, ServiceShare
from fireflyward.forwarding import Trace
from fireflyward.forwarding._admission import Admission, LatencyEstimate
from fireflyward.forwarding._fair_check import FairCheck
from fireflyward.limits import FairAdmission, LocalSums, PeerSums
from fireflyward.limits._group_sums import GroupKind, name_hash
from fireflyward.outcomes import NotRun, Reason
from fireflyward.platform import CallerRequest
from fireflyward.routes import Allowed

CALLER = CallerRequest("q1", "POST", "h", "/x", (), 3_000.0, model="m")
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, 3_000, 400, 0, 2, (ServiceShare("s", 1),)
)
# In time by the estimate alone, so only the rule's factor can reject it.
IN_TIME = LatencyEstimate(150, 250, 400, 3_000)


class FairCheckTests(unittest.TestCase):
    def setUp(self):
        self.sums = LocalSums()
        deps = SimpleNamespace(
            admission=Admission(), fairness=FairAdmission(self.sums, PeerSums())
        )
        allowed = Allowed(ROUTE, "s", None, 1)
        self.check = FairCheck(deps, CALLER, allowed, 0.0, Trace())

    def sum_of(self, kind):
        return self.sums.of_service(0, name_hash("s")).get((kind, 0))

    def test_rejection_by_the_rule_before_another_send_shows_no_shortage(self):
        """Guards against a rule that keeps itself active by its own rejections.

        The request was admitted, its replica refused the connection, and the rule
        rejects it at the next one.
        """
        self.check.on_decision(0, IN_TIME, is_admitted=True)
        self.check.on_decision(0, IN_TIME, is_admitted=False)
        outcome = NotRun(Reason.OVERLOADED)
        self.check.on_outcome(0, outcome, has_time=True)
        service = self.sum_of(GroupKind.SERVICE)
        self.assertEqual((service.admitted, service.rejected), (0, 1))
        self.assertIsNone(self.sum_of(GroupKind.LATE))

    def test_rejection_by_replicas_shows_a_shortage_once(self):
        self.check.on_decision(0, IN_TIME, is_admitted=True)
        for _ in range(2):
            self.check.on_outcome(0, NotRun(Reason.OVERLOADED), has_time=True)
        self.assertEqual(self.sum_of(GroupKind.SERVICE).rejected, 1)
        self.assertEqual(self.sum_of(GroupKind.LATE).arrived, 1)
