"""What an older copy of the list of replicas says of those that are known."""

import unittest

from fireflyward.replicas import ReplicaDirectory

from .makers import entry


class OlderCopyTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry("r1"), entry("r2")], after_outage=False)

    def names(self):
        found = self.directory.of_service("s")
        return sorted(state.entry.incarnation for state in found)

    def come_back(self, now_ms, *copied, listed=()):
        return self.directory.on_full_read(
            now_ms, listed, restored=copied, after_outage=True
        )

    def change(self, *entries, removed=(), now_ms=0):
        self.directory.on_changes(now_ms, entries, removed, after_outage=False)

    def test_replicas_stand_in_the_order_of_the_list(self):
        """Guards against ties that each process breaks in another way."""
        names = [f"r{number}" for number in range(3, 40)]
        self.directory = ReplicaDirectory()
        self.come_back(0, listed=[entry(name) for name in names])
        found = [state.entry.incarnation for state in self.directory.all()]
        self.assertEqual(found, names)

    def test_it_does_not_take_back_that_a_replica_leaves(self):
        self.change(entry("r1", leaving=True))
        self.come_back(100, entry("r1"), entry("r2"))
        self.assertEqual(self.names(), ["r2"])

    def test_it_does_not_bring_back_one_that_went(self):
        """Guards against requests to a replica that left without a word of it."""
        self.change(removed=["r1"])
        self.come_back(100, entry("r1"), entry("r2"))
        self.directory.expire(6_000)
        self.assertEqual(self.names(), ["r2"])

    def test_one_that_went_and_renews_its_entry_is_there_again(self):
        """Guards against a replica that is shut out for good after a drill."""
        self.change(removed=["r1"])
        self.come_back(100, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_a_second_reading_does_not_begin_that_wait_again(self):
        self.change(removed=["r1"])
        for now_ms in (100, 3_000):
            self.come_back(now_ms, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_one_that_went_and_is_removed_again_stays_away(self):
        self.change(removed=["r1"])
        self.come_back(100, entry("r1"), entry("r2"))
        self.change(removed=["r1"], now_ms=2_000)
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r2"])

    def test_one_that_went_and_writes_its_entry_again_is_there_at_once(self):
        self.change(removed=["r1"])
        self.come_back(100, entry("r1"), entry("r2"))
        self.change(entry("r1"), now_ms=200)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_an_earlier_start_does_not_replace_a_later_one(self):
        self.change(entry("r1", started_ms=9_000))
        self.come_back(100, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.directory.find("r1").entry.started_ms, 9_000)

    def test_older_weights_are_not_believed(self):
        self.change(entry("r1", version=2))
        self.come_back(100, entry("r1", version=1), entry("r2"))
        self.assertEqual(self.directory.find("r1").version_by_model, {"m": 2})

    def test_that_one_leaves_is_believed_from_a_copy_too(self):
        self.come_back(100, entry("r1", leaving=True), entry("r2"))
        self.assertEqual(self.names(), ["r2"])

    def test_one_that_is_not_known_here_is_taken_from_the_copy(self):
        self.come_back(100, entry("r1"), entry("r2"), entry("r3"))
        self.assertEqual(self.names(), ["r1", "r2", "r3"])

    def test_one_that_the_copy_lacks_stays_until_it_could_write_again(self):
        self.assertEqual(self.come_back(100, entry("r1")), [])
        self.assertEqual(self.names(), ["r1", "r2"])
        self.directory.expire(2_400)
        self.assertEqual(self.names(), ["r1"])
