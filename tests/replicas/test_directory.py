"""Which replicas get new requests as the list changes."""

import unittest

from fireflyward.replicas import ReplicaDirectory

from .makers import entry


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_whole(0, [entry("r1"), entry("r2")], after_outage=False)

    def names(self, service="s"):
        return sorted(
            state.entry.incarnation for state in self.directory.of_service(service)
        )

    def test_one_that_leaves_gets_nothing_more(self):
        self.directory.on_changes(0, [entry("r1", leaving=True)], [], after_outage=True)
        self.assertEqual(self.names(), ["r2"])

    def test_one_that_is_removed_gets_nothing_more(self):
        gone = self.directory.on_changes(0, [], ["r1"], after_outage=False)
        self.assertEqual([state.entry.incarnation for state in gone], ["r1"])
        self.assertEqual(self.names(), ["r2"])

    def test_entries_that_lapsed_in_an_outage_stay_for_a_while(self):
        """Symptom: every request is refused when the store returns.

        Replicas could not renew their entries while the store was away; all of
        them are missing from its first answer, although they serve.
        """
        self.directory.on_whole(100, [], after_outage=True)
        self.assertEqual(self.names(), ["r1", "r2"])
        self.directory.on_changes(900, [entry("r1")], [], after_outage=True)
        gone = self.directory.expire(2_400)
        self.assertEqual([state.entry.incarnation for state in gone], ["r2"])
        self.assertEqual(self.names(), ["r1"])

    def test_one_that_was_leaving_is_not_kept_by_an_outage(self):
        self.directory.on_changes(
            0, [entry("r1", leaving=True)], [], after_outage=False
        )
        self.directory.on_changes(0, [], ["r1"], after_outage=True)
        self.assertIsNone(self.directory.find("r1"))

    def test_what_is_known_of_an_incarnation_is_kept(self):
        state = self.directory.find("r1")
        state.in_flight = 3
        self.directory.on_whole(0, [entry("r1")], after_outage=False)
        self.assertIs(self.directory.find("r1"), state)
        self.assertEqual(state.in_flight, 3)

    def test_word_of_loaded_weights_holds_until_the_list_changes(self):
        self.directory.on_changes(0, [entry("r1", version=1)], [], after_outage=False)
        state = self.directory.find("r1")
        state.on_loading(0, 5_000)
        state.on_loaded("m", 2)
        self.assertFalse(state.is_loading(1))
        self.directory.on_changes(0, [entry("r1", version=1)], [], after_outage=False)
        self.assertEqual(state.version_by_model, {"m": 2})
        self.directory.on_changes(0, [entry("r1", version=3)], [], after_outage=False)
        self.assertEqual(state.version_by_model, {"m": 3})
