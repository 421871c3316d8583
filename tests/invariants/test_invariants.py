import unittest

from fireflyward.bundles import Bundle, BundleHolder
from fireflyward.invariants import Invariant, InvariantBroken, add_listener, require
from fireflyward.limits import Admission, AdmissionRequest


class RequireTests(unittest.TestCase):
    def setUp(self):
        self.reported = []
        self.addCleanup(add_listener(self.reported.append))

    def broken_by(self, check):
        with self.assertLogs("fireflyward.invariants", "CRITICAL") as logs:
            with self.assertRaises(InvariantBroken) as caught:
                check()
        self.assertIn(str(caught.exception), logs.output[0])
        self.assertEqual(self.reported, [caught.exception])
        return caught.exception.invariant

    def test_a_broken_invariant_is_reported_logged_and_raised(self):
        check = require, False, Invariant.ONE_END, "%s ended twice", "r"
        found = self.broken_by(lambda: check[0](*check[1:]))
        self.assertIs(found, Invariant.ONE_END)

    def test_handlers_of_exception_do_not_catch_it(self):
        self.assertFalse(issubclass(InvariantBroken, Exception))

    def test_leaving_admission_twice_breaks_an_invariant(self):
        admission = Admission()
        ticket = admission.enter(0, AdmissionRequest("bridge", "clauses", 1.0, 2, 100))
        admission.leave(ticket)
        found = self.broken_by(lambda: admission.leave(ticket))
        self.assertIs(found, Invariant.IN_FLIGHT)

    def test_setting_an_older_bundle_breaks_an_invariant(self):
        holder = BundleHolder()
        holder.update(Bundle("demo", 2, {}, {}, {}))
        old = Bundle("demo", 1, {}, {}, {})
        found = self.broken_by(lambda: holder._set_bundle(old))
        self.assertIs(found, Invariant.BUNDLE_FORWARD)
