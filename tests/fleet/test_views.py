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


class _WeightTargetCase(EvacuationTestCase):
    def setUp(self):
        super().setUp()
        self.weights = self.view._weights
        self.standstills = self.view._standstills

    def read(self, *, as_of_ms, version=None, at_ms=None, **options):
        self.clock._now_ms = as_of_ms if at_ms is None else at_ms
        value = json.dumps({"model": "m", "version": version}).encode()
        position = options.get("position", at(1))
        rows = (TableRow("version/m", value, position),) if version else ()
        is_snapshot = options.pop("is_snapshot", False)
        self.view.on_table_update(TableUpdate(rows, is_snapshot, as_of_ms, **options))

    def replaced_after_ms(self):
        return self.weights.history.replaced_after_ms("m", 1)


class WeightTargetTests(_WeightTargetCase):
    """Rows that name versions of weights, read late for one reason or another."""

    def setUp(self):
        super().setUp()
        self.read(as_of_ms=0, version=1, is_snapshot=True)

    def test_a_version_counts_from_the_last_reading_without_it(self):
        self.read(as_of_ms=4_000)
        self.read(as_of_ms=14_000, version=2)
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_a_version_told_by_an_aggregator_that_stood_still(self):
        """Guards against counting from an aggregator's answer.

        Its answers stated that the table was read 6 s before they were sent.
        """
        self.read(as_of_ms=4_000, at_ms=4_100)
        self.read(as_of_ms=4_000, at_ms=10_000)
        self.read(as_of_ms=10_100, version=2, at_ms=10_200)
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_the_time_of_an_outage_of_the_store_does_not_count(self):
        self.read(as_of_ms=4_000)
        self.read(as_of_ms=14_000, version=2, failed_calls=7)
        self.assertEqual(self.replaced_after_ms(), 14_000)

    def test_what_a_node_missed_in_an_outage_proves_nothing_to_others(self):
        self.read(as_of_ms=4_000)
        self.read(as_of_ms=14_000, version=2, failed_calls=7)
        self.assertEqual(self.weights.history.proven("m"), {1: 4_000})

    def test_calls_that_failed_in_a_standstill_are_no_outage(self):
        """Guards against a standstill that passes for an outage of the store."""
        self.read(as_of_ms=4_000)
        self.standstills.on_tick(4_000)
        self.read(as_of_ms=14_000, version=2, failed_calls=2)
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_calls_of_a_node_that_hardly_runs_are_no_outage(self):
        """Guards against a slow node's time-outs that pass for an outage."""
        self.read(as_of_ms=4_000)
        for now_ms in range(4_000, 14_001, 500):
            self.standstills.on_tick(now_ms)
        self.read(as_of_ms=14_000, version=2, failed_calls=3)
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_a_restored_store_does_not_show_that_no_version_was_named(self):
        """Guards against a version that counts from when its row is written again."""
        self.read(as_of_ms=4_000)
        position = at(3, 2)
        self.read(
            as_of_ms=6_000,
            version=1,
            is_snapshot=True,
            is_new_era=True,
            position=position,
        )
        self.read(as_of_ms=8_000, position=position)
        self.read(as_of_ms=9_000, version=2, position=at(4, 2))
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_rows_that_other_nodes_retained_confirm_nothing(self):
        self.read(as_of_ms=4_000)
        retained = TableRow("config", b"{}", at(2, 1))
        update = TableUpdate((retained,), False, 6_000, position=at(9, 2))
        self.view.on_table_update(update)
        self.read(as_of_ms=7_000, version=2)
        self.assertEqual(self.replaced_after_ms(), 4_000)

    def test_a_loaded_node_can_tell_an_outage_from_a_standstill(self):
        """Guards against refusing all prompts at the end of an outage."""
        self.read(as_of_ms=10_000)
        for now_ms in range(10_000, 30_000, 260):
            self.standstills.on_tick(now_ms)
        self.read(as_of_ms=30_000, version=2, failed_calls=20)
        self.assertEqual(self.replaced_after_ms(), 30_000)

    def test_two_rejected_calls_are_no_outage(self):
        self.read(as_of_ms=4_000)
        self.read(as_of_ms=6_500, version=2, failed_calls=2)
        self.assertEqual(self.replaced_after_ms(), 4_000)


class FirstReadingTests(_WeightTargetCase):
    """The first reading of a node that has just started."""

    def may_serve_older(self):
        return self.weights.may_get_requests(self.clock.now_ms(), "m", 1)

    def test_calls_that_failed_before_the_first_reading_prove_nothing(self):
        """Guards against a start in a rush of calls that passes for an outage."""
        self.read(as_of_ms=100_000, version=2, is_snapshot=True, failed_calls=9)
        self.assertFalse(self.may_serve_older())

    def test_a_restored_table_proves_nothing_to_a_node_that_starts(self):
        """Guards against false evidence from a version that the store had lost."""
        position = at(3, 2)
        self.read(as_of_ms=100_000, version=1, is_snapshot=True, position=position)
        retained = at(8, 1)
        value = json.dumps({"model": "m", "version": 2}).encode()
        row = TableRow("version/m", value, retained)
        self.view.on_table_update(
            TableUpdate((row,), False, 100_300, position=position)
        )
        self.assertFalse(self.may_serve_older())
        self.assertEqual(self.weights.history.proven("m"), {})


class ChangingEntryTests(unittest.TestCase):
    """An entry of another writer under a replica's name, beside a sound one."""

    def setUp(self):
        self.clock = ManualClock(0)
        self.directory = ReplicaDirectory()
        self.closed = []
        self.view = ReplicaView(
            clock=self.clock,
            directory=self.directory,
            pool=types.SimpleNamespace(close_idle=self.closed.append),
            heartbeat_ms=1_200,
            on_removed=lambda state: None,
        )

    def read(self, version, *, is_snapshot=False, **values_by_name):
        rows = [
            TableRow(name, value, at(version)) for name, value in values_by_name.items()
        ]
        update = TableUpdate(tuple(rows), is_snapshot, 0, position=at(version))
        self.view.on_table_update(update)

    def entry(self, **changes):
        entry = json.loads(ReplicaStandIn("r1").entry("s"))
        return json.dumps(entry | {"address": "10.0.0.1:80"} | changes).encode()

    def test_no_connection_stays_at_an_address_that_an_entry_left(self):
        """Guards against connections and counts that grow with each change."""
        for number in range(100):
            value = self.entry(address=f"10.0.1.{number}:80")
            self.read(number + 1, r1=value, r2=self.entry())
        self.assertEqual(self.closed, [f"10.0.1.{n}:80" for n in range(99)])
        self.assertEqual(self.directory.find("r2").entry.address, "10.0.0.1:80")
        self.assertEqual(len(self.directory.all()), 2)

    def test_a_replica_is_listed_again_after_an_odd_entry_under_its_name(self):
        """Guards against a sound replica that stays out of use."""
        self.read(1, is_snapshot=True, r1=self.entry(), r2=self.entry())
        other = self.directory.find("r2")
        odd = [
            b"",
            b"{" * 100_000,
            self.entry(slots=10**400),
            self.entry(address="10.0.0.1:" + "1" * 5_000),
            self.entry(models=[{"name": "m"}]),
            self.entry(born=2**64),
        ]
        for number, value in enumerate(odd):
            version = 2 * number + 2
            self.read(version, r1=value)
            self.assertIsNone(self.directory.find("r1"))
            self.assertEqual(self.directory.of_service("s"), [other])
            self.read(version + 1, r1=self.entry())
            self.assertEqual(len(self.directory.of_service("s")), 2)
        self.assertIs(self.directory.find("r2"), other)
