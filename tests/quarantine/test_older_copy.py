"""Requests that are held back while the store comes back from an older copy."""

import json
from dataclasses import replace

from fireflyward.feeds import TableUpdate
from fireflyward.quarantine import Free, Held, Trial
from tests.positions import at

from .test_task import QuarantineTestCase


class OlderCopyTests(QuarantineTestCase):
    """Three ends are known to two nodes; then the table is an older one."""

    def come_back(self, node, row_by_key):
        """Have a node read the first table of a new era."""
        self.table.era += 1
        rows = [
            replace(row, position=at(row.position.version, self.table.era))
            for row in row_by_key.values()
        ]
        self.table.row_by_key = {row.key: row for row in rows}
        copied = tuple(replace(row, is_restored=True) for row in rows)
        position = self.table.position
        node.quarantine.on_news(
            TableUpdate(copied, True, 0, position=position, is_new_era=True)
        )

    async def test_a_request_whose_row_is_lost_is_held_on(self):
        """Guards against a fourth replica that ends under it."""
        await self.end_three("deadly")
        self.nodes[1].read_table()
        self.come_back(self.nodes[1], {})
        self.assertIsInstance(await self.nodes[1].admit("deadly"), Held)

    async def test_who_wrote_a_lost_row_writes_it_again(self):
        await self.end_three("deadly")
        self.come_back(self.node, {})
        await self.node.settle()
        row = json.loads(self.table.row_by_key["suspect/deadly"].value)
        self.assertEqual(len(row["ends"]), 3)

    async def test_others_do_not(self):
        """Guards against a write of the same row by every node of a fleet."""
        await self.end_three("deadly")
        self.nodes[1].read_table()
        self.come_back(self.nodes[1], {})
        await self.nodes[1].settle()
        self.assertEqual(self.table.row_by_key, {})

    async def test_a_trial_whose_row_is_lost_goes_on(self):
        """Guards against two suspects on trial at once."""
        await self.end_three("a", "b")
        self.assertIsInstance(await self.node.admit("a"), Trial)
        self.node.read_table()
        self.come_back(self.node, {})
        self.assertFalse(self.node.quarantine._rows.trial_is_free)

    async def test_a_request_that_was_cleared_stays_so(self):
        await self.end_three("a")
        before = dict(self.table.row_by_key)
        self.node.quarantine.on_answered("a")
        await self.node.settle()
        self.assertNotIn("suspect/a", self.table.row_by_key)
        self.come_back(self.node, before)
        self.assertEqual(await self.node.admit("a"), Free())
        await self.node.settle()
        self.assertNotIn("suspect/a", self.table.row_by_key)
