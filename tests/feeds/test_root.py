"""Aggregators that read tables through the root aggregator."""

import unittest

from fireflyward.clock import ManualClock

from .nodes import Node, Store

DOMAINS = {f"{domain}{i}": domain for domain in "abc" for i in range(5)}


class RootTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.store = Store(self.clock)
        self.store.put("k", b"1")
        self.network = {}
        for name in DOMAINS:
            self.network[name] = Node(
                name, self.network, self.store, self.clock, DOMAINS
            )
        aggregators = [n for n in self.network.values() if n.tables.serves_other_nodes]
        (self.root,) = [
            n for n in aggregators if n.aggregators.root_aggregator(0) is None
        ]
        self.other = next(n for n in aggregators if n is not self.root)
        self.leaf = next(
            node
            for node in self.network.values()
            if (own := node.aggregators.own_aggregator(0)) is not None
            and self.network[own.name] is self.other
        )

    async def step_all(self):
        for node in (self.root, self.other, self.leaf):
            await node.follower.step()

    async def test_one_read_of_the_store_serves_all_domains(self):
        """Guards against store calls that grow with the number of failure domains.

        One node in each failure domain followed each table and read the same rows.
        """
        await self.step_all()
        self.assertEqual(self.store.calls, 1)
        self.store.put("k", b"2")
        await self.step_all()
        self.assertEqual(self.leaf.received_rows, {"k": b"2"})
        self.assertEqual(self.store.calls, 2)

    async def test_as_of_time_is_kept_over_both_hops(self):
        await self.step_all()
        self.clock._now_ms += 500
        await self.other.follower.step()
        self.clock._now_ms += 400
        await self.leaf.follower.step()
        self.assertEqual(self.leaf.updates[-1].as_of_ms, 10_000)

    async def test_domain_without_a_reachable_root_reads_from_the_store(self):
        """Guards against a domain that rejects all keys while it reaches the store."""
        await self.step_all()
        self.root.is_stopped = True
        self.store.put("k", b"2")
        await self.other.follower.step()
        await self.leaf.follower.step()
        self.assertEqual(self.leaf.received_rows, {"k": b"2"})

    async def test_root_without_a_reachable_store_soon_stops_answering(self):
        """Guards against four domains that use outdated tables while the store is up.

        The store rejected only the root's calls. The root's cached table must count as
        outdated earlier than the tables that other nodes read from it.
        """
        await self.step_all()
        self.clock._now_ms += 1_400
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.received_rows, {"k": b"2"})

    async def test_table_read_from_the_root_may_be_older_than_the_root_s_own(self):
        await self.step_all()
        calls = self.store.calls
        self.clock._now_ms += 1_400
        await self.leaf.follower.step()
        self.assertEqual(self.store.calls, calls)
