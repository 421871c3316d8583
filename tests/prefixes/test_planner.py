"""Each request fetches stored parts of its prompt and saves the others."""

import unittest
from collections import Counter

from fireflyward.deployment import KvStore
from fireflyward.prefixes import (
    KvEvent,
    KvUpdate,
    PartKey,
    PartPlanner,
    cache_salt,
    salt_version,
)

PARTS = (("common", 500), ("own", 8_000), ("question", 300))


def store(address, tokens=100_000):
    return KvStore(address, "a", tokens, 1_000.0, never_evicts=True)


class PlannerTests(unittest.TestCase):
    def setUp(self):
        self.planner = PartPlanner()
        self.planner.set_stores([store("s1"), store("s2")])
        for index in self.planner.indexes():
            index.apply(KvUpdate(1, (), 0))

    def plan(self, salt="m~1", now_ms=0, fallback_source="r1:80"):
        return self.planner.plan(now_ms, salt, PARTS, fallback_source=fallback_source)

    def fill(self, salt):
        for index in self.planner.indexes():
            events = tuple(KvEvent(PartKey(salt, name), n) for name, n in PARTS)
            index.apply(KvUpdate(1, events, 0))

    def test_nothing_is_fetched_from_a_store_of_which_the_news_is_old(self):
        """Guards against fetching a part that is half written after a standstill.

        The store restarted while the node stood still, and other nodes save the part
        to it again.
        """
        self.fill("m~1")
        for index in self.planner.indexes():
            index.valid_until_ms = 3_000
        self.assertNotIn("r1:80", self.plan(now_ms=2_999).sources)
        self.assertEqual(self.plan(now_ms=3_000).sources, ("r1:80", "r1:80", None))

    def test_unstored_parts_are_fetched_from_a_replica_and_saved(self):
        plan = self.plan()
        self.assertEqual(plan.sources, ("r1:80", "r1:80", None))
        self.assertTrue(all(plan.saves[:2]))
        self.assertIsNone(plan.saves[2])
        self.assertEqual(plan.stored_tokens, 0)

    def test_stored_parts_are_fetched_from_the_stores(self):
        self.fill("m~1")
        plan = self.plan()
        self.assertNotIn("r1:80", plan.sources)
        self.assertEqual(plan.saves, (None, None, None))
        self.assertEqual(plan.stored_tokens, 8_500)

    def test_parts_of_other_weights_or_an_isolated_account_are_not_used(self):
        """Guards against using the KV cache of another account or of old weights."""
        self.fill(cache_salt("m", 1))
        for salt in (cache_salt("m", 2), cache_salt("m", 1, "acme")):
            self.assertEqual(self.plan(salt).stored_tokens, 0)

    def test_all_nodes_save_a_part_to_the_same_store(self):
        other = PartPlanner()
        other.set_stores([store("s2"), store("s1")])
        for index in other.indexes():
            index.apply(KvUpdate(1, (), 0))
        mine = self.plan().saves
        theirs = other.plan(0, "m~1", PARTS, fallback_source=None).saves
        self.assertEqual(mine, theirs)

    def test_parts_are_distributed_by_capacity(self):
        planner = PartPlanner()
        planner.set_stores([store("s1", 100_000_000), store("s2", 300_000_000)])
        for index in planner.indexes():
            index.apply(KvUpdate(1, (), 0))
        counts = Counter(
            planner.plan(
                0, "m~1", ((f"p{n}", 300), ("q", 1)), fallback_source=None
            ).saves[0]
            for n in range(2_000)
        )
        self.assertAlmostEqual(counts["s2"] / 2_000, 0.75, delta=0.05)

    def test_a_part_is_saved_to_a_store_with_free_memory(self):
        """Guards against prefilling a tenth of the shared parts at every request.

        Each part had one store, chosen only by the part's name. Some stores were full
        while others were not, and the parts of a full store were never saved.
        """
        planner = PartPlanner()
        planner.set_stores([store(f"s{i}", 20_000) for i in range(5)])
        for index in planner.indexes():
            index.apply(KvUpdate(1, (), 0))
        saved = 0
        for n in range(11):
            parts = ((f"p{n}", 8_000), ("q", 1))
            plan = planner.plan(0, "m~1", parts, fallback_source=None)
            saved += plan.saves[0] is not None
        self.assertEqual(saved, 10)

    def test_a_part_is_found_in_any_store(self):
        for address in ("s1", "s2"):
            planner = PartPlanner()
            planner.set_stores([store("s1"), store("s2")])
            for index in planner.indexes():
                held = (KvEvent(PartKey("m~1", "own"), 8_000),)
                index.apply(KvUpdate(1, held if index.address == address else (), 0))
            plan = planner.plan(0, "m~1", PARTS, fallback_source=None)
            self.assertEqual(plan.sources[1], address)

    def test_a_part_that_is_being_saved_is_not_saved_to_a_second_store(self):
        first = self.plan().saves[1]
        for index in self.planner.indexes():
            if index.address == first:
                index.on_unreachable()
        self.assertIsNone(self.plan(now_ms=100).saves[1])

    def test_a_new_configuration_keeps_the_indexes_of_its_stores(self):
        self.fill("m~1")
        self.planner.set_stores([store("s1"), store("s2")])
        self.assertEqual(self.plan().stored_tokens, 8_500)

    def test_a_new_configuration_keeps_an_empty_index(self):
        """Guards against unused stores after an early change of the configuration.

        An empty index was falsy in a condition, so the planner created a new one, while
        the follower kept applying the store's events to the old one. As a result most
        stores were not used.
        """
        before = self.planner.indexes()
        self.planner.set_stores([store("s1"), store("s2")])
        for old, new in zip(before, self.planner.indexes(), strict=True):
            self.assertIs(old, new)

    def test_without_stores(self):
        self.planner.set_stores([])
        self.assertEqual(self.plan(fallback_source=None).sources, (None, None, None))

    def test_salts(self):
        self.assertEqual(salt_version(cache_salt("m", 7, "acme")), ("m", 7))
        self.assertIsNone(salt_version("foreign"))
