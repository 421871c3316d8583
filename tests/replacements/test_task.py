"""Questions to other nodes about the age of replaced weights."""

import asyncio
import unittest

from fireflyward.clock import ManualClock
from fireflyward.deployment import WeightTarget
from fireflyward.peers import CallFailed
from fireflyward.replacements import ReplacementRows, ReplacementTask, VersionHistory


class _Link:
    """Delivers calls to the node at the address, without delay."""

    def __init__(self, node_by_address):
        self._node_by_address = node_by_address

    def register(self, kind, struct_type, handle):
        pass

    async def call(self, address, kind, message, reply_type, *, timeout_s):
        node = self._node_by_address.get(address)
        if node is None:
            return CallFailed("no response")
        return await node.task._on_question("n", message)


class _Store:
    time = None


class _Rows:
    """Records the writes; none of them succeeds."""

    def __init__(self):
        self.writes = 0

    def use_evidence(self, model):
        return False

    def is_written(self, model):
        return False

    async def write(self, model):
        self.writes += 1


class _Node:
    def __init__(self, clock, node_by_address, has_older=True, rank=9, rows=None):
        self.clock = clock
        self.history = VersionHistory()
        rows = rows or ReplacementRows(self.history, store=_Store(), table="t")
        self.task = ReplacementTask(
            self.history,
            rows,
            clock=clock,
            addresses=lambda: list(node_by_address),
            is_among_first=lambda count: rank <= count,
            place=lambda: (rank - 1) / 100,
            has_older_weights=lambda model: has_older,
        )
        self.task.use(_Link(node_by_address))

    def name(self, version):
        self.history.set_target(self.clock.now_ms(), WeightTarget("m", version))
        self.task.on_named("m")


class ReplacementTaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(50_000)
        self.node_by_address = {("b", 1): None}

    async def run_node(self, node, duration_ms=4_000):
        task = asyncio.create_task(node.task.run())
        await self.clock.advance_ms(duration_ms)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def other(self):
        other = self.node_by_address["b", 1] = _Node(self.clock, {})
        return other

    async def test_a_node_that_stood_still_asks_when_the_version_was_named(self):
        """Guards against rejecting all prompts for a version that was just named."""
        other = self.other()
        other.history.confirm(49_000)
        other.name(2)
        node = _Node(self.clock, self.node_by_address)
        node.history.confirm(20_000)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.history.replaced_after_ms("m", 1), 49_000)

    async def test_a_node_that_has_not_heard_yet_tells_what_was_the_newest(self):
        other = self.other()
        other.history.set_target(0, WeightTarget("m", 1))
        other.history.confirm(49_500)
        node = _Node(self.clock, self.node_by_address)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.history.replaced_after_ms("m", 1), 49_500)

    async def test_nodes_that_do_not_answer_are_asked_a_few_times(self):
        node = _Node(self.clock, self.node_by_address)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.task.asked, 5)
        self.assertIsNone(node.history.replaced_after_ms("m", 1))

    async def test_one_of_many_listed_nodes_that_runs_is_found(self):
        """Guards against an unknown age after most listed nodes were removed."""
        for number in range(90):
            self.node_by_address["gone", number] = None
        other = self.other()
        other.history.confirm(30_000)
        other.name(2)
        node = _Node(self.clock, self.node_by_address)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.history.replaced_after_ms("m", 1), 30_000)

    async def test_nothing_is_asked_while_the_news_is_fresh(self):
        node = _Node(self.clock, self.node_by_address)
        node.history.confirm(48_500)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.task.asked, 0)

    async def test_nothing_is_asked_while_no_replica_has_older_weights(self):
        """Guards against questions of all nodes that start, with no rollout at all."""
        node = _Node(self.clock, self.node_by_address, has_older=False)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.task.asked, 0)

    async def test_the_first_three_nodes_write_one_after_the_other(self):
        writes = []
        for rank in (1, 2, 3, 4):
            rows = _Rows()
            node = _Node(self.clock, {}, rank=rank, rows=rows)
            node.name(2)
            await self.run_node(node)
            writes.append(rows.writes)
        self.assertEqual(writes, [4, 3, 2, 0])

    async def test_another_node_writes_if_the_first_three_have_gone(self):
        """Guards against weights of unknown age after many nodes were replaced."""
        for rank, pause_ms in ((4, 13_090), (100, 15_970)):
            rows = _Rows()
            node = _Node(self.clock, {}, rank=rank, rows=rows)
            node.name(2)
            await self.run_node(node, pause_ms - 1)
            self.assertEqual(rows.writes, 0)
            node.name(2)
            await self.run_node(node, pause_ms)
            self.assertEqual(rows.writes, 1)

    async def test_a_node_that_was_told_the_age_asks_nobody_again(self):
        other = self.other()
        other.history.confirm(30_000)
        other.name(2)
        node = _Node(self.clock, self.node_by_address)
        node.name(2)
        await self.run_node(node)
        self.assertEqual(node.history.replaced_after_ms("m", 1), 30_000)
        self.assertEqual(node.task.asked, 1)
