"""Nodes whose tasks fail with exceptions that nobody expected."""

import asyncio
import json
import os
from unittest import mock

from .node_fixtures import FleetTestCase, NodeTestCase

_LONG_PORT = "1" * 5_000


class OddEntryTests(FleetTestCase):
    async def test_an_entry_with_a_long_port_ends_no_node(self):
        """Guards against one entry that ends all nodes and keeps them from starting."""
        entry = json.loads(self.plain[0].entry("plain"))
        entry["address"] = f"127.0.0.1:{_LONG_PORT}"
        with mock.patch.object(os, "_exit") as exit_process:
            await self.start_nodes()
            self.store.put("servers", "odd-1", json.dumps(entry).encode())
            self.store.put("servers", "p-3", self.plain[1].entry("plain"))
            for node in self.nodes:
                await self.until(lambda node=node: len(node._directory) == 5)
                status, _, _ = await self.fetch("GET", "/r/x", node=node)
                self.assertEqual(status, 200)
        exit_process.assert_not_called()


class FailingTaskTests(NodeTestCase):
    async def test_a_table_is_followed_again_after_its_task_failed(self):
        """Guards against a node that ends, or ignores a table, after one exception."""
        with mock.patch.object(os, "_exit") as exit_process:
            await self.start_ready()
            with mock.patch(
                "fireflyward.fleet._views.decode_replica", side_effect=ValueError
            ) as decode:
                self.store.put("servers", "p-3", self.plain[1].entry("plain"))
                await self.until(lambda: decode.called)
                status, _, _ = await self.fetch("GET", "/r/x")
                self.assertEqual(status, 200)
            await self.until(lambda: len(self.node._directory) == 5)
        exit_process.assert_not_called()

    async def test_a_failure_is_counted_and_named(self):
        """Guards against a failing task that leaves no trace."""
        with mock.patch.object(os, "_exit"), self.assertLogs("fireflyward") as logs:
            await self.start_ready()
            with mock.patch(
                "fireflyward.fleet._views.decode_replica", side_effect=ValueError
            ) as decode:
                self.store.put("servers", "p-3", self.plain[1].entry("plain"))
                await self.until(lambda: decode.called)
                await asyncio.sleep(0)
        self.assertIn("task table servers failed", "\n".join(logs.output))
        self.assertIn(
            'fireflyward_task_failures_total{task="table servers"}',
            self.node._metrics.text(),
        )
