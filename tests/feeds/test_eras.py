"""Following a table of a store that comes back from an older copy."""

import unittest
from dataclasses import replace

from fireflyward.backing import Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import (
    Changes,
    HistoryLost,
    SeenRows,
    Snapshot,
    TableRow,
    TableUpdate,
)
from fireflyward.feeds._cached_table import TableCopy
from tests.positions import at

from .nodes import Node, Store
from .test_follower import FollowerTests


def row(value, version, era, *, key="k"):
    return TableRow(key, value, at(version, era))


class FollowerEraTests(unittest.IsolatedAsyncioTestCase):
    follow = FollowerTests.follow

    async def read(self, *answers):
        """Follow through all answers; return the last news."""
        follower = self.follow(*answers)
        for _ in answers:
            await follower.step()
        return self.news[-1]

    async def test_a_copy_below_the_cursor_is_taken(self):
        """Guards against seven seconds without news, until versions catch up."""
        news = await self.read(
            Snapshot((), at(90, 1)),
            HistoryLost(),
            Snapshot((row(b"1", 7, 2),), at(7, 2)),
        )
        self.assertTrue(news.is_new_era)
        self.assertEqual(news.position, at(7, 2))

    async def test_changes_of_another_era_are_not_all_that_changed(self):
        """Guards against a cursor whose version was given out again."""
        change = row(b"2", 91, 2)
        news = await self.read(
            Snapshot((), at(90, 1)),
            Changes((change,), at(91, 2)),
            Snapshot((change,), at(91, 2)),
        )
        self.assertEqual(self.reader.asked, ["rows", at(90, 1), "rows"])
        self.assertEqual((len(self.news), news.is_new_era), (2, True))

    async def test_the_cursor_of_a_new_era_is_read_on_from(self):
        await self.read(
            Snapshot((), at(90, 1)),
            HistoryLost(),
            Snapshot((), at(7, 2)),
            Changes((), at(8, 2)),
        )
        self.assertEqual(self.reader.asked[-1], at(7, 2))
        self.assertFalse(self.news[-1].is_new_era)

    async def test_a_late_answer_of_an_earlier_era_is_not_taken(self):
        """Guards against news of before a drill that come after it."""
        follower = self.follow(
            Snapshot((), at(7, 2)), Changes((row(b"1", 99, 1),), at(99, 1))
        )
        await follower.step()
        with self.assertLogs("fireflyward.feeds", "WARNING"):
            self.assertFalse(await follower.step())
        self.assertEqual(len(self.news), 1)

    async def test_a_table_that_is_to_be_read_anew_is_so_without_a_pause(self):
        """Guards against a pause of failed calls after the store's first answer."""
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

    async def test_the_first_era_that_is_seen_is_no_new_one(self):
        news = await self.read(Snapshot((), at(4, 3)))
        self.assertFalse(news.is_new_era)

    async def test_an_era_after_answers_that_told_none_is_a_new_one(self):
        news = await self.read(Snapshot((), at(9)), Snapshot((), at(4, 1)))
        self.assertTrue(news.is_new_era)


class SeenRowsTests(unittest.TestCase):
    def setUp(self):
        self.seen = SeenRows()
        self.seen.marked([row(b"1", 5, 1)])
        self.seen.note([row(b"2", 8, 1)])

    def is_restored(self, *found):
        (marked,) = self.seen.marked([row(*found)])
        return marked.is_restored

    def test_any_former_row_of_the_key_is_one_of_the_copy(self):
        self.assertTrue(self.is_restored(b"1", 5, 2))
        self.assertTrue(self.is_restored(b"2", 8, 2))

    def test_a_row_with_a_version_given_out_again_is_news(self):
        self.assertFalse(self.is_restored(b"3", 8, 2))

    def test_a_row_that_was_written_again_is_news(self):
        self.assertFalse(self.is_restored(b"2", 6, 2))

    def test_a_row_of_the_copy_stays_one_when_it_is_read_again(self):
        """Guards against a second reading of the same era that takes it for news."""
        self.is_restored(b"1", 5, 2)
        self.assertTrue(self.is_restored(b"1", 5, 2))

    def test_a_row_is_known_from_two_eras_before(self):
        self.is_restored(b"4", 6, 2)
        self.assertTrue(self.is_restored(b"1", 5, 3))
        self.assertTrue(self.is_restored(b"4", 6, 3))

    def test_a_change_that_is_given_its_version_again_is_news(self):
        """Guards against what is written again and taken for the copy's for good."""
        self.seen.note([row(b"2", 8, 2)])
        self.assertFalse(self.is_restored(b"2", 8, 2))
        self.assertTrue(self.is_restored(b"2", 8, 3))

    def test_within_an_era_nothing_is_of_a_copy(self):
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

    def come_back(self):
        self.store.era += 1
        self.store.version = 20
        self.store.put("k", b"2")

    async def begin(self):
        for node in (self.first, self.other):
            await node.follower.step()

    async def test_a_node_follows_its_aggregator_into_a_new_era(self):
        await self.begin()
        self.come_back()
        for node in (self.first, self.first, self.other, self.other):
            await node.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})
        self.assertTrue(self.other.news[-1].is_new_era)

    async def test_an_aggregator_that_is_behind_an_era_is_passed_over(self):
        """Guards against a copy between nodes that is from before the drill."""
        await self.begin()
        self.come_back()
        self.other.tables._era = lambda: self.store.era
        self.other.follower._needs_whole = True
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})
        self.assertEqual(self.other.news[-1].position.era, self.store.era)

    async def test_a_cursor_of_a_later_era_is_not_answered_from_an_earlier_one(self):
        await self.begin()
        self.come_back()
        self.other.follower._position = self.store.position
        self.store.put("l", b"3")
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"1", "l": b"3"})


