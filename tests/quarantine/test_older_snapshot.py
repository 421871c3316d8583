"""Requests that are held while the store is restored from an older snapshot."""

import json
from dataclasses import replace

from fireflyward.feeds import TableUpdate
from fireflyward.quarantine import Free, Held, Trial
from tests.positions import at

from .test_task import QuarantineTestCase


class OlderSnapshotTests(QuarantineTestCase):
    """Two nodes know of three crashes; then an older table is restored."""

    def restore(self, node, row_by_key):
        """Make a node read the first table of a new era."""
        self.table.era += 1
        rows = [
            replace(row, position=at(row.position.version, self.table.era))
            for row in row_by_key.values()
        ]
        self.table.row_by_key = {row.key: row for row in rows}
        restored = tuple(replace(row, is_restored=True) for row in rows)
        position = self.table.position
        node.quarantine.on_table_update(
            TableUpdate(restored, True, 0, position=position, is_new_era=True)
        )

    async def test_a_request_whose_row_is_lost_is_still_held(self):
        """Guards against a request that crashes a fourth replica."""
        await self.crash_three("deadly")
        self.nodes[1].read_table()
        self.restore(self.nodes[1], {})
        self.assertIsInstance(await self.nodes[1].admit("deadly"), Held)

    async def test_the_last_writer_of_a_lost_row_writes_it_again(self):
        await self.crash_three("deadly")
        self.restore(self.node, {})
        await self.node.settle()
        row = json.loads(self.table.row_by_key["suspect/deadly"].value)
        self.assertEqual(len(row["ends"]), 3)

    async def test_other_nodes_do_not_write_a_lost_row(self):
        """Guards against every node of a fleet writing the same row."""
        await self.crash_three("deadly")
        self.nodes[1].read_table()
        self.restore(self.nodes[1], {})
        await self.nodes[1].settle()
        self.assertEqual(self.table.row_by_key, {})

    async def test_a_trial_whose_row_is_lost_continues(self):
        """Guards against two suspects on trial at once."""
        await self.crash_three("a", "b")
        self.assertIsInstance(await self.node.admit("a"), Trial)
        self.node.read_table()
        self.restore(self.node, {})
        self.assertFalse(self.node.quarantine._rows.is_trial_free)

    async def test_a_cleared_request_stays_cleared(self):
        await self.crash_three("a")
        before = dict(self.table.row_by_key)
        self.node.quarantine.on_answered("a")
        await self.node.settle()
        self.assertNotIn("suspect/a", self.table.row_by_key)
        self.restore(self.node, before)
        self.assertEqual(await self.node.admit("a"), Free())
        await self.node.settle()
        self.assertNotIn("suspect/a", self.table.row_by_key)
