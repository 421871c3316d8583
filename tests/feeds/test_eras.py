"""Following a table of a store that was restored from an older snapshot."""

import unittest
from dataclasses import replace

from fireflyward.backing import Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import (
    Changes,
    HistoryLost,
    RestoredRowDetector,
    Snapshot,
    TableRow,
    TableUpdate,
)
from fireflyward.feeds._cached_table import CachedTable
from tests.positions import at

from .nodes import Node, Store
from .test_follower import FollowerTests


def row(value, version, era, *, key="k"):
    return TableRow(key, value, at(version, era))


class FollowerEraTests(unittest.IsolatedAsyncioTestCase):
    follow = FollowerTests.follow

    async def read(self, *answers):
        """Follow the table through all answers; return the last update."""
        follower = self.follow(*answers)
        for _ in answers:
            await follower.step()
        return self.updates[-1]

    async def test_restored_table_below_the_cursor_is_accepted(self):
        """Guards against seven seconds without updates, until the versions catch up."""
        update = await self.read(
            Snapshot((), at(90, 1)),
            HistoryLost(),
            Snapshot((row(b"1", 7, 2),), at(7, 2)),
        )
        self.assertTrue(update.is_new_era)
        self.assertEqual(update.position, at(7, 2))

    async def test_changes_of_another_era_lead_to_a_full_read(self):
        """Guards against a cursor whose version was assigned again."""
        change = row(b"2", 91, 2)
        update = await self.read(
            Snapshot((), at(90, 1)),
            Changes((change,), at(91, 2)),
            Snapshot((change,), at(91, 2)),
        )
        self.assertEqual(self.reader.calls, ["rows", at(90, 1), "rows"])
        self.assertEqual((len(self.updates), update.is_new_era), (2, True))

    async def test_reading_continues_from_the_cursor_of_the_new_era(self):
        await self.read(
            Snapshot((), at(90, 1)),
            HistoryLost(),
            Snapshot((), at(7, 2)),
            Changes((), at(8, 2)),
        )
        self.assertEqual(self.reader.calls[-1], at(7, 2))
        self.assertFalse(self.updates[-1].is_new_era)

    async def test_late_answer_of_an_earlier_era_is_rejected(self):
        """Guards against rows of before a restore that arrive after it."""
        follower = self.follow(
            Snapshot((), at(7, 2)), Changes((row(b"1", 99, 1),), at(99, 1))
        )
        await follower.step()
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            self.assertFalse(await follower.step())
        self.assertEqual(len(self.updates), 1)

    async def test_full_read_after_lost_history_follows_without_a_pause(self):
        """Guards against a retry pause after the store's first answer."""
        answers = [Unavailable("x")] * 4
        follower = self.follow(
            Snapshot((), at(4, 1)), *answers, HistoryLost(), answers[0]
        )
        follower._pace = lambda: type("Pace", (), {"wait_ms": 0, "pause_ms": 6_000})
        await follower.step()
        self.assertEqual(follower.pause_ms, 6_000)
        for _ in answers:
            await follower.step()
        self.assertEqual(follower.pause_ms, 800)
        await follower.step()
        self.assertEqual(follower.pause_ms, 0)
        await follower.step()
        self.assertEqual(follower.pause_ms, 800)

    async def test_first_observed_era_is_not_a_new_era(self):
        update = await self.read(Snapshot((), at(4, 3)))
        self.assertFalse(update.is_new_era)

    async def test_first_era_after_answers_without_an_era_is_a_new_era(self):
        update = await self.read(Snapshot((), at(9)), Snapshot((), at(4, 1)))
        self.assertTrue(update.is_new_era)


class RestoredRowDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = RestoredRowDetector()
        self.detector.mark([row(b"1", 5, 1)])
        self.detector.record([row(b"2", 8, 1)])

    def is_restored(self, *fields):
        (marked,) = self.detector.mark([row(*fields)])
        return marked.is_restored

    def test_any_earlier_row_of_the_key_counts_as_restored(self):
        self.assertTrue(self.is_restored(b"1", 5, 2))
        self.assertTrue(self.is_restored(b"2", 8, 2))

    def test_other_row_with_the_same_version_is_new(self):
        self.assertFalse(self.is_restored(b"3", 8, 2))

    def test_same_value_with_another_version_is_new(self):
        self.assertFalse(self.is_restored(b"2", 6, 2))

    def test_restored_row_stays_restored_when_it_is_read_again(self):
        """Guards against a second full read in an era that treats the row as new."""
        self.is_restored(b"1", 5, 2)
        self.assertTrue(self.is_restored(b"1", 5, 2))

    def test_row_from_two_eras_before_is_recognized(self):
        self.is_restored(b"4", 6, 2)
        self.assertTrue(self.is_restored(b"1", 5, 3))
        self.assertTrue(self.is_restored(b"4", 6, 3))

    def test_change_with_the_same_version_as_before_is_new(self):
        """Guards against a row that is written again but always counts as restored."""
        self.detector.record([row(b"2", 8, 2)])
        self.assertFalse(self.is_restored(b"2", 8, 2))
        self.assertTrue(self.is_restored(b"2", 8, 3))

    def test_no_row_is_restored_within_an_era(self):
        self.assertFalse(self.is_restored(b"2", 8, 1))


class SharedEraTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.store = Store(self.clock)
        self.store.version = 50
        self.store.put("k", b"1")
        domains = {f"n{i}": "a" for i in range(14)}
        network = {}
        for name in domains:
            network[name] = Node(name, network, self.store, self.clock, domains)
        nodes = list(network.values())
        (self.first,) = [node for node in nodes if node.tables.serves_other_nodes]
        self.other = next(node for node in nodes if node is not self.first)

    def restore(self):
        self.store.era += 1
        self.store.version = 20
        self.store.put("k", b"2")

    async def step_both(self):
        for node in (self.first, self.other):
            await node.follower.step()

    async def test_node_follows_its_aggregator_into_a_new_era(self):
        await self.step_both()
        self.restore()
        for node in (self.first, self.first, self.other, self.other):
            await node.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})
        self.assertTrue(self.other.updates[-1].is_new_era)

    async def test_aggregator_of_an_earlier_era_is_not_used(self):
        """Guards against a cached table from before the restore."""
        await self.step_both()
        self.restore()
        self.other.tables._era = lambda: self.store.era
        self.other.follower._needs_full_read = True
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})
        self.assertEqual(self.other.updates[-1].position.era, self.store.era)

    async def test_cursor_of_a_later_era_gets_no_answer_of_an_earlier_era(self):
        await self.step_both()
        self.restore()
        self.other.follower._position = self.store.position
        self.store.put("l", b"3")
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"1", "l": b"3"})


class RetainedRowsTests(unittest.TestCase):
    """Rows that starting nodes receive before operators have written them again."""

    def setUp(self):
        self.cached = CachedTable(retains_rows=True)
        self.apply(row(b"old", 5, 1), row(b"gone", 6, 1, key="l"), at=at(6, 1))
        self.apply(row(b"new", 8, 1), at=at(8, 1), is_snapshot=False)
        self.apply(deleted("l", 9), at=at(9, 1), is_snapshot=False)

    def apply(self, *rows, at, is_snapshot=True, as_of_ms=0, is_new_era=False):
        update = TableUpdate(
            rows, is_snapshot, as_of_ms, position=at, is_new_era=is_new_era
        )
        self.cached.apply(update)

    @property
    def values(self):
        return [row.value for row in self.cached.all_rows()]

    def restore(self, *rows):
        self.apply(*rows, at=at(6, 2), is_new_era=True)

    def test_rows_that_are_not_written_again_are_retained_for_a_limited_time(self):
        """Guards against a row that is still sent after its removal in the new era."""
        self.restore()
        self.apply(at=at(7, 2), is_snapshot=False, as_of_ms=9_999)
        self.assertEqual(self.values, [b"new"])
        self.apply(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [])

    def restored(self, *fields, **options):
        return replace(row(*fields, **options), is_restored=True)

    def test_unchanged_row_of_the_restored_store_stays(self):
        """Guards against an old configuration row that is no longer sent."""
        self.restore(self.restored(b"new", 5, 2))
        self.assertEqual(self.cached.rows_of_earlier_eras(), ())
        self.apply(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [b"new"])

    def test_older_restored_row_is_used_if_no_writer_repeats_the_newer_one(self):
        self.restore(self.restored(b"old", 5, 2))
        self.assertEqual(self.values, [b"new"])
        self.apply(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [b"old"])

    def test_restored_rows_replace_no_newer_retained_rows(self):
        """Guards against a withdrawn key at a node that starts after a restore."""
        restored = [row(b"old", 5, 2), row(b"gone", 6, 2, key="l")]
        self.restore(*(replace(item, is_restored=True) for item in restored))
        self.assertEqual(self.values, [b"new"])

    def test_deletion_that_is_not_repeated_expires(self):
        self.restore(self.restored(b"gone", 6, 2, key="l"), self.restored(b"new", 8, 2))
        self.assertEqual(self.values, [b"new"])
        self.apply(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(sorted(self.values), [b"gone", b"new"])

    def test_rows_that_the_restored_store_lacks_are_retained(self):
        self.restore()
        self.restore()
        self.assertEqual(self.values, [b"new"])

    def test_row_that_is_written_again_replaces_the_retained_row(self):
        self.restore()
        self.apply(row(b"again", 7, 2), at=at(7, 2), is_snapshot=False)
        self.assertEqual(self.values, [b"again"])

    def test_full_read_in_the_same_era_drops_missing_rows(self):
        self.apply(at=at(20, 1))
        self.assertEqual(self.values, [])

    def test_tables_without_retention_retain_no_rows(self):
        self.cached._retains_rows = False
        self.restore()
        self.assertEqual(self.values, [])


def deleted(key, version):
    return TableRow(key, b"", at(version, 1), is_deleted=True)
