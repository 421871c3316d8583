"""What rows of the operator's table mean for a node."""

import json
import types
import unittest

from fireflyward.clock import ManualClock
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
            routes=RouteTable(revoke_ms=5_000, closes_without_contact=True),
            weights=WeightVersions(version_ms=12_000),
            directory=self.directory,
            failure_domains=("a", "b"),
            on_configuration=lambda configuration: None,
        )

    def take(self, *rows, is_whole):
        self.view.on_news(TableUpdate(rows, is_whole, 0))
        return self.directory.evacuated

    def row(self, domain, *, is_deleted=False):
        return TableRow(f"evacuate/{domain}", b"{}", at(1), is_deleted)


class EvacuationRowTests(EvacuationTestCase):
    def test_a_change_adds_to_what_is_evacuated(self):
        self.take(self.row("a"), is_whole=False)
        self.assertEqual(self.take(self.row("b"), is_whole=False), {"a", "b"})

    def test_a_removed_row_takes_it_back(self):
        self.take(self.row("a"), self.row("b"), is_whole=True)
        removed = self.row("a", is_deleted=True)
        self.assertEqual(self.take(removed, is_whole=False), {"b"})

    def test_a_whole_table_without_the_row_takes_it_back(self):
        """Symptom: a failure domain stayed evacuated for good.

        The row was removed while the store lost its history, so that no change told
        of it and only the table read anew did not have it any more.
        """
        self.take(self.row("a"), is_whole=False)
        self.assertEqual(self.take(self.row("b"), is_whole=True), {"b"})

    def test_news_of_other_rows_change_nothing(self):
        self.take(self.row("a"), is_whole=True)
        self.assertEqual(self.take(is_whole=False), {"a"})


class EvacuationInDrillTests(EvacuationTestCase):
    """The store comes back from an older copy of the operator's table."""

    def come_back(self, *rows):
        news = TableUpdate(rows, True, 0, position=at(9, 2), is_new_era=True)
        self.view.on_news(news)
        return self.directory.evacuated

    def copied(self, domain):
        return TableRow(f"evacuate/{domain}", b"{}", at(1, 2), is_restored=True)

    def test_a_copy_that_lacks_the_row_takes_nothing_back(self):
        self.take(self.row("a"), is_whole=False)
        self.assertEqual(self.come_back(), {"a"})

    def test_a_row_that_nobody_writes_again_holds_for_so_long(self):
        """Guards against one that was taken back before the reading, and stays."""
        self.take(self.row("a"), is_whole=False)
        self.come_back()
        self.clock._now_ms = 9_999
        self.assertEqual(self.take(is_whole=False), {"a"})
        self.clock._now_ms = 10_000
        self.assertEqual(self.take(is_whole=False), set())

    def test_one_that_is_written_again_holds_for_longer(self):
        self.take(self.row("a"), is_whole=False)
        self.come_back()
        self.take(self.row("a"), is_whole=False)
        self.clock._now_ms = 10_000
        self.assertEqual(self.take(is_whole=False), {"a"})

    def test_nor_does_a_second_reading_of_it(self):
        self.take(self.row("a"), is_whole=False)
        self.come_back()
        self.assertEqual(self.take(is_whole=True), {"a"})

    def test_a_row_that_was_written_again_and_removed_takes_it_back(self):
        self.take(self.row("a"), is_whole=False)
        self.come_back()
        self.take(self.row("a"), is_whole=False)
        self.assertEqual(self.take(is_whole=True), set())

    def test_a_removal_takes_it_back(self):
        self.take(self.row("a"), is_whole=False)
        self.come_back()
        removed = self.row("a", is_deleted=True)
        self.assertEqual(self.take(removed, is_whole=False), set())

    def test_a_copy_that_has_the_row_again_evacuates_nothing(self):
        self.take(self.row("a"), is_whole=False)
        self.take(self.row("a", is_deleted=True), is_whole=False)
        self.assertEqual(self.come_back(self.copied("a")), set())

    def test_a_row_of_the_copy_that_is_known_holds(self):
        self.take(self.row("a"), is_whole=False)
        self.assertEqual(self.come_back(self.copied("a")), {"a"})
        self.assertEqual(self.take(self.copied("a"), is_whole=True), {"a"})

    def test_a_row_that_an_aggregator_carries_is_not_written_again_yet(self):
        self.take(self.row("a"), is_whole=False)
        self.come_back(self.row("a"))
        self.assertEqual(self.take(is_whole=True), {"a"})

    def test_a_row_that_the_copy_has_holds_for_as_long_as_it_stands_there(self):
        """Guards against an evacuation from long ago that ends soon after a drill."""
        self.take(self.row("a"), is_whole=False)
        self.come_back(self.copied("a"))
        self.clock._now_ms = 10_000
        self.assertEqual(self.take(is_whole=False), {"a"})
        self.assertEqual(self.take(is_whole=True), set())

    def test_a_row_that_the_operator_wrote_in_the_new_era_counts(self):
        self.assertEqual(self.come_back(self.row("b")), {"b"})


class ListInDrillTests(unittest.TestCase):
    """What a first reading of the list of replicas in a new era changes."""

    def setUp(self):
        self.directory = ReplicaDirectory()
        self.gone = []
        self.clock = ManualClock(0)
        self.view = ReplicaView(
            clock=self.clock,
            directory=self.directory,
            pool=types.SimpleNamespace(forget=lambda address: None),
            on_removed=self.gone.append,
        )

    def row(self, state, version, era, *, is_restored=False):
        entry = ReplicaStandIn("r1").entry("s", state=state)
        entry = json.loads(entry) | {"address": "10.0.0.1:80"}
        value = json.dumps(entry).encode()
        return TableRow("r1", value, at(version, era), is_restored=is_restored)

    def read(self, *rows, is_new_era=True):
        self.view.on_news(TableUpdate(rows, True, 0, is_new_era=is_new_era))

    @property
    def listed(self):
        return [state.entry.incarnation for state in self.directory.of_service("s")]

    def test_a_row_that_this_node_never_saw_does_not_unsay_that_one_leaves(self):
        """Guards against a node that started between the copy and the drill."""
        self.read(self.row("draining", 45, 1), is_new_era=False)
        self.read(self.row("ready", 30, 2))
        self.assertEqual(self.listed, [])

    def test_a_row_of_the_copy_does_not_either(self):
        self.read(self.row("draining", 45, 1), is_new_era=False)
        self.read(self.row("ready", 30, 2, is_restored=True))
        self.assertEqual(self.listed, [])

    def test_one_that_leaves_in_the_new_era_is_believed(self):
        self.read(self.row("ready", 30, 1), is_new_era=False)
        self.read(self.row("draining", 31, 2))
        self.assertEqual(self.listed, [])

    def test_an_entry_that_the_copy_lacks_may_be_written_again(self):
        """Guards against a service without replicas where no outage was noticed."""
        self.read(self.row("ready", 30, 1), is_new_era=False)
        self.read()
        self.assertEqual((self.listed, self.gone), (["r1"], []))
