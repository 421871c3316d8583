"""The stored list of a service's software versions."""

import unittest

import msgspec

from fireflyward.backing import Committed, Position
from fireflyward.clock import ManualClock
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.streams import SoftwareRows, SoftwareVersions
from fireflyward.streams._versions import STREAM_LIFETIME_MS


class _Store:
    def __init__(self):
        self.writes = []

    async def write(self, *, table, part, expected, puts, deletes=()):
        self.writes.append((dict(puts), tuple(deletes)))
        return Committed({key: len(self.writes) for key in puts}, 1)


def update(version, *rows, is_snapshot=False):
    changed = [
        TableRow(key, value, Position(0, version), value is None) for key, value in rows
    ]
    return TableUpdate(tuple(changed), is_snapshot, 0, position=Position(0, version))


class SoftwareRowsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(0)
        self.versions = SoftwareVersions()
        self.store = _Store()
        self.is_first = True
        self.rows = SoftwareRows(
            self.versions,
            clock=self.clock,
            store=self.store,
            table="t",
            is_first=lambda: self.is_first,
        )

    def test_a_service_with_one_version_has_no_row(self):
        self.versions.on_list(0, {"s": {"v1"}})
        self.assertEqual(self.rows.due(0), [])

    def test_several_versions_are_due_until_they_are_stored(self):
        self.versions.on_list(0, {"s": {"v1", "v2"}})
        self.assertEqual(self.rows.due(0), [("s", {"v1", "v2"})])
        value = msgspec.json.encode({"versions": ["v1", "v2"]})
        self.rows.on_table_update(update(1, ("software/s", value)))
        self.assertEqual(self.rows.due(0), [])

    def test_other_nodes_leave_the_write_to_the_first_for_a_while(self):
        self.is_first = False
        self.versions.on_list(0, {"s": {"v1", "v2"}})
        self.assertEqual(self.rows.due(0), [])
        self.assertEqual(len(self.rows.due(3_000)), 1)

    async def test_the_row_goes_once_one_version_is_left(self):
        self.versions.on_list(0, {"s": {"v1", "v2"}})
        await self.rows._write(*self.rows.due(0)[0])
        self.versions.on_list(10, {"s": {"v2"}})
        self.assertEqual(self.rows.due(10), [])
        late_ms = 11 + STREAM_LIFETIME_MS
        self.assertEqual(self.rows.due(late_ms), [("s", frozenset())])
        await self.rows._write("s", frozenset())
        self.assertEqual(self.store.writes[-1], ({}, ("software/s",)))
        self.assertEqual(self.rows.due(late_ms), [])

    def test_a_node_that_starts_learns_versions_from_the_row(self):
        value = msgspec.json.encode({"versions": ["v1", "v2"]})
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.versions.on_list(0, {"s": {"v2"}})
        self.assertEqual(self.versions.recent(0, "s"), {"v1", "v2"})

    def test_a_row_of_another_writer_changes_nothing(self):
        with self.assertLogs("fireflyward.streams", "ERROR"):
            self.rows.on_table_update(update(1, ("software/s", b"{}")))
        self.assertEqual(self.versions.recent(0, "s"), frozenset())


if __name__ == "__main__":
    unittest.main()
