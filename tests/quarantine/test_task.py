"""The quarantine task: cuts, announcements and the table."""

import asyncio
import json
import unittest

import msgspec

from fireflyward.clock import ManualClock
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.quarantine import Free, Held, Quarantine, SuspectRow, Trial
from fireflyward.replicas import ReplicaDirectory
from tests.positions import at
from tests.replicas.makers import entry

from .fakes import FakeLink, FakePool, FakeTable

NAMES = [f"r{number}" for number in range(8)]
_MAX_WAIT_MS = 1_000
_STEP_MS = 5


class _Node:
    """The quarantine of one node, with fakes of everything it uses."""

    def __init__(self, name, table):
        self.clock = ManualClock(1_000)
        self.pool = FakePool()
        self.directory = ReplicaDirectory()
        self.directory.on_full_read(0, [entry(name) for name in NAMES])
        self.table = table
        self.polls = 0
        self.link = FakeLink()
        self.quarantine = Quarantine(
            clock=self.clock,
            pool=self.pool,
            directory=self.directory,
            store=table,
            table="nodes",
            node=name,
            peer_addresses=lambda: [("10.0.0.2", 1)],
            poll_soon=self._poll,
        )
        self.quarantine.use(self.link)
        self.running = asyncio.create_task(self.quarantine.run())

    def _poll(self):
        self.polls += 1

    def read_table(self):
        self.quarantine.on_table_update(self.table.full_read())

    async def cut(self, replica, *fingerprints, refused=True):
        state = self.directory.find(replica)
        if refused:
            self.pool.refused.add(state.entry.address)
        for fingerprint in fingerprints:
            self.quarantine.on_cut(fingerprint, state, is_late=False)
        await self.settle()

    async def settle(self):
        await self.clock.advance_ms(5)

    async def admit(self, fingerprint):
        """Return the decision, at the latest after the longest wait for a trial."""
        admission = asyncio.create_task(self.quarantine.admit(fingerprint))
        for _ in range(_MAX_WAIT_MS // _STEP_MS):
            await self.clock.advance_ms(_STEP_MS)
            if admission.done():
                break
        return admission.result()

    async def stop(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


class QuarantineTestCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes with the same table and the same replicas."""

    async def asyncSetUp(self):
        self.table = FakeTable()
        self.nodes = [_Node("n1", self.table), _Node("n2", self.table)]
        self.node = self.nodes[0]

    async def asyncTearDown(self):
        for node in self.nodes:
            await node.stop()

    async def crash_three(self, *fingerprints):
        for name in NAMES[:3]:
            await self.node.cut(name, *fingerprints)


class QuarantineTests(QuarantineTestCase):
    async def test_three_crashes_hold_a_request_on_all_nodes(self):
        await self.crash_three("deadly")
        self.assertIsInstance(await self.node.admit("deadly"), Held)
        other = self.nodes[1]
        self.assertEqual(await other.admit("deadly"), Free())
        await self.node.link.deliver_to(other.link)
        self.assertIsInstance(await other.admit("deadly"), Held)

    async def test_the_table_alone_holds_a_request(self):
        await self.crash_three("deadly")
        other = self.nodes[1]
        other.read_table()
        self.assertIsInstance(await other.admit("deadly"), Held)

    async def test_a_replica_that_still_listens_has_not_crashed(self):
        for name in NAMES[:4]:
            await self.node.cut(name, "a", refused=False)
        self.assertEqual(await self.node.admit("a"), Free())
        self.assertEqual(self.node.quarantine.cut, 0)

    async def test_a_silent_replica_has_crashed_once_its_entry_is_removed(self):
        """Guards against taking a network fault for a crash.

        Until the entry is removed, the two cannot be distinguished.
        """
        for name in NAMES[:3]:
            state = self.node.directory.find(name)
            self.node.pool.silent.add(state.entry.address)
            await self.node.cut(name, "a", refused=False)
            self.assertEqual(self.node.quarantine.held, 0)
        for name in NAMES[:3]:
            (gone,) = self.node.directory.on_changes(0, [], [name])
            self.node.quarantine.on_removed(gone)
        self.assertIsInstance(await self.node.admit("a"), Held)

    async def test_a_late_answer_opens_no_connection(self):
        state = self.node.directory.find("r1")
        self.node.quarantine.on_cut("a", state, is_late=True)
        await self.node.settle()
        self.assertEqual(self.node.pool.opened, [])

    async def test_many_cuts_at_one_replica_open_one_connection(self):
        await self.node.cut("r1", *(f"f{number}" for number in range(40)))
        self.assertEqual(len(self.node.pool.opened), 1)

    async def test_the_announcement_of_a_crash_is_resent(self):
        await self.node.cut("r1", "a")
        await self.node.clock.advance_ms(2_000)
        self.assertEqual(len(self.node.link.sent), 3)

    async def test_a_crash_makes_the_node_read_the_table_soon(self):
        await self.node.cut("r1", "a")
        self.assertEqual(self.node.polls, 1)

    async def test_only_one_request_is_on_trial(self):
        """Guards against a harmless request that seems to crash replicas.

        The harmless request was on trial at the same time as the request that does
        crash them.
        """
        await self.crash_three("deadly", "beside")
        other = self.nodes[1]
        other.read_table()
        trial = await self.node.admit("beside")
        self.assertIsInstance(trial, Trial)
        other.read_table()
        self.assertIsInstance(await other.admit("deadly"), Held)

    async def test_after_the_end_of_a_trial_another_may_begin(self):
        await self.crash_three("deadly", "beside")
        trial = await self.node.admit("beside")
        self.node.quarantine.on_answered("beside")
        self.node.quarantine.end_trial(trial, was_sent=True, begun_at=None)
        await self.node.settle()
        self.assertEqual(await self.node.admit("beside"), Free())
        other = self.nodes[1]
        other.read_table()
        self.assertEqual(await other.admit("beside"), Free())
        self.assertNotIn("suspect/beside", self.table.row_by_key)
        self.assertNotIn("trial", self.table.row_by_key)

    async def test_a_trial_whose_caller_disconnects_may_be_repeated(self):
        await self.crash_three("deadly", "beside")
        replica = self.node.directory.find("r7")
        for _ in range(4):
            trial = await self.node.admit("beside")
            self.assertIsInstance(trial, Trial)
            self.node.quarantine.end_trial(trial, was_sent=True, begun_at=replica)
            await self.node.settle()

    async def test_a_trial_that_was_not_sent_does_not_count(self):
        """Guards against holding a harmless request for an hour without a trial.

        Replicas were busy, and for this reason the request was rejected in both of its
        trials.
        """
        await self.crash_three("deadly", "beside")
        for _ in range(4):
            trial = await self.node.admit("beside")
            self.assertIsInstance(trial, Trial)
            self.node.quarantine.end_trial(trial, was_sent=False, begun_at=None)
            await self.node.settle()

    async def test_trials_that_may_not_have_begun_count(self):
        """Guards against unlimited trials of a request that crashes replicas.

        The request waits in queues, and its callers disconnect and repeat it.
        """
        await self.crash_three("deadly", "beside")
        for _ in range(2):
            trial = await self.node.admit("deadly")
            self.assertIsInstance(trial, Trial)
            self.node.quarantine.end_trial(trial, was_sent=True, begun_at=None)
            await self.node.settle()
        self.assertIsInstance(await self.node.admit("deadly"), Held)

    async def test_a_trial_whose_node_crashed_expires(self):
        await self.crash_three("deadly", "beside")
        await self.node.admit("beside")
        other = self.nodes[1]
        other.read_table()
        await other.clock.advance_ms(30_000)
        self.assertIsInstance(await other.admit("deadly"), Trial)

    async def test_without_the_table_no_request_is_on_trial(self):
        await self.crash_three("deadly", "beside")
        self.table.is_unavailable = True
        self.assertIsInstance(await self.node.admit("beside"), Held)

    async def test_a_row_that_was_not_written_is_written_later(self):
        self.table.is_unavailable = True
        await self.crash_three("deadly")
        self.assertEqual(self.table.row_by_key, {})
        self.table.is_unavailable = False
        await self.node.clock.advance_ms(1_000)
        self.assertIn("suspect/deadly", self.table.row_by_key)

    async def test_crashes_from_two_nodes_that_write_at_once_add_up(self):
        other = self.nodes[1]
        await self.node.cut("r1", "a")
        await other.cut("r3", "a")
        await self.node.cut("r2", "a")
        await other.cut("r4", "a")
        other.read_table()
        await other.clock.advance_ms(1_000)
        self.node.read_table()
        self.assertIsInstance(await self.node.admit("a"), Held)
        self.assertIsInstance(await other.admit("a"), Held)

    async def test_an_answer_is_announced_to_other_nodes(self):
        await self.crash_three("a")
        await self.node.link.deliver_to(self.nodes[1].link)
        self.node.quarantine.on_answered("a")
        await self.node.link.deliver_to(self.nodes[1].link)
        self.assertEqual(await self.nodes[1].admit("a"), Free())

    async def test_a_table_read_before_a_row_was_written_clears_nothing(self):
        """Guards against sending a request again just after it was held."""
        before = self.table.full_read()
        await self.crash_three("deadly")
        self.assertIn("suspect/deadly", self.table.row_by_key)
        self.node.quarantine.on_table_update(before)
        self.assertIsInstance(await self.node.admit("deadly"), Held)

    async def test_a_removed_row_clears_the_request(self):
        await self.crash_three("a")
        self.nodes[1].read_table()
        self.table.row_by_key.clear()
        self.table.version += 1
        self.nodes[1].read_table()
        self.assertEqual(await self.nodes[1].admit("a"), Free())

    async def test_a_write_result_after_a_newer_update_does_not_undo_it(self):
        """Guards against a third crash of a request that is never written.

        Another node wrote the row in between, and each further write of this node
        expected the version that it had written itself.
        """
        other = self.nodes[1]
        await self.node.cut("r1", "a")
        await other.cut("r2", "a")
        await self.node.link.deliver_to(other.link)
        await other.link.deliver_to(self.node.link)

        def overtake():
            self.table.after_write = lambda: None
            key, row = "suspect/a", self.table.row_by_key["suspect/a"]
            self.table.version += 1
            newer = TableRow(key, row.value, self.table.position)
            self.table.row_by_key[key] = newer
            self.node.read_table()

        self.table.after_write = overtake
        await self.node.cut("r3", "a")
        await self.node.cut("r4", "a")
        kept = json.loads(self.table.row_by_key["suspect/a"].value)
        self.assertEqual(len(kept["ends"]), 4)

    async def test_rows_that_arrive_late_change_nothing(self):
        """Guards against a third trial of a request that was tried twice."""
        for version, trials in ((5, 2), (3, 0)):
            row = SuspectRow((1, 2, 3), trials)
            rows = (TableRow("suspect/a", msgspec.json.encode(row), at(version)),)
            self.node.quarantine.on_table_update(
                TableUpdate(rows, False, 0, position=at(version))
            )
        self.node.quarantine.on_table_update(
            TableUpdate(
                (TableRow("suspect/b", b'{"ends": [1, 2, 3]}', at(6)),),
                False,
                0,
                position=at(6),
            )
        )
        held = await self.node.admit("a")
        self.assertEqual(held.detail, "3 replicas ended under it")

    async def test_a_leaving_replica_that_stops_has_not_crashed(self):
        for name in NAMES[:3]:
            leaving = entry(name, leaving=True)
            self.node.directory.on_changes(0, [leaving], [])
            await self.node.cut(name, "a")
        self.assertEqual(await self.node.admit("a"), Free())

    async def test_a_replica_that_announced_its_leaving_has_not_crashed(self):
        """Guards against counting planned stops as crashes by an outdated list."""
        directory = self.node.directory
        for name in NAMES[:3]:
            await self.node.cut(name, "a", refused=False)
            directory.on_leaving(directory.find(name))
            await self.node.cut(name, "b")
            (gone,) = directory.on_changes(0, [], [name])
            self.node.quarantine.on_removed(gone)
        self.assertEqual(await self.node.admit("a"), Free())
        self.assertEqual(await self.node.admit("b"), Free())

    async def test_a_replica_that_leaves_after_a_cut_has_not_crashed(self):
        """A deadline passed or a connection broke, and the replica went on serving."""
        for name in NAMES[:3]:
            await self.node.cut(name, "a", refused=False)
            leaving = entry(name, leaving=True)
            self.node.directory.on_changes(0, [leaving], [])
            (gone,) = self.node.directory.on_changes(0, [], [name])
            self.node.quarantine.on_removed(gone)
        self.assertEqual(await self.node.admit("a"), Free())

    async def test_rows_of_another_writer_hold_no_request(self):
        await self.table.write(
            table="", part="", expected={}, puts={"suspect/a": b"{", "x": b"y"}
        )
        self.node.read_table()
        self.assertEqual(await self.node.admit("a"), Free())
