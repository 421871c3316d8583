import unittest

from fireflyward.bundles import BundleHolder
from tests.bundles.makers import bundle, first_state, next_state


class HolderTests(unittest.TestCase):
    def test_number_never_decreases(self):
        """Guards against a withdrawn key that works again.

        An older bundle arrives from a lagging peer. The bundle that arrived last must
        not come into force.
        """
        holder = BundleHolder()
        self.assertTrue(holder.update(bundle(5, ("tower-team",))))
        self.assertFalse(holder.update(bundle(4)))
        self.assertFalse(holder.update(bundle(5)))
        self.assertIsNone(holder.account_of_key("key-bridge-team"))

    def test_lookups_of_a_verified_bundle_and_of_a_plain_one_agree(self):
        for served in (bundle(), first_state().bundle):
            holder = BundleHolder()
            self.assertIsNone(holder.account_of_key("key-tower-team"))
            holder.update(served)
            name, caller, account = holder.account_of_key("key-tower-team")
            self.assertEqual((name, caller), ("tower-team", "portal"))
            self.assertEqual(account, served.accounts["tower-team"])
            self.assertIsNone(holder.account_of_key("key-other"))

    def test_withdrawn_key_stops_working_with_the_next_number(self):
        holder = BundleHolder()
        first = first_state()
        holder.update(first.bundle)
        holder.update(next_state(first, bundle(2, ("bridge-team",))).bundle)
        self.assertIsNone(holder.account_of_key("key-tower-team"))
