"""Aggregators that read tables through one of them, the root."""

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

    async def begin(self):
        for node in (self.root, self.other, self.leaf):
            await node.follower.step()

    async def test_one_reading_serves_all_domains(self):
        """Symptom: calls to the store grow with the failure domains.

        In each of them one node followed each table, and read the same.
        """
        await self.begin()
        self.assertEqual(self.store.calls, 1)
        self.store.put("k", b"2")
        await self.begin()
        self.assertEqual(self.leaf.known, {"k": b"2"})
        self.assertEqual(self.store.calls, 2)

    async def test_the_age_of_a_proof_goes_over_both_hops(self):
        await self.begin()
        self.clock._now_ms += 500
        await self.other.follower.step()
        self.clock._now_ms += 400
        await self.leaf.follower.step()
        self.assertEqual(self.leaf.news[-1].as_of_ms, 10_000)

    async def test_a_domain_that_is_cut_off_from_the_root_goes_by_the_store(self):
        """Symptom: a domain refuses all keys while the store answers it."""
        await self.begin()
        self.root.is_dead = True
        self.store.put("k", b"2")
        await self.other.follower.step()
        await self.leaf.follower.step()
        self.assertEqual(self.leaf.known, {"k": b"2"})

    async def test_a_root_that_is_cut_off_from_the_store_says_so_soon(self):
        """Symptom: four domains serve by old tables while the store is up.

        The store turned away just the root. Its copy must count as old before the
        copies made of it do.
        """
        await self.begin()
        self.clock._now_ms += 1_400
        self.store.put("k", b"2")
        await self.other.follower.step()
        self.assertEqual(self.other.known, {"k": b"2"})

    async def test_a_copy_of_the_root_s_may_be_older_than_the_root_s(self):
        await self.begin()
        calls = self.store.calls
        self.clock._now_ms += 1_400
        await self.leaf.follower.step()
        self.assertEqual(self.store.calls, calls)
