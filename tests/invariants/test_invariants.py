import unittest

from fireflyward.bundles import Bundle, BundleHolder
from fireflyward.invariants import Invariant, InvariantBroken, listen, require
from fireflyward.limits import Admission, AdmissionRequest


class RequireTests(unittest.TestCase):
    def setUp(self):
        self.told = []
        self.addCleanup(listen(self.told.append))

    def broken_by(self, work):
        with self.assertLogs("fireflyward.invariants", "CRITICAL") as logs:
            with self.assertRaises(InvariantBroken) as caught:
                work()
        self.assertIn(str(caught.exception), logs.output[0])
        self.assertEqual(self.told, [caught.exception])
        return caught.exception.invariant

    def test_a_broken_one_is_told_logged_and_raised(self):
        work = require, False, Invariant.ONE_END, "%s ended twice", "r"
        found = self.broken_by(lambda: work[0](*work[1:]))
        self.assertIs(found, Invariant.ONE_END)

    def test_no_handler_of_errors_goes_on_with_it(self):
        self.assertFalse(issubclass(InvariantBroken, Exception))

    def test_leaving_more_often_than_entering(self):
        admission = Admission()
        ticket = admission.enter(0, AdmissionRequest("bridge", "clauses", 1.0, 2, 100))
        admission.leave(ticket)
        found = self.broken_by(lambda: admission.leave(ticket))
        self.assertIs(found, Invariant.IN_FLIGHT)

    def test_a_way_around_the_comparison_of_bundles(self):
        holder = BundleHolder()
        holder.update(Bundle("demo", 2, {}, {}, {}))
        old = Bundle("demo", 1, {}, {}, {})
        found = self.broken_by(lambda: holder._set_bundle(old))
        self.assertIs(found, Invariant.BUNDLE_FORWARD)
