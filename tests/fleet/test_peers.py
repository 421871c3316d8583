"""The registry of nodes: listed nodes, written rows, and the order for a duty."""

import unittest

import msgspec

from fireflyward.backing import Committed
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.fleet._peers import NodeRegistry, NodeRow
from tests.positions import at

KEY = TableRow("key", b"k" * 32, at(1))


def listed(name, row, version=2):
    return TableRow(f"node/{name}", msgspec.json.encode(row), at(version))


class _Store:
    """A store that accepts and records every write."""

    def __init__(self):
        self.writes = []

    async def write(self, *, table, part, expected, puts, deletes=()):
        self.writes.append((expected, puts))
        return Committed(dict.fromkeys(puts, 9))


def make_registry(name, rows, *, own=None, store=None):
    registry = NodeRegistry(store or _Store(), name)
    if own is not None:
        registry.set_own_row(own)
    registry.on_table_update(TableUpdate(tuple(rows), True, 0))
    return registry


class DutyOrderTests(unittest.TestCase):
    def first(self, rows, count):
        table = [KEY, *(listed(name, row) for name, row in rows.items())]
        return [
            name
            for name, row in rows.items()
            if make_registry(name, table, own=row).is_among_first(count, "duty")
        ]

    def test_all_nodes_agree(self):
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(9)}
        self.assertEqual(len(self.first(rows, 3)), 3)

    def test_the_fastest_links_come_first(self):
        """Guards against orders to load weights that time out at the sending node.

        The node's link had 10 Mbit/s, a twentieth of another node's.
        """
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 10) for i in range(9)}
        rows |= {f"w{i}": NodeRow("10.0.0.2", i, "a", 200) for i in range(2)}
        self.assertLessEqual({"w0", "w1"}, set(self.first(rows, 3)))


class WritingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = _Store()
        self.own = NodeRow("10.0.0.1", 7, "a", 100)

    async def test_a_new_node_writes_its_row_and_nothing_else(self):
        registry = make_registry("n0", [KEY], own=self.own, store=self.store)
        await registry.write_missing(0)
        (expected, puts), *others = self.store.writes
        self.assertEqual((expected, others), ({"node/n0": at(0)}, []))
        self.assertEqual(msgspec.json.decode(puts["node/n0"], type=NodeRow), self.own)

    async def test_a_written_row_is_not_written_again_before_it_appears(self):
        """Guards against a starting fleet whose nodes all write their rows twice.

        The next read of a node was older than its write, so its row seemed to be
        missing.
        """
        registry = make_registry("n0", [KEY], own=self.own, store=self.store)
        for now_ms in (0, 300, 1_999):
            await registry.write_missing(now_ms)
        self.assertEqual(len(self.store.writes), 1)
        await registry.write_missing(2_000)
        self.assertEqual(len(self.store.writes), 2)

    async def test_a_restarted_node_writes_nothing(self):
        table = [KEY, listed("n0", self.own)]
        registry = make_registry("n0", table, own=self.own, store=self.store)
        await registry.write_missing(0)
        self.assertEqual(self.store.writes, [])
        self.assertTrue(registry.is_complete)

    async def test_one_of_the_nodes_that_start_together_creates_the_key(self):
        """Guards against a first start of 195 nodes that keeps the store busy for 2 s.

        Each node wrote a key, and the store handles writes to one part sequentially.
        """
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(9)}
        table = [listed(name, row) for name, row in rows.items()]
        for name, row in rows.items():
            registry = make_registry(name, table, own=row, store=self.store)
            await registry.write_missing(0)
        keys = [puts for _, puts in self.store.writes if "key" in puts]
        self.assertEqual(len(keys), 1)

    async def test_the_others_create_a_key_if_the_first_does_not(self):
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(3)}
        table = [listed(name, row) for name, row in rows.items()]
        for name, row in rows.items():
            registry = make_registry(name, table, own=row, store=self.store)
            await registry.write_missing(0)
            await registry.write_missing(1_500)
        keys = [puts for _, puts in self.store.writes if "key" in puts]
        self.assertEqual(len(keys), len(rows))


class EndedRowTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = _Store()
        self.own = NodeRow("10.0.0.1", 7, "a", 100)
        other = NodeRow("10.0.0.2", 7, "a", 100)
        table = [KEY, listed("n0", self.own), listed("n1", other, version=5)]
        self.registry = make_registry("n0", table, own=self.own, store=self.store)

    async def test_a_row_ends_only_as_it_was_read(self):
        """Guards against a node that is deleted just after it wrote its row again."""
        self.assertTrue(await self.registry.end_rows(["n1"]))
        ((expected, puts),) = self.store.writes
        self.assertEqual((expected, puts), ({"node/n1": at(5)}, {}))

    async def test_a_node_whose_row_ended_writes_it_again(self):
        """Guards against a node without a part of any budget after a short cut."""
        ended = TableRow("node/n0", b"", at(6), is_deleted=True)
        self.registry.on_table_update(TableUpdate((ended,), False, 0))
        self.assertFalse(self.registry.is_complete)
        await self.registry.write_missing(10_000)
        ((expected, puts),) = self.store.writes
        self.assertEqual(expected, {"node/n0": at(0)})
        self.assertEqual(msgspec.json.decode(puts["node/n0"], type=NodeRow), self.own)


