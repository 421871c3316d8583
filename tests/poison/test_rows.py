"""Rows of held and of suspect parts."""

import unittest

from fireflyward.backing import Committed, Conflict, Position, StoreTime
from fireflyward.clock import ManualClock
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.poison import HeldPartRows, HeldParts, PartOnTrial
from fireflyward.poison._suspect_rows import SuspectPartRows
from fireflyward.quarantine import Held

BAD = -7
HELD_KEY, SUSPECT_KEY = "poison/-7", "poison-suspect/-7"


class _Store:
    def __init__(self):
        self.time = None
        self.writes = []
        self.is_conflicting = False

    async def write(self, *, table, part, expected, puts, deletes=()):
        self.writes.append((dict(puts), tuple(deletes)))
        if self.is_conflicting:
            return Conflict()
        return Committed({key: len(self.writes) for key in puts}, 0)


def row(key, value, version, **options):
    options["is_deleted"] = value is None
    return TableRow(key, value or b"", Position(0, version), **options)


def update(*rows, version=9, **options):
    options = {"is_snapshot": False, "as_of_ms": 0, **options}
    return TableUpdate(tuple(rows), position=Position(0, version), **options)


class HeldPartRowsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock, self.store, self.held = ManualClock(0), _Store(), HeldParts()
        self.rows = HeldPartRows(
            self.held, clock=self.clock, store=self.store, table="t"
        )

    def test_a_row_holds_a_part_until_it_is_deleted(self):
        self.rows.on_table_update(update(row(HELD_KEY, b'{"crashes":3}', 1)))
        self.assertEqual(self.held.by_part[BAD].crashes, 3)
        self.rows.on_table_update(update(row(HELD_KEY, None, 2)))
        self.assertEqual(len(self.held), 0)

    def test_a_snapshot_without_the_row_frees_the_part(self):
        self.rows.on_table_update(update(row(HELD_KEY, b'{"crashes":3}', 1)))
        self.rows.on_table_update(update(is_snapshot=True))
        self.assertEqual(len(self.held), 0)

    async def test_a_restored_store_frees_no_part(self):
        """Guards against a hold that is undone by a store restored from a copy."""
        self.held.hold(0, BAD, crashes=4)
        await self.rows.write(BAD)
        restored = update(version=1, is_snapshot=True, is_new_era=True)
        self.assertEqual(self.rows.on_table_update(restored), [BAD])
        self.assertEqual(len(self.held), 1)

    async def test_one_node_makes_a_trial(self):
        """Guards against one trial by each node."""
        self.held.hold(0, BAD, crashes=3)
        self.assertTrue(await self.rows.begin_trial(BAD))
        self.assertEqual(self.held.by_part[BAD].trials, 1)
        self.store.is_conflicting = True
        self.assertFalse(await self.rows.begin_trial(BAD))
        self.assertEqual(self.held.by_part[BAD].trials, 1)

    async def test_the_time_until_a_trial_goes_on_while_no_node_runs(self):
        """Guards against a part that is held anew by each restart of all nodes."""
        self.store.time = StoreTime(store_ms=50_000, sent_ms=0, received_ms=0)
        self.held.hold(0, BAD, crashes=3)
        await self.rows.write(BAD)
        ((puts, _),) = self.store.writes
        self.assertIsInstance(self.verdict_of_a_restarted_node(puts, 60_000), Held)
        self.assertEqual(
            self.verdict_of_a_restarted_node(puts, 70_000), PartOnTrial(BAD)
        )

    def verdict_of_a_restarted_node(self, puts, store_ms):
        """Return the verdict at the store's time by a node that has just started."""
        held, store = HeldParts(), _Store()
        store.time = StoreTime(store_ms, sent_ms=0, received_ms=0)
        rows = HeldPartRows(held, clock=ManualClock(0), store=store, table="t")
        rows.on_table_update(update(row(HELD_KEY, puts[HELD_KEY], 1)))
        return held.verdict(0, [BAD])

    def test_a_row_that_does_not_tell_is_provisional(self):
        self.rows.on_table_update(update(row(HELD_KEY, b'{"crashes":3}', 1)))
        self.assertTrue(self.held.by_part[BAD].is_provisional)

    def test_a_row_of_another_writer_holds_nothing(self):
        with self.assertLogs("fireflyward.poison", "ERROR"):
            self.rows.on_table_update(update(row(HELD_KEY, b"[]", 1)))
        self.rows.on_table_update(update(row("poison/zz", b'{"crashes":3}', 2)))
        self.assertEqual(len(self.held), 0)


class SuspectPartRowsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock, self.store = ManualClock(0), _Store()
        self.rows = SuspectPartRows(clock=self.clock, store=self.store, table="t")

    async def test_crashes_of_two_nodes_are_merged(self):
        stored = row(SUSPECT_KEY, b'{"ends":[1,2]}', 1)
        self.assertEqual(self.rows.on_table_update(update(stored)), [BAD])
        self.assertTrue(await self.rows.add(BAD, frozenset((2, 3))))
        ((puts, _),) = self.store.writes
        self.assertEqual(puts[SUSPECT_KEY], b'{"ends":[1,2,3]}')

    def test_crashes_of_a_row_count_for_some_minutes_only(self):
        """Guards against crashes that count anew at each start of all nodes."""
        self.store.time = StoreTime(store_ms=400_000, sent_ms=0, received_ms=0)
        for written_ms, news in ((99_999, []), (100_000, [BAD])):
            value = b'{"ends":[1,2],"written_store_ms":%d}' % written_ms
            rows = SuspectPartRows(clock=self.clock, store=self.store, table="t")
            found = rows.on_table_update(update(row(SUSPECT_KEY, value, 1)))
            self.assertEqual(found, news)

    async def test_known_crashes_are_not_written_again(self):
        self.rows.on_table_update(update(row(SUSPECT_KEY, b'{"ends":[1,2]}', 1)))
        self.assertTrue(await self.rows.add(BAD, frozenset((1, 2))))
        self.assertEqual(self.store.writes, [])

    def test_a_row_deleted_in_the_same_update_is_no_news(self):
        """Guards against a process that exits on a row that is gone again."""
        rows = (
            row(SUSPECT_KEY, b'{"ends":[1,2]}', 1),
            row(SUSPECT_KEY, None, 2),
        )
        self.assertEqual(self.rows.on_table_update(update(*rows)), [])

    async def test_old_rows_are_deleted(self):
        self.rows.on_table_update(update(row(SUSPECT_KEY, b'{"ends":[1]}', 1)))
        self.assertEqual(self.rows.old(300_000), [])
        self.assertEqual(self.rows.old(300_001), [BAD])
        self.assertTrue(await self.rows.delete(BAD))
        self.assertEqual(self.store.writes, [({}, (SUSPECT_KEY,))])
        self.assertEqual(self.rows.ends, {})


if __name__ == "__main__":
    unittest.main()
