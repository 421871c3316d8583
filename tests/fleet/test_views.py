"""How a node applies the rows of operators and the list of replicas."""

import json
import types
import unittest

from fireflyward.clock import ManualClock, Standstills
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.fleet._views import OperatorView, ReplicaView
from fireflyward.forwarding import WeightVersions
from fireflyward.replicas import ReplicaDirectory
from fireflyward.routes import RouteTable
from tests.platform_standins import ReplicaStandIn
from tests.positions import at


class EvacuationTestCase(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.clock = ManualClock(0)
        self.view = OperatorView(
            clock=self.clock,
            routes=RouteTable(revoke_ms=5_000, fails_closed=True),
            weights=WeightVersions(version_ms=12_000),
            directory=self.directory,
            failure_domains=("a", "b"),
            on_configuration=lambda configuration: None,
            standstills=Standstills(clock=self.clock),
        )

    def apply(self, *rows, is_snapshot):
        self.view.on_table_update(TableUpdate(rows, is_snapshot, 0))
        return self.directory.evacuated

    def row(self, domain, *, is_deleted=False):
        return TableRow(f"evacuate/{domain}", b"{}", at(1), is_deleted)


class EvacuationRowTests(EvacuationTestCase):
    def test_a_new_row_adds_an_evacuation(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.assertEqual(self.apply(self.row("b"), is_snapshot=False), {"a", "b"})

    def test_a_removed_row_ends_the_evacuation(self):
        self.apply(self.row("a"), self.row("b"), is_snapshot=True)
        removed = self.row("a", is_deleted=True)
        self.assertEqual(self.apply(removed, is_snapshot=False), {"b"})

    def test_a_snapshot_without_the_row_ends_the_evacuation(self):
        """Guards against a failure domain that stays evacuated permanently.

        The row was removed while the store lost its history, so no change showed the
        removal, only the next full read.
        """
        self.apply(self.row("a"), is_snapshot=False)
        self.assertEqual(self.apply(self.row("b"), is_snapshot=True), {"b"})

    def test_updates_of_other_rows_change_nothing(self):
        self.apply(self.row("a"), is_snapshot=True)
        self.assertEqual(self.apply(is_snapshot=False), {"a"})


class RestoredEvacuationTests(EvacuationTestCase):
    """The store is restored from an older snapshot of the operators' table."""

    def restore(self, *rows):
        update = TableUpdate(rows, True, 0, position=at(9, 2), is_new_era=True)
        self.view.on_table_update(update)
        return self.directory.evacuated

    def restored_row(self, domain):
        return TableRow(f"evacuate/{domain}", b"{}", at(1, 2), is_restored=True)

    def test_a_restored_table_without_the_row_ends_nothing(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.assertEqual(self.restore(), {"a"})

    def test_an_evacuation_not_written_again_ends_after_the_retention(self):
        """Guards against a permanent evacuation that was withdrawn before the read."""
        self.apply(self.row("a"), is_snapshot=False)
        self.restore()
        self.clock._now_ms = 9_999
        self.assertEqual(self.apply(is_snapshot=False), {"a"})
        self.clock._now_ms = 10_000
        self.assertEqual(self.apply(is_snapshot=False), set())

    def test_an_evacuation_written_again_outlasts_the_retention(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.restore()
        self.apply(self.row("a"), is_snapshot=False)
        self.clock._now_ms = 10_000
        self.assertEqual(self.apply(is_snapshot=False), {"a"})

    def test_a_second_read_of_the_restored_table_ends_nothing(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.restore()
        self.assertEqual(self.apply(is_snapshot=True), {"a"})

    def test_a_row_written_again_and_removed_ends_the_evacuation(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.restore()
        self.apply(self.row("a"), is_snapshot=False)
        self.assertEqual(self.apply(is_snapshot=True), set())

    def test_a_removal_in_the_new_era_ends_the_evacuation(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.restore()
        removed = self.row("a", is_deleted=True)
        self.assertEqual(self.apply(removed, is_snapshot=False), set())

    def test_a_restored_row_that_was_removed_evacuates_nothing(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.apply(self.row("a", is_deleted=True), is_snapshot=False)
        self.assertEqual(self.restore(self.restored_row("a")), set())

    def test_a_restored_row_in_force_stays_in_force(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.assertEqual(self.restore(self.restored_row("a")), {"a"})
        self.assertEqual(self.apply(self.restored_row("a"), is_snapshot=True), {"a"})

    def test_a_row_retained_by_an_aggregator_is_not_yet_written_again(self):
        self.apply(self.row("a"), is_snapshot=False)
        self.restore(self.row("a"))
        self.assertEqual(self.apply(is_snapshot=True), {"a"})

    def test_a_restored_row_stays_in_force_until_it_is_removed(self):
        """Guards against an old evacuation that ends soon after a restore."""
        self.apply(self.row("a"), is_snapshot=False)
        self.restore(self.restored_row("a"))
        self.clock._now_ms = 10_000
        self.assertEqual(self.apply(is_snapshot=False), {"a"})
        self.assertEqual(self.apply(is_snapshot=True), set())

    def test_a_row_written_in_the_new_era_is_applied(self):
        self.assertEqual(self.restore(self.row("b")), {"b"})


class RestoredReplicaListTests(unittest.TestCase):
    """How the first read of the replica list in a new era is applied."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.gone = []
        self.clock = ManualClock(0)
        self.view = ReplicaView(
            clock=self.clock,
            directory=self.directory,
            pool=types.SimpleNamespace(close_idle=lambda address: None),
            heartbeat_ms=1_200,
            on_removed=self.gone.append,
        )

    def row(self, state, version, era, *, is_restored=False):
        entry = ReplicaStandIn("r1").entry("s", state=state)
        entry = json.loads(entry) | {"address": "10.0.0.1:80"}
        value = json.dumps(entry).encode()
        return TableRow("r1", value, at(version, era), is_restored=is_restored)

    def read(self, *rows, is_new_era=True):
        self.view.on_table_update(TableUpdate(rows, True, 0, is_new_era=is_new_era))

    @property
    def listed(self):
        return [state.entry.incarnation for state in self.directory.of_service("s")]

    def test_an_unknown_older_row_does_not_cancel_leaving(self):
        """Guards against a node that started between the snapshot and the restore."""
        self.read(self.row("draining", 45, 1), is_new_era=False)
        self.read(self.row("ready", 30, 2))
        self.assertEqual(self.listed, [])

    def test_a_restored_row_does_not_cancel_leaving(self):
        self.read(self.row("draining", 45, 1), is_new_era=False)
        self.read(self.row("ready", 30, 2, is_restored=True))
        self.assertEqual(self.listed, [])

    def test_a_replica_that_leaves_in_the_new_era_is_not_used(self):
        self.read(self.row("ready", 30, 1), is_new_era=False)
        self.read(self.row("draining", 31, 2))
        self.assertEqual(self.listed, [])

    def test_a_replica_missing_in_the_snapshot_stays_listed(self):
        """Guards against a service without replicas if no outage was detected."""
        self.read(self.row("ready", 30, 1), is_new_era=False)
        self.read()
        self.assertEqual((self.listed, self.gone), (["r1"], []))
