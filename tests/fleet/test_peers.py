"""The table of nodes: who is listed, who writes, who is first for a duty."""

import unittest

import msgspec

from fireflyward.backing import Committed
from fireflyward.feeds import Followed, TableRow
from fireflyward.fleet._peers import NodeRegistry, NodeRow
from tests.positions import at

KEY = TableRow("key", b"k" * 32, at(1))


def listed(name, row, version=2):
    return TableRow(f"node/{name}", msgspec.json.encode(row), at(version))


class _Store:
    """Takes every write and remembers it."""

    def __init__(self):
        self.writes = []

    async def write(self, *, table, part, expected, puts, deletes=()):
        self.writes.append((expected, puts))
        return Committed(dict.fromkeys(puts, 9))


def register(name, rows, *, own=None, store=None):
    found = NodeRegistry(store or _Store(), name)
    if own is not None:
        found.announce(own)
    found.on_table_update(Followed(tuple(rows), True, 0))
    return found


class DutyTests(unittest.TestCase):
    def first(self, rows, count):
        table = [KEY, *(listed(name, row) for name, row in rows.items())]
        return [
            name
            for name, row in rows.items()
            if register(name, table, own=row).is_among_first(count, "duty")
        ]

    def test_all_nodes_agree(self):
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(9)}
        self.assertEqual(len(self.first(rows, 3)), 3)

    def test_the_widest_links_come_first(self):
        """Symptom: orders to load weights time out at the node that gives them.

        Its link carried 10 Mbit/s, a twentieth of another node's.
        """
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 10) for i in range(9)}
        rows |= {f"w{i}": NodeRow("10.0.0.2", i, "a", 200) for i in range(2)}
        self.assertLessEqual({"w0", "w1"}, set(self.first(rows, 3)))


class WritingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = _Store()
        self.own = NodeRow("10.0.0.1", 7, "a", 100)

    async def test_a_new_node_writes_its_row_and_nothing_else(self):
        found = register("n0", [KEY], own=self.own, store=self.store)
        await found.write_missing(0)
        (expected, puts), *others = self.store.writes
        self.assertEqual((expected, others), ({"node/n0": at(0)}, []))
        self.assertEqual(msgspec.json.decode(puts["node/n0"], type=NodeRow), self.own)

    async def test_a_row_that_was_written_is_not_written_again_before_it_shows(self):
        """Symptom: every node of a fleet that starts writes its row twice.

        What it read next was older than its write, so the row seemed to be missing.
        """
        found = register("n0", [KEY], own=self.own, store=self.store)
        for now_ms in (0, 300, 1_999):
            await found.write_missing(now_ms)
        self.assertEqual(len(self.store.writes), 1)
        await found.write_missing(2_000)
        self.assertEqual(len(self.store.writes), 2)

    async def test_a_node_that_starts_again_writes_nothing(self):
        table = [KEY, listed("n0", self.own)]
        found = register("n0", table, own=self.own, store=self.store)
        await found.write_missing(0)
        self.assertEqual(self.store.writes, [])
        self.assertTrue(found.is_complete)

    async def test_of_nodes_that_start_together_one_draws_the_key(self):
        """Symptom: the first start of 195 nodes takes the store two seconds.

        Each node wrote a key, which the store does for one part one after the other.
        """
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(9)}
        table = [listed(name, row) for name, row in rows.items()]
        for name, row in rows.items():
            found = register(name, table, own=row, store=self.store)
            await found.write_missing(0)
        keys = [puts for _, puts in self.store.writes if "key" in puts]
        self.assertEqual(len(keys), 1)

    async def test_the_others_draw_a_key_if_the_first_does_not(self):
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(3)}
        table = [listed(name, row) for name, row in rows.items()]
        for name, row in rows.items():
            found = register(name, table, own=row, store=self.store)
            await found.write_missing(0)
            await found.write_missing(1_500)
        keys = [puts for _, puts in self.store.writes if "key" in puts]
        self.assertEqual(len(keys), len(rows))


class ForeignRowTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_of_another_writer_names_no_node(self):
        """Symptom: all processes end and end again.

        A row of the table of nodes could not be read, which raised an error in a
        task that no process goes on without.
        """
        rows = {"n1": NodeRow("10.0.0.1", 1, "a", 100)}
        table = [KEY, listed("n1", rows["n1"])]
        for number, value in enumerate((b"", b"\xff", b"[]", b'{"ip": 7}', b"null")):
            table.append(TableRow(f"node/x{number}", value, at(3)))
        table.append(TableRow("other", b"{}", at(3)))
        with self.assertLogs("fireflyward.peers", "ERROR"):
            found = register("n0", table)
        self.assertEqual([member.name for member in found.others()], ["n1"])

    async def test_a_row_that_becomes_unreadable_is_not_used_any_more(self):
        row = NodeRow("10.0.0.1", 1, "a", 100)
        found = register("n0", [KEY, listed("n1", row)])
        with self.assertLogs("fireflyward.peers", "ERROR"):
            update = (TableRow("node/n1", b"no row", at(3)),)
            found.on_table_update(Followed(update, False, 0))
        self.assertEqual(found.others(), [])

    async def test_a_key_that_no_node_drew_is_replaced(self):
        """Symptom: whoever can write the table can speak as any node.

        An empty key seals nothing, and was taken like any other.
        """
        store = _Store()
        own = NodeRow("10.0.0.1", 1, "a", 100)
        with self.assertLogs("fireflyward.peers", "ERROR"):
            table = [TableRow("key", b"", at(5)), listed("n0", own)]
            found = register("n0", table, own=own, store=store)
        self.assertIsNone(found.key)
        await found.write_missing(0)
        ((expected, puts),) = store.writes
        self.assertEqual(expected, {"key": at(5)})
        self.assertEqual(len(puts["key"]), 32)


class DrillTests(unittest.IsolatedAsyncioTestCase):
    """The store comes back from a copy that lacks what nodes wrote."""

    def setUp(self):
        self.store = _Store()
        self.own = NodeRow("10.0.0.1", 1, "a", 100)
        self.other = NodeRow("10.0.0.2", 2, "a", 100)
        table = [KEY, listed("n0", self.own), listed("n1", self.other)]
        self.found = register("n0", table, own=self.own, store=self.store)

    def come_back(self, *rows):
        update = Followed(rows, True, 0, position=at(9, 2), is_new_era=True)
        self.found.on_table_update(update)

    async def test_the_own_row_is_written_again(self):
        self.come_back(KEY)
        self.assertFalse(self.found.is_complete)
        await self.found.write_missing(0)
        ((expected, _),) = self.store.writes
        self.assertEqual(expected, {"node/n0": at(0, 2)})

    async def test_a_row_that_was_just_written_is_written_again_at_once(self):
        """Guards against a wait for a row of the last era to show."""
        await self.found.write_missing(0)
        self.come_back(KEY)
        self.found._written_ms_by_key["node/n0"] = 0
        self.come_back(KEY)
        await self.found.write_missing(10)
        self.assertEqual(len(self.store.writes), 1)

    async def test_the_same_key_is_written_again(self):
        """Guards against nodes that no longer understand each other."""
        self.come_back(listed("n0", self.own))
        self.assertFalse(self.found.is_complete)
        await self.found.write_missing(0)
        await self.found.write_missing(1_500)
        keys = {puts["key"] for _, puts in self.store.writes if "key" in puts}
        self.assertEqual(keys, {KEY.value})

    async def test_other_nodes_are_not_forgotten(self):
        """Guards against parts of shared budgets that grow while rows are lost."""
        self.come_back(KEY)
        self.assertEqual(self.found.names(), {"n0", "n1"})
        self.assertEqual([member.name for member in self.found.others()], ["n1"])

    async def test_an_older_row_of_another_node_is_not_believed(self):
        old = NodeRow("10.0.0.9", 9, "a", 100)
        value = msgspec.json.encode(old)
        row = TableRow("node/n1", value, at(2, 2), is_copied=True)
        self.come_back(KEY, row)
        (member,) = self.found.others()
        self.assertEqual(member.address, ("10.0.0.2", 2))

    async def test_an_older_row_of_its_own_is_replaced(self):
        old = msgspec.json.encode(NodeRow("10.0.0.9", 9, "a", 100))
        row = TableRow("node/n0", old, at(2, 2), is_copied=True)
        self.come_back(KEY, row)
        await self.found.write_missing(0)
        ((expected, _),) = self.store.writes
        self.assertEqual(expected, {"node/n0": at(2, 2)})

    async def test_a_key_that_another_node_drew_meanwhile_is_taken(self):
        self.come_back(TableRow("key", b"n" * 32, at(3, 2)), listed("n0", self.own))
        self.assertEqual(self.found.key, b"n" * 32)