class CarriedRowsTests(unittest.TestCase):
    """What nodes that start are told while operators have not written again."""

    def setUp(self):
        self.copy = TableCopy(retains_rows=True)
        self.take(row(b"old", 5, 1), row(b"gone", 6, 1, key="l"), at=at(6, 1))
        self.take(row(b"new", 8, 1), at=at(8, 1), is_snapshot=False)
        self.take(deleted("l", 9), at=at(9, 1), is_snapshot=False)

    def take(self, *rows, at, is_snapshot=True, as_of_ms=0, is_new_era=False):
        news = TableUpdate(
            rows, is_snapshot, as_of_ms, position=at, is_new_era=is_new_era
        )
        self.copy.take(news)

    @property
    def values(self):
        return [row.value for row in self.copy.whole()]

    def come_back(self, *rows):
        self.take(*rows, at=at(6, 2), is_new_era=True)

    def test_rows_that_nobody_writes_again_hold_for_so_long(self):
        """Guards against news of a row that was removed in the new era."""
        self.come_back()
        self.take(at=at(7, 2), is_snapshot=False, as_of_ms=9_999)
        self.assertEqual(self.values, [b"new"])
        self.take(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [])

    def copied(self, *found, **options):
        return replace(row(*found, **options), is_restored=True)

    def test_a_row_that_the_copy_has_as_it_was_known_stays(self):
        """Guards against a configuration of long ago that nobody is told any more."""
        self.come_back(self.copied(b"new", 5, 2))
        self.assertEqual(self.copy.of_earlier_eras(), ())
        self.take(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [b"new"])

    def test_an_older_row_of_the_copy_counts_if_nobody_writes_again(self):
        self.come_back(self.copied(b"old", 5, 2))
        self.assertEqual(self.values, [b"new"])
        self.take(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(self.values, [b"old"])

    def test_rows_of_the_copy_replace_nothing_that_is_known(self):
        """Guards against a withdrawn key at a node that starts after a drill."""
        copied = [row(b"old", 5, 2), row(b"gone", 6, 2, key="l")]
        self.come_back(*(replace(item, is_restored=True) for item in copied))
        self.assertEqual(self.values, [b"new"])

    def test_a_deletion_that_nobody_repeats_does_not_count_for_good(self):
        self.come_back(self.copied(b"gone", 6, 2, key="l"), self.copied(b"new", 8, 2))
        self.assertEqual(self.values, [b"new"])
        self.take(at=at(8, 2), is_snapshot=False, as_of_ms=10_000)
        self.assertEqual(sorted(self.values), [b"gone", b"new"])

    def test_rows_that_the_copy_lacks_hold(self):
        self.come_back()
        self.come_back()
        self.assertEqual(self.values, [b"new"])

    def test_what_is_written_again_replaces_them(self):
        self.come_back()
        self.take(row(b"again", 7, 2), at=at(7, 2), is_snapshot=False)
        self.assertEqual(self.values, [b"again"])

    def test_a_whole_table_of_the_same_era_drops_what_it_lacks(self):
        self.take(at=at(20, 1))
        self.assertEqual(self.values, [])

    def test_other_tables_carry_nothing(self):
        self.copy._carries = False
        self.come_back()
        self.assertEqual(self.values, [])


def deleted(key, version):
    return TableRow(key, b"", at(version, 1), is_deleted=True)
