"""What rows of the operator's table mean for a node."""

import unittest

from fireflyward.clock import ManualClock
from fireflyward.feeds import Followed, TableRow
from fireflyward.fleet._views import OperatorView
from fireflyward.forwarding import WeightBook
from fireflyward.replicas import ReplicaDirectory
from fireflyward.routes import RouteTable
from tests.positions import at


class EvacuationRowTests(unittest.TestCase):
    def setUp(self):
        self.directory = ReplicaDirectory()
        self.view = OperatorView(
            clock=ManualClock(0),
            routes=RouteTable(revoke_ms=5_000, closes_without_contact=True),
            weights=WeightBook(version_ms=12_000),
            directory=self.directory,
            failure_domains=("a", "b"),
            on_configuration=lambda configuration: None,
        )

    def take(self, *rows, is_whole):
        self.view.on_news(Followed(rows, is_whole, 0))
        return self.directory.evacuated

    def row(self, domain, *, is_deleted=False):
        return TableRow(f"evacuate/{domain}", b"{}", at(1), is_deleted)

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
