"""Which node is among the first for a duty."""

import unittest

import msgspec

from fireflyward.feeds import Snapshot, TableRow
from fireflyward.fleet._peers import NodeRow, PeerRegister


class _Store:
    def __init__(self, rows):
        self.table = Snapshot(
            (
                TableRow("key", b"k" * 32, 1),
                *(
                    TableRow(f"node/{name}", msgspec.json.encode(row), 2)
                    for name, row in rows.items()
                ),
            ),
            2,
        )

    async def rows(self, table):
        return self.table


class DutyTests(unittest.IsolatedAsyncioTestCase):
    async def first(self, rows, count):
        names = []
        for name, row in rows.items():
            register = PeerRegister(_Store(rows), name)
            register.announce(row)
            await register.refresh()
            if register.is_among_first(count, "duty"):
                names.append(name)
        return names

    async def test_all_nodes_agree(self):
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 100) for i in range(9)}
        self.assertEqual(len(await self.first(rows, 3)), 3)

    async def test_the_widest_links_come_first(self):
        """Symptom: orders to load weights time out at the node that gives them.

        Its link carried 10 Mbit/s, a twentieth of another node's.
        """
        rows = {f"n{i}": NodeRow("10.0.0.1", i, "a", 10) for i in range(9)}
        rows |= {f"w{i}": NodeRow("10.0.0.2", i, "a", 200) for i in range(2)}
        self.assertLessEqual({"w0", "w1"}, set(await self.first(rows, 3)))
