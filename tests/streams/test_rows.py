"""The stored list of a service's software versions."""

import asyncio
import dataclasses
import unittest

import msgspec

from fireflyward.backing import Committed, Conflict, Position, Unavailable
from fireflyward.clock import ManualClock
from fireflyward.feeds import (
    RETENTION_MS,
    Changes,
    HistoryLost,
    TableRow,
    TableUpdate,
)
from fireflyward.streams import SoftwareRows, SoftwareVersions, StoredVersions
from fireflyward.streams._versions import STREAM_LIFETIME_MS


class _Store:
    def __init__(self):
        self.writes = []
        self.result = None
        # Answers to reads of changes, by the order of the reads.
        self.changes_read = []
        self.reads = self.ended = 0
        self.after = []

    async def changes(self, table, *, after, wait_ms, limit_ms):
        self.reads += 1
        self.after.append(after)
        answer = self.changes_read[self.reads - 1]
        for _ in range(5):
            await asyncio.sleep(0)
        self.ended += 1
        return answer

    async def write(self, *, table, part, expected, puts, deletes=()):
        self.writes.append((dict(puts), tuple(deletes)))
        if self.result is not None:
            return self.result
        return Committed({key: len(self.writes) for key in puts}, 1)


def update(version, *rows, is_snapshot=False, era=0):
    position = Position(era, version)
    changed = [TableRow(key, value, position, value is None) for key, value in rows]
    return TableUpdate(tuple(changed), is_snapshot, 0, position=position)


def software_rows(
    versions, clock, store, *, is_first, polls=None, has_recent_list=True
):
    """Return rows with the stored versions that they apply reads and writes to."""
    stored = StoredVersions(started_ms=clock.now_ms())
    rows = SoftwareRows(
        versions,
        stored,
        clock=clock,
        store=store,
        table="t",
        node_row="node/n",
        has_recent_list=lambda: has_recent_list,
        place=lambda: 0.0 if is_first() else 1.0,
        on_written=stored.on_written,
        poll_soon=lambda: None if polls is None else polls.append(clock.now_ms()),
    )
    return rows, stored


class _RowFleet:
    """Nodes that read and write the row of a service; each change is read 1 s later."""

    def __init__(self):
        self.clock = ManualClock(0)
        self.writes = []
        self.listed = []
        self.nodes = []
        self._rows = []
        self._value = None

    def start(self, listed, *, is_first=False):
        """Start a node that reads the row, and then the list of replicas."""
        versions = SoftwareVersions()
        rows, _ = software_rows(versions, self.clock, None, is_first=lambda: is_first)
        self.nodes.append(versions)
        self._rows.append(rows)
        self.listed = listed
        if self._value is not None:
            self._read(rows)

    def _read(self, rows):
        rows.on_table_update(update(len(self.writes), ("software/s", self._value)))

    def run_until(self, end_ms):
        while self.clock.now_ms() < end_ms:
            now_ms = self.clock.now_ms()
            due = []
            for versions, rows in zip(self.nodes, self._rows, strict=True):
                versions.on_list(now_ms, {"s": set(self.listed)})
                due += [wanted for _, wanted in rows.due(now_ms)]
            self.clock._now_ms += 1_000
            if due:
                names = sorted(due[0])
                self.writes.append(names)
                encoded = msgspec.json.encode({"versions": names})
                self._value = encoded if names else None
                for rows in self._rows:
                    self._read(rows)


class SoftwareRowsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(0)
        self.versions = SoftwareVersions()
        self.store = _Store()
        self.is_first = True
        self.polls = []
        self.rows, self.stored = software_rows(
            self.versions,
            self.clock,
            self.store,
            is_first=lambda: self.is_first,
            polls=self.polls,
        )

    async def test_a_single_version_is_written_once(self):
        """Guards against a version that nobody knows after a loss of all nodes."""
        self.versions.on_list(0, {"s": {"v1"}})
        self.assertEqual(self.rows.due(0), [("s", {"v1"})])
        await self.rows._write(*self.rows.due(0)[0])
        for now_ms in range(0, 3 * STREAM_LIFETIME_MS, 1_000):
            self.assertEqual(self.rows.due(now_ms), [])
        self.assertEqual((len(self.store.writes), self.polls), (1, []))

    async def test_a_row_that_another_node_wrote_is_read_at_once(self):
        """Guards against a version that is not used for as long as a row is unread."""
        self.versions.on_list(0, {"s": {"v1"}})
        self.store.result = Conflict({"software/s": 9})
        await self.rows._write(*self.rows.due(0)[0])
        self.assertEqual(self.polls, [0])
        # The write is not repeated before the read can have ended.
        self.assertEqual(self.rows.due(900), [])
        self.assertEqual(self.rows.due(1_000), [("s", {"v1"})])

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

    async def test_a_version_goes_once_its_streams_have_ended(self):
        self.versions.on_list(0, {"s": {"v1", "v2"}})
        await self.rows._write(*self.rows.due(0)[0])
        self.versions.on_list(10, {"s": {"v2"}})
        self.assertEqual(self.rows.due(10), [])
        late_ms = 11 + STREAM_LIFETIME_MS
        self.assertEqual(self.rows.due(late_ms), [("s", {"v2"})])
        await self.rows._write("s", frozenset({"v2"}))
        self.assertEqual(self.rows.due(late_ms), [])

    async def test_the_row_goes_with_the_last_version(self):
        self.versions.on_list(0, {"s": {"v1"}})
        await self.rows._write(*self.rows.due(0)[0])
        self.versions.on_list(10, {})
        self.assertEqual(self.rows.due(10), [])
        late_ms = 11 + STREAM_LIFETIME_MS
        self.assertEqual(self.rows.due(late_ms), [("s", frozenset())])
        await self.rows._write("s", frozenset())
        self.assertEqual(self.store.writes[-1], ({}, ("software/s",)))
        deleted = update(9, ("software/s", None), era=1)
        self.rows.on_table_update(deleted)
        self.assertEqual(self.rows.due(late_ms), [])

    def test_a_node_that_starts_learns_versions_from_the_row(self):
        value = msgspec.json.encode({"versions": ["v1", "v2"]})
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.versions.on_list(0, {"s": {"v2"}})
        self.assertEqual(self.versions.recent(0, "s"), {"v1", "v2"})

    def test_a_version_that_left_is_forgotten_though_nodes_start_meanwhile(self):
        """Guards against a version that nodes write again for each other without end.

        The last replica of v1 leaves at 5 s. A node that starts at 25 s reads the row.
        """
        fleet = _RowFleet()
        fleet.start(["v1", "v2"], is_first=True)
        fleet.start(["v1", "v2"])
        fleet.run_until(5_000)
        fleet.listed = ["v2"]
        fleet.run_until(25_000)
        fleet.start(["v2"])
        self.assertEqual(fleet.nodes[-1].recent(25_000, "s"), {"v1", "v2"})
        fleet.run_until(25_000 + 2 * STREAM_LIFETIME_MS)
        for node in fleet.nodes:
            self.assertEqual(node.recent(fleet.clock.now_ms(), "s"), {"v2"})
        self.assertEqual(len(fleet.writes), 2)

    def test_a_node_that_knows_versions_from_the_row_keeps_it(self):
        """Guards against a row that is lost once all nodes have started anew."""
        value = msgspec.json.encode({"versions": ["v1", "v2"]})
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.versions.on_list(0, {"s": {"v2"}})
        self.assertEqual(self.rows.due(STREAM_LIFETIME_MS), [])
        late_ms = STREAM_LIFETIME_MS + 1
        self.assertEqual(self.rows.due(late_ms), [("s", {"v2"})])

    def test_a_node_that_has_just_started_leaves_a_version_beside_usable_ones(self):
        """Guards against a node that reads what another one stored since the start."""
        value = msgspec.json.encode({"versions": ["v1"]})
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.versions.on_list(0, {"s": {"v1", "v2"}})
        self.stored.on_list({"s": {"v1", "v2"}})
        self.assertEqual(self.rows.due(0), [])
        # Without a usable version that is stored, streams would wait.
        self.stored.on_list({"s": {"v2"}})
        self.assertEqual(self.rows.due(10), [("s", {"v1", "v2"})])
        self.stored.on_list({"s": {"v1", "v2"}})
        self.assertEqual(self.rows.due(2_999), [])
        self.assertEqual(self.rows.due(3_000), [("s", {"v1", "v2"})])

    def test_a_row_is_kept_while_the_list_of_replicas_cannot_be_read(self):
        """Guards against a node that deletes what it has not read yet."""
        value = msgspec.json.encode({"versions": ["v1"]})
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.assertEqual(self.rows.due(STREAM_LIFETIME_MS + 1), [])

    def test_a_version_stays_while_the_list_of_replicas_is_old(self):
        """Guards against a node out of step that deletes what others serve."""
        late_ms = 1_001 + STREAM_LIFETIME_MS
        for has_recent_list, due in ((False, []), (True, [("s", {"v1"})])):
            with self.subTest(has_recent_list=has_recent_list):
                versions = SoftwareVersions()
                rows, stored = software_rows(
                    versions,
                    self.clock,
                    self.store,
                    is_first=lambda: True,
                    has_recent_list=has_recent_list,
                )
                versions.on_list(0, {"s": {"v1"}})
                # Another node tells what it has stored.
                versions.on_told(1_000, "s", {"v1", "v2"})
                stored.on_written("s", frozenset({"v1", "v2"}), Position(0, 2))
                self.assertEqual(rows.due(late_ms), due)

    def test_streams_from_before_the_start_may_have_begun_at_stored_versions(self):
        value = msgspec.json.encode({"versions": ["v1"]})
        self.assertIsNone(self.stored.before_start(0, "s"))
        self.rows.on_table_update(update(1, ("software/s", value), is_snapshot=True))
        self.assertEqual(self.stored.before_start(0, "s"), {"v1"})
        late_ms = STREAM_LIFETIME_MS + 1
        self.assertEqual(self.stored.before_start(late_ms, "s"), frozenset())

    def test_a_node_that_ran_before_and_finds_no_row_cannot_say(self):
        """Guards against a lost row that is taken for no streams."""
        self.rows.on_table_update(update(1, ("node/n", b"{}"), is_snapshot=True))
        self.assertIsNone(self.stored.before_start(0, "s"))
        value = msgspec.json.encode({"versions": ["v2"]})
        self.rows.on_table_update(update(2, ("software/s", value), is_snapshot=True))
        self.assertIsNone(self.stored.before_start(0, "s"))
        late_ms = STREAM_LIFETIME_MS + 1
        self.assertEqual(self.stored.before_start(late_ms, "s"), frozenset())

    def test_a_change_that_was_read_late_does_not_undo_a_newer_one(self):
        """Guards against a version that is unused again for a while."""
        value = msgspec.json.encode({"versions": ["v1"]})
        self.rows.on_table_update(update(1, is_snapshot=True))
        self.stored.on_written("s", frozenset({"v1", "v2"}), Position(0, 9))
        self.rows.on_table_update(update(8, ("software/s", value)))
        self.assertEqual(self.stored.of("s"), {"v1", "v2"})

    def test_streams_wait_for_the_first_stored_version_but_not_forever(self):
        """Guards against callers that are rejected for as long as the store is away."""
        self.stored.on_list({"s": {"v1"}})
        self.assertEqual(self.stored.begins_at(0, "s"), frozenset())
        self.assertEqual(self.stored.begins_at(3_999, "s"), frozenset())
        self.assertIsNone(self.stored.begins_at(4_000, "s"))
        self.stored.on_written("s", frozenset({"v1"}), Position(0, 1))
        self.assertIsNone(self.stored.begins_at(5_000, "s"))
        self.stored.on_list({"s": {"v2"}})
        self.assertEqual(self.stored.begins_at(6_000, "s"), frozenset())

    def test_each_wait_for_a_stored_version_counts_from_its_own_begin(self):
        """Guards against unstored streams, as others waited for a version now gone."""
        self.stored.on_list({"s": {"v1"}})
        self.assertIsNotNone(self.stored.begins_at(0, "s"))
        self.assertIsNone(self.stored.begins_at(4_000, "s"))
        self.stored.on_list({})
        self.stored.on_list({"s": {"v2"}})
        self.assertEqual(self.stored.begins_at(60_000, "s"), frozenset())
        self.assertIsNone(self.stored.begins_at(64_000, "s"))

    def test_a_row_of_another_writer_changes_nothing(self):
        with self.assertLogs("fireflyward.streams", "ERROR"):
            self.rows.on_table_update(update(1, ("software/s", b"{}")))
        self.assertEqual(self.versions.recent(0, "s"), frozenset())


