"""The deletions that a cached table remembers."""

import unittest

from fireflyward.feeds import HistoryLost, TableRow, TableUpdate
from fireflyward.feeds._cached_table import CachedTable
from tests.positions import at

_ROWS = 5_000
_MAX_ENTRIES = 1_010


class DeletionTests(unittest.TestCase):
    def setUp(self):
        self.table = CachedTable()
        self.version = 0

    def apply(self, key, *, is_deleted=False, era=1):
        self.version += 1
        position = at(self.version, era)
        row = TableRow(key, b"" if is_deleted else b"1", position, is_deleted)
        self.table.apply(TableUpdate((row,), False, 0, position=position))

    def churn(self, count=_ROWS, *, name="row", era=1):
        """Add and delete rows."""
        for number in range(count):
            self.apply(f"{name}{number}", era=era)
            self.apply(f"{name}{number}", is_deleted=True, era=era)

    def test_deleted_rows_are_forgotten(self):
        """Guards against a table that grows with each replica that was replaced."""
        self.apply("stays")
        self.churn()
        self.assertLess(len(self.table._row_by_key), _MAX_ENTRIES)
        self.assertEqual([row.key for row in self.table.all_rows()], ["stays"])

    def test_a_reader_without_a_forgotten_deletion_reads_the_table(self):
        """Guards against a row that stays at a reader although it was deleted."""
        self.churn()
        recent = self.table.changes_after(at(self.version - 100, 1))
        self.assertEqual(len(recent), 50)
        self.assertTrue(all(row.is_deleted for row in recent))
        self.assertEqual(self.table.changes_after(at(10, 1)), HistoryLost())
        known_since = self.table._changes_known_since
        after = self.table.changes_after(known_since)
        expected = (self.version - known_since.version) // 2
        self.assertEqual(len(after), expected)

    def test_deletions_of_an_earlier_era_are_retained(self):
        """Guards against a deleted row that returns with a restored store."""
        self.table = CachedTable(retains_rows=True)
        self.churn(900)
        self.churn(2_000, name="later", era=2)
        earlier = [key for key in self.table._row_by_key if key.startswith("row")]
        self.assertEqual(len(earlier), 900)
        self.assertLess(len(self.table._row_by_key), 2_000)