class MalformedRowTests(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_rows_are_ignored(self):
        """Guards against processes that all exit repeatedly.

        A row of the table of nodes could not be decoded. This raised an exception in a
        task without which a process exits.
        """
        rows = {"n1": NodeRow("10.0.0.1", 1, "a", 100)}
        table = [KEY, listed("n1", rows["n1"])]
        for number, value in enumerate((b"", b"\xff", b"[]", b'{"ip": 7}', b"null")):
            table.append(TableRow(f"node/x{number}", value, at(3)))
        table.append(TableRow("other", b"{}", at(3)))
        with self.assertLogs("fireflyward.peers", "ERROR"):
            registry = make_registry("n0", table)
        self.assertEqual([member.name for member in registry.others()], ["n1"])

    async def test_a_row_that_becomes_malformed_is_no_longer_used(self):
        row = NodeRow("10.0.0.1", 1, "a", 100)
        registry = make_registry("n0", [KEY, listed("n1", row)])
        with self.assertLogs("fireflyward.peers", "ERROR"):
            update = (TableRow("node/n1", b"no row", at(3)),)
            registry.on_table_update(TableUpdate(update, False, 0))
        self.assertEqual(registry.others(), [])

    async def test_a_key_that_no_node_created_is_replaced(self):
        """Guards against a process that impersonates nodes by writing to the table.

        An empty key seals nothing, but was accepted like any other. Any process that
        can write the table could then impersonate every node.
        """
        store = _Store()
        own = NodeRow("10.0.0.1", 1, "a", 100)
        with self.assertLogs("fireflyward.peers", "ERROR"):
            table = [TableRow("key", b"", at(5)), listed("n0", own)]
            registry = make_registry("n0", table, own=own, store=store)
        self.assertIsNone(registry.key)
        await registry.write_missing(0)
        ((expected, puts),) = store.writes
        self.assertEqual(expected, {"key": at(5)})
        self.assertEqual(len(puts["key"]), 32)


class RestoreTests(unittest.IsolatedAsyncioTestCase):
    """The store is restored from a snapshot that lacks the rows of nodes."""

    def setUp(self):
        self.store = _Store()
        self.own = NodeRow("10.0.0.1", 1, "a", 100)
        self.other = NodeRow("10.0.0.2", 2, "a", 100)
        table = [KEY, listed("n0", self.own), listed("n1", self.other)]
        self.registry = make_registry("n0", table, own=self.own, store=self.store)

    def restore(self, *rows):
        update = TableUpdate(rows, True, 0, position=at(9, 2), is_new_era=True)
        self.registry.on_table_update(update)

    async def test_this_nodes_row_is_written_again(self):
        self.restore(KEY)
        self.assertFalse(self.registry.is_complete)
        await self.registry.write_missing(0)
        ((expected, _),) = self.store.writes
        self.assertEqual(expected, {"node/n0": at(0, 2)})

    async def test_a_row_written_just_before_is_written_again_at_once(self):
        """Guards against waiting until a row of the previous era appears."""
        await self.registry.write_missing(0)
        self.restore(KEY)
        self.registry._written_ms_by_key["node/n0"] = 0
        self.restore(KEY)
        await self.registry.write_missing(10)
        self.assertEqual(len(self.store.writes), 1)

    async def test_the_same_key_is_written_again(self):
        """Guards against nodes that reject each other's messages."""
        self.restore(listed("n0", self.own))
        self.assertFalse(self.registry.is_complete)
        await self.registry.write_missing(0)
        await self.registry.write_missing(1_500)
        keys = {puts["key"] for _, puts in self.store.writes if "key" in puts}
        self.assertEqual(keys, {KEY.value})

    async def test_other_nodes_stay_in_the_registry(self):
        """Guards against parts of shared budgets that grow while rows are missing."""
        self.restore(KEY)
        self.assertEqual(self.registry.names(), {"n0", "n1"})
        self.assertEqual([member.name for member in self.registry.others()], ["n1"])

    async def test_an_older_row_of_another_node_is_ignored(self):
        old = NodeRow("10.0.0.9", 9, "a", 100)
        value = msgspec.json.encode(old)
        row = TableRow("node/n1", value, at(2, 2), is_restored=True)
        self.restore(KEY, row)
        (member,) = self.registry.others()
        self.assertEqual(member.address, ("10.0.0.2", 2))

    async def test_an_older_row_of_this_node_is_replaced(self):
        old = msgspec.json.encode(NodeRow("10.0.0.9", 9, "a", 100))
        row = TableRow("node/n0", old, at(2, 2), is_restored=True)
        self.restore(KEY, row)
        await self.registry.write_missing(0)
        ((expected, _),) = self.store.writes
        self.assertEqual(expected, {"node/n0": at(2, 2)})

    async def test_a_key_that_another_node_created_is_used(self):
        self.restore(TableRow("key", b"n" * 32, at(3, 2)), listed("n0", self.own))
        self.assertEqual(self.registry.key, b"n" * 32)
