"""Effects of an older snapshot of the replica list on the known replicas."""

import unittest

from fireflyward.replicas import ListConfirmation, ReplicaDirectory

from .makers import entry


class OlderSnapshotTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry("r1"), entry("r2")])

    def names(self):
        found = self.directory.of_service("s")
        return sorted(state.entry.incarnation for state in found)

    def restore(self, now_ms, *restored, listed=()):
        return self.directory.on_full_read(
            now_ms, listed, restored=restored, keep_until_ms=now_ms + 2_300
        )

    def change(self, *entries, removed=(), now_ms=0):
        self.directory.on_changes(now_ms, entries, removed)

    def test_replicas_keep_the_order_of_the_list(self):
        """Guards against ties that each process breaks in a different way."""
        names = [f"r{number}" for number in range(3, 40)]
        self.directory = ReplicaDirectory()
        self.restore(0, listed=[entry(name) for name in names])
        found = [state.entry.incarnation for state in self.directory.all()]
        self.assertEqual(found, names)

    def test_a_snapshot_does_not_revoke_that_a_replica_is_leaving(self):
        self.change(entry("r1", leaving=True))
        self.restore(100, entry("r1"), entry("r2"))
        self.assertEqual(self.names(), ["r2"])

    def test_a_snapshot_does_not_restore_a_removed_replica(self):
        """Guards against requests to a replica that exited without notice."""
        self.change(removed=["r1"])
        self.restore(100, entry("r1"), entry("r2"))
        self.directory.expire(6_000)
        self.assertEqual(self.names(), ["r2"])

    def test_a_removed_replica_that_renews_its_entry_is_listed_again(self):
        """Guards against a replica that gets no requests after a restore."""
        self.change(removed=["r1"])
        self.restore(100, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_a_replica_is_not_listed_again_before_the_list_is_read_again(self):
        """Guards against requests to a replica that is gone, after a standstill.

        The time in which its entry would have expired passed while this node did not
        read the list, which no longer has the entry.
        """
        self.change(removed=["r1"])
        self.restore(100, entry("r1"), entry("r2"))
        self.directory.confirmation = ListConfirmation(100, "store")
        self.directory.expire(9_000)
        self.assertEqual(self.names(), ["r2"])
        self.directory.confirmation = ListConfirmation(9_100, "store")
        self.directory.expire(9_100)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_a_second_read_does_not_restart_the_wait_for_a_renewed_entry(self):
        self.change(removed=["r1"])
        for now_ms in (100, 3_000):
            self.restore(now_ms, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_a_replica_that_is_removed_again_stays_removed(self):
        self.change(removed=["r1"])
        self.restore(100, entry("r1"), entry("r2"))
        self.change(removed=["r1"], now_ms=2_000)
        self.directory.expire(6_100)
        self.assertEqual(self.names(), ["r2"])

    def test_a_replica_that_writes_its_entry_again_is_listed_at_once(self):
        self.change(removed=["r1"])
        self.restore(100, entry("r1"), entry("r2"))
        self.change(entry("r1"), now_ms=200)
        self.assertEqual(self.names(), ["r1", "r2"])

    def test_an_earlier_incarnation_does_not_replace_a_later_one(self):
        self.change(entry("r1", started_ms=9_000))
        self.restore(100, entry("r1"), entry("r2"))
        self.directory.expire(6_100)
        self.assertEqual(self.directory.find("r1").entry.started_ms, 9_000)

    def test_older_weights_are_ignored(self):
        self.change(entry("r1", version=2))
        self.restore(100, entry("r1", version=1), entry("r2"))
        self.assertEqual(self.directory.find("r1").version_by_model, {"m": 2})

    def test_a_replica_that_leaves_by_the_snapshot_is_leaving(self):
        self.restore(100, entry("r1", leaving=True), entry("r2"))
        self.assertEqual(self.names(), ["r2"])

    def test_an_unknown_replica_is_added_from_the_snapshot(self):
        self.restore(100, entry("r1"), entry("r2"), entry("r3"))
        self.assertEqual(self.names(), ["r1", "r2", "r3"])

    def test_a_replica_missing_in_the_snapshot_stays_until_it_could_write_again(self):
        self.assertEqual(self.restore(100, entry("r1")), [])
        self.assertEqual(self.names(), ["r1", "r2"])
        self.directory.expire(2_400)
        self.assertEqual(self.names(), ["r1"])
