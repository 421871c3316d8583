import unittest

from fireflyward.kept import (
    ALL_SHARDS,
    INDEX_STRIDE,
    EngineReader,
    HeldRun,
    PrefixIndex,
    SlotRequest,
    SlotState,
    StoreReader,
    shard_of,
)
from fireflyward.standins import EngineCache, StoreCosts, StoreModel
from fireflyward.upstreams import BlockRef, block_checksum

KEYS = tuple(f"{number:02x}" * 16 for number in range(1, 41))
COSTS = StoreCosts(memory_slots=100, disk_slots=0, log_changes=50, page=12)


def write_blocks(store, keys=KEYS):
    for position, key in enumerate(keys, start=1):
        wanted = SlotRequest(key, position, shard_of(keys[0]))
        for ref in store.reserve(0, (wanted,)).refs:
            store.write(ref, b"x")
            checksum = block_checksum(key, ref.generation, b"x")
            sealed = BlockRef(key, "s1", ref.slot, ref.generation, 1, checksum)
            store.publish(store.seal((sealed,)).refs)


class StoreReaderTests(unittest.TestCase):
    def setUp(self):
        self.store = StoreModel("s1", COSTS)
        self.index = PrefixIndex()
        self.reader = StoreReader("s1")

    def read(self, shards=ALL_SHARDS, between=lambda: None):
        requests = 1
        while self.reader.apply(self.store.list(self.reader.query(shards)), self.index):
            between()
            requests += 1
        return requests

    def test_reader_applies_pages_and_then_changes(self):
        write_blocks(self.store)
        self.assertEqual(self.read(), 4)
        self.assertEqual(self.index.find(KEYS), (HeldRun("s1", 0, 40),))
        refs = self.store.describe(KEYS).refs[8:16]
        self.store.free(refs, state=SlotState.PUBLISHED, fencing=1)
        self.read()
        self.assertEqual(
            self.index.find(KEYS), (HeldRun("s1", 0, 8), HeldRun("s1", 16, 24))
        )

    def test_block_freed_between_two_pages_is_not_left_in_the_index(self):
        """Guards against imports of one prompt that always miss.

        The store frees a block of a page that was already read while the next page is
        requested. The reader must follow the changes since the first page, not only
        since the last one.
        """
        write_blocks(self.store)

        def free():
            refs = self.store.describe(KEYS).refs[:8]
            self.store.free(refs, state=SlotState.PUBLISHED, fencing=1)

        self.read(between=free)
        self.read()
        self.assertEqual(self.index.find(KEYS), (HeldRun("s1", 8, 32),))

    def test_restarted_store_is_removed_from_the_index(self):
        write_blocks(self.store)
        self.read()
        self.store.restart_empty(2)
        self.read()
        self.assertEqual(len(self.index), 0)

    def test_new_shards_cause_a_full_listing(self):
        write_blocks(self.store)
        self.read(frozenset({shard_of(KEYS[0]) + 1}))
        self.assertEqual(len(self.index), 0)
        self.read(ALL_SHARDS)
        self.assertEqual(len(self.index), 5)


class EngineReaderTests(unittest.TestCase):
    def setUp(self):
        self.cache = EngineCache(64)
        self.index = PrefixIndex()
        self.reader = EngineReader("e1")

    def cache_blocks(self, keys=KEYS):
        for position, key in enumerate(keys, start=1):
            self.cache.store(key, position, keys[0])

    def read(self, now_ms):
        after = self.reader.start_after(now_ms, ALL_SHARDS)
        self.reader.apply(self.cache.events(after, stride=INDEX_STRIDE), self.index)

    def test_duplicate_and_late_events_give_the_same_index(self):
        self.read(0)
        self.cache.faults.duplicated = True
        self.cache.faults.withheld = 10
        self.cache_blocks()
        self.read(500)
        self.cache.faults.withheld = 0
        self.read(1_000)
        self.assertEqual(self.index.find(KEYS), (HeldRun("e1", 0, 40),))
        self.assertEqual(self.reader.gaps, 0)

    def test_gap_is_detected_and_repaired(self):
        """Guards against prompts for a replica that evicted their blocks long ago.

        An eviction's event is lost. The reader must not apply the next event as if no
        event were missing.
        """
        self.read(0)
        self.cache_blocks()
        self.read(500)
        self.assertEqual(self.reader.gaps, 0)
        self.cache.faults.drop_every = 1
        self.cache_blocks(tuple(f"{number:032x}" for number in range(64)))
        self.read(1_000)
        self.cache.faults.drop_every = 0
        self.assertEqual(self.index.find(KEYS), (HeldRun("e1", 0, 40),))
        self.read(12_000)
        self.assertGreater(self.reader.gaps, 0)
        self.assertEqual(self.index.find(KEYS), ())

    def test_restarted_engine_is_removed_from_the_index(self):
        self.cache_blocks()
        self.read(0)
        self.cache.restart_empty("2")
        self.read(500)
        self.assertEqual(len(self.index), 0)