class ReadNowTests(unittest.IsolatedAsyncioTestCase):
    """Reads for callers who wait, beside those of the feed."""

    async def asyncSetUp(self):
        self.store = _Store()
        self.clock = ManualClock(0)
        self.rows, self.stored = self.start(SoftwareVersions())
        value = msgspec.json.encode({"versions": ["v1"]})
        self.rows.on_table_update(update(3, ("software/s", value), is_snapshot=True))

    def start(self, versions):
        rows, stored = software_rows(
            versions, self.clock, self.store, is_first=lambda: True
        )
        task = asyncio.create_task(rows.run_reads())
        self.addCleanup(task.cancel)
        return rows, stored

    def changes(self, version, *names, era=0):
        value = msgspec.json.encode({"versions": names})
        position = Position(era, version)
        return Changes((TableRow("software/s", value, position),), position)

    async def test_a_read_continues_at_the_last_update(self):
        self.store.changes_read = [self.changes(9, "v1", "v2")]
        self.assertTrue(await self.rows.read_now())
        self.assertEqual(self.stored.of("s"), {"v1", "v2"})
        self.assertEqual(self.store.after, [Position(0, 3)])

    async def test_a_read_that_was_sent_before_does_not_count(self):
        """Guards against an answer that is older than a caller's stream."""
        first, second = self.changes(8, "v1"), self.changes(9, "v1", "v2")
        self.store.changes_read = [first, second]
        reading = asyncio.create_task(self.rows.read_now())
        await asyncio.sleep(0)
        results = await asyncio.gather(*(self.rows.read_now() for _ in range(20)))
        self.assertEqual((await reading, set(results)), (True, {True}))
        self.assertEqual((self.store.reads, self.stored.of("s")), (2, {"v1", "v2"}))

    async def test_a_caller_that_leaves_does_not_end_a_read(self):
        """Guards against a connection to the store that is never closed."""
        self.store.changes_read = [self.changes(9, "v1", "v2")]
        leaving = asyncio.create_task(self.rows.read_now())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        staying = asyncio.create_task(self.rows.read_now())
        leaving.cancel()
        self.store.changes_read.append(Changes((), Position(0, 9)))
        self.assertTrue(await staying)
        self.assertEqual((self.store.ended, self.store.reads), (2, 2))

    async def test_a_store_that_was_just_restored_proves_nothing(self):
        """Guards against a version whose row is lost until a node writes it again."""
        unchanged = Changes((), Position(1, 4))
        self.store.changes_read = [unchanged, unchanged]
        value = msgspec.json.encode({"versions": ["v1"]})
        restored = update(4, ("software/s", value), is_snapshot=True, era=1)
        self.rows.on_table_update(dataclasses.replace(restored, is_new_era=True))
        self.assertFalse(await self.rows.read_now())
        self.clock._now_ms += RETENTION_MS
        self.assertTrue(await self.rows.read_now())

    async def test_callers_do_not_wait_without_end(self):
        """Guards against callers that wait for a store that does not answer."""
        self.store.changes = lambda *args, **options: asyncio.Event().wait()
        reading = asyncio.create_task(self.rows.read_now())
        await self.clock.advance_ms(1_000)
        self.assertFalse(await reading)

    async def test_reads_that_prove_nothing(self):
        """Guards against rows that the store has lost, and answers that are older."""
        self.store.changes_read = [
            Unavailable("away"),
            HistoryLost(),
            self.changes(9, "v1", era=1),
            Changes((), Position(0, 2)),
        ]
        for _ in range(4):
            self.assertFalse(await self.rows.read_now())
        rows, _ = self.start(SoftwareVersions())
        self.assertFalse(await rows.read_now())
        self.assertEqual(self.store.reads, 4)


if __name__ == "__main__":
    unittest.main()
