"""Rows that say when weights were replaced."""

import unittest

import msgspec

from fireflyward.backing import Committed, Conflict, Position, StoreTime
from fireflyward.deployment import WeightTarget
from fireflyward.feeds import Snapshot, TableRow, TableUpdate
from fireflyward.replacements import ReplacementRow, ReplacementRows, VersionHistory
from tests.positions import at

KEY = "replaced/m"


class _Store:
    """Keeps one row, and reads its clock without delay at local time 0."""

    def __init__(self, store_ms):
        self.time = StoreTime(store_ms, 0, 0)
        self.row = None
        self.version = 5
        self.writes = 0

    async def rows(self, table):
        rows = (self.row,) if self.row else ()
        return Snapshot(rows, at(self.version))

    async def write(self, *, table, part, expected, puts):
        self.writes += 1
        current = self.row.position.version if self.row else 0
        if expected[KEY].version != current:
            return Conflict()
        self.version += 1
        self.row = TableRow(KEY, puts[KEY], at(self.version))
        return Committed({KEY: self.version})


class ReplacementRowTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = _Store(store_ms=100_000)

    def node(self, store=None):
        history = VersionHistory()
        return history, ReplacementRows(history, store=store or self.store, table="t")

    async def write(self, *, confirmed_ms, version=2):
        history, rows = self.node()
        history.confirm(confirmed_ms)
        history.set_target(0, WeightTarget("m", version))
        await rows.write("m")

    def start(self, store_ms):
        """Start a node whose clock is 0 when that of the store is ``store_ms``."""
        store = _Store(store_ms)
        history, rows = self.node(store)
        rows.on_table_update(TableUpdate((self.store.row,), True, 0))
        history.set_target(0, WeightTarget("m", 2))
        rows.use_evidence("m")
        return history

    async def test_a_node_that_starts_knows_when_a_version_was_named(self):
        """Guards against an unknown age after a restart of all nodes."""
        await self.write(confirmed_ms=-3_000)
        history = self.start(store_ms=102_000)
        self.assertEqual(history.replaced_after_ms("m", 1), -5_000)

    async def test_a_row_of_an_earlier_version_tells_until_when_it_was_the_newest(self):
        await self.write(confirmed_ms=-9_000)
        history, rows = self.node()
        rows.on_table_update(TableUpdate((self.store.row,), True, 0))
        history.set_target(0, WeightTarget("m", 3))
        self.assertTrue(rows.use_evidence("m"))
        self.assertEqual(history.replaced_after_ms("m", 2), -9_000)

    async def test_a_time_after_the_reading_of_the_stores_clock_is_not_used(self):
        """Guards against a version that seems to be named in the future."""
        await self.write(confirmed_ms=-1_000)
        history = self.start(store_ms=90_000)
        self.assertIsNone(history.replaced_after_ms("m", 1))

    def start_after(self, *, dated, named_at, store_ms=97_000):
        """Start a node that finds a version, and a row that says when it was written.

        Its clock is 0 when that of the store is 100,000.
        """
        history, rows = self.node()
        history.set_target(0, WeightTarget("m", 2))
        rows.on_named("m", named_at)
        rows.on_dated_row(dated, store_ms)
        return history.replaced_after_ms("m", 1)

    def test_a_version_was_named_after_a_row_that_was_written_before(self):
        """Guards against an unknown age of versions named while no node ran."""
        self.assertEqual(self.start_after(dated=at(7), named_at=at(8)), -3_000)

    def test_a_row_that_was_written_after_the_version_tells_nothing(self):
        """Guards against older weights that serve for longer than is allowed."""
        self.assertIsNone(self.start_after(dated=at(9), named_at=at(8)))

    def test_positions_after_a_restore_tell_nothing(self):
        """Guards against a version that operators wrote again after a restore."""
        dated, named_at = Position(2, 7), Position(2, 8)
        self.assertIsNone(self.start_after(dated=dated, named_at=named_at))

    def test_a_row_without_a_time_or_with_a_later_one_tells_nothing(self):
        for store_ms in (0, 100_001):
            self.assertIsNone(
                self.start_after(dated=at(7), named_at=at(8), store_ms=store_ms)
            )

    async def test_a_row_of_replacements_goes_before_the_position(self):
        """Guards against a version that operators have written twice."""
        await self.write(confirmed_ms=-9_000)
        history, rows = self.node()
        rows.on_table_update(TableUpdate((self.store.row,), True, 0))
        history.set_target(0, WeightTarget("m", 2))
        rows.on_named("m", at(8))
        rows.on_dated_row(at(7), 97_000)
        rows.use_evidence("m")
        self.assertEqual(history.replaced_after_ms("m", 1), -9_000)

    async def test_a_second_node_does_not_write_the_row_again(self):
        await self.write(confirmed_ms=-3_000)
        await self.write(confirmed_ms=-2_000)
        self.assertEqual((self.store.writes, self.store.version), (2, 6))

    async def test_a_row_of_an_earlier_version_is_replaced(self):
        """Guards against a stale cached position, with which no write succeeds."""
        await self.write(confirmed_ms=-30_000)
        await self.write(confirmed_ms=-3_000, version=3)
        row = msgspec.json.decode(self.store.row.value, type=ReplacementRow)
        self.assertEqual((row.newest, row.last_newest_ms), (3, {0: 97_000}))

    async def test_a_node_without_a_bound_writes_nothing(self):
        history, rows = self.node()
        history.set_target(0, WeightTarget("m", 2))
        await rows.write("m")
        self.assertEqual(self.store.writes, 0)

    def test_malformed_rows_are_ignored(self):
        history, rows = self.node()
        for value in (b"", b"[]", b'{"newest": "x"}', b'{"newest": 2}'):
            row = TableRow(KEY, value, at(1))
            with self.assertLogs("fireflyward.replacements", "ERROR"):
                rows.on_table_update(TableUpdate((row,), True, 0))
        self.assertFalse(rows.use_evidence("m"))

    def test_positions_of_an_earlier_era_are_not_expected(self):
        _, rows = self.node()
        update = TableUpdate((), True, 0, position=Position(3, 1), is_new_era=True)
        rows.on_table_update(update)
        self.assertEqual(rows._era, 3)
