import unittest

from fireflyward.kept import BlockRef, Fenced, ListQuery, SlotRequest, SlotState
from fireflyward.standins import StoreCosts, StoreModel
from fireflyward.upstreams import Miss, MissReason, block_checksum

COSTS = StoreCosts(memory_slots=2, disk_slots=2, block_bytes=1_000, log_changes=4)


def keep(store: StoreModel, key: str, payload: bytes = b"x", position: int = 1):
    """Reserve, write, seal and publish a block, and return its descriptor."""
    (ref,) = store.reserve(0, (SlotRequest(key, position, position - 1),)).refs
    store.write(ref, payload)
    return store.publish(store.seal((sealed(ref, payload),)).refs).refs[0]


def sealed(ref: BlockRef, payload: bytes) -> BlockRef:
    checksum = block_checksum(ref.key, ref.generation, payload)
    return BlockRef(
        ref.key,
        ref.store,
        ref.slot,
        ref.generation,
        len(payload),
        checksum,
        ref.position,
    )


class LifeCycleTests(unittest.TestCase):
    def setUp(self):
        self.store = StoreModel("s1", COSTS)

    def test_only_a_published_block_is_read(self):
        (ref,) = self.store.reserve(0, (SlotRequest("aa", 1),)).refs
        self.assertIsInstance(self.store.read(ref), Miss)
        self.store.write(ref, b"x")
        self.assertIsInstance(self.store.read(ref), Miss)
        done = self.store.seal((sealed(ref, b"x"),))
        self.assertIsInstance(self.store.read(ref), Miss)
        self.store.publish(done.refs)
        self.assertEqual(self.store.read(ref), b"x")

    def test_freed_slot_is_a_miss_to_holders_of_the_old_generation(self):
        """Guards against answers computed with another prompt's KV data.

        A reader gets a descriptor, the block is freed, its slot is reused for
        another block, and then the reader reads. The slot number alone must not
        identify a block."""
        old = keep(self.store, "aa", b"old")
        self.store.free((old,), state=SlotState.PUBLISHED, fencing=1)
        new = keep(self.store, "bb", b"new")
        self.assertEqual(new.slot, old.slot)
        self.assertEqual(self.store.read(old), Miss("aa", MissReason.OLD_GENERATION))

    def test_torn_write_is_not_sealed(self):
        """Guards against reads of a partly written block.

        The writer crashes during its write, and another process seals the slot.
        The store must check the bytes before it seals a slot."""
        (ref,) = self.store.reserve(0, (SlotRequest("aa", 1),)).refs
        self.store.write(ref, b"ha")
        self.assertEqual(self.store.seal((sealed(ref, b"half"),)).refs, ())

    def test_seal_and_publish_may_be_repeated_after_a_lost_answer(self):
        (ref,) = self.store.reserve(0, (SlotRequest("aa", 1),)).refs
        self.store.write(ref, b"x")
        for _ in range(2):
            done = self.store.seal((sealed(ref, b"x"),))
            self.assertEqual(len(done.refs), 1)
        for _ in range(2):
            self.assertEqual(len(self.store.publish(done.refs).refs), 1)

    def test_second_writer_of_a_block_leaves_no_second_copy(self):
        first, second = (
            self.store.reserve(0, (SlotRequest("aa", 1),)).refs[0] for _ in range(2)
        )
        for ref in (first, second):
            self.store.write(ref, b"x")
            self.store.seal((sealed(ref, b"x"),))
        self.assertEqual(len(self.store.publish((first,)).refs), 1)
        self.assertEqual(self.store.publish((second,)).refs, ())
        self.assertEqual(self.store.used_slots(), 1)

    def test_generations_from_before_a_restart_are_invalid_after_it(self):
        """Guards against reads with a descriptor of another block.

        A store restarts empty and counts its generations from the start again. A
        generation must contain the store's epoch."""
        old = keep(self.store, "aa", b"old")
        self.store.restart_empty(2)
        keep(self.store, "aa", b"new")
        self.assertIsInstance(self.store.read(old), Miss)


class FencingTests(unittest.TestCase):
    def setUp(self):
        self.store = StoreModel("s1", COSTS)

    def test_older_lease_holder_frees_nothing_after_a_newer_one_called(self):
        ref = keep(self.store, "aa")
        self.store.raise_fence(6)
        result = self.store.free((ref,), state=SlotState.PUBLISHED, fencing=5)
        self.assertEqual(result, Fenced(6))
        self.assertEqual(self.store.read(ref), b"x")

    def test_slot_that_changed_state_since_it_was_listed_is_not_freed(self):
        (ref,) = self.store.reserve(0, (SlotRequest("aa", 1),)).refs
        self.store.write(ref, b"x")
        self.store.publish(self.store.seal((sealed(ref, b"x"),)).refs)
        done = self.store.free((ref,), state=SlotState.RESERVED, fencing=5)
        self.assertEqual(done.refs, ())
        self.assertEqual(self.store.read(ref), b"x")


class CapacityTests(unittest.TestCase):
    def test_full_store_reports_that_it_is_full_and_keeps_its_blocks(self):
        store = StoreModel("s1", COSTS)
        refs = [keep(store, f"a{number}") for number in range(4)]
        self.assertTrue(store.reserve(0, (SlotRequest("ff", 1),)).is_full)
        self.assertTrue(all(store.read(ref) == b"x" for ref in refs))

    def test_least_recently_read_blocks_are_on_disk_and_slower(self):
        store = StoreModel("s1", COSTS)
        refs = [keep(store, f"a{number}") for number in range(3)]
        memory_ms = store.transfer_ms(1_000, refs[2])
        disk_ms = store.transfer_ms(2_000, refs[0])
        self.assertGreater(disk_ms, memory_ms)


class ListingTests(unittest.TestCase):
    def setUp(self):
        self.store = StoreModel("s1", COSTS)

    def test_changes_follow_a_full_listing(self):
        keep(self.store, "a1")
        full = self.store.list(ListQuery())
        self.assertTrue(full.is_whole)
        ref = keep(self.store, "a2")
        self.store.free((ref,), state=SlotState.PUBLISHED, fencing=1)
        query = ListQuery(full.epoch, full.next_sequence)
        later = self.store.list(query)
        changes = [(change.key, change.is_kept) for change in later.changes]
        self.assertEqual(changes, [("a2", True), ("a2", False)])

    def test_reader_too_far_behind_gets_the_full_listing(self):
        query = ListQuery(1, 0)
        for number in range(6):
            ref = keep(self.store, f"a{number}")
            self.store.free((ref,), state=SlotState.PUBLISHED, fencing=1)
        self.assertTrue(self.store.list(query).is_whole)

    def test_restarted_store_returns_the_full_listing(self):
        keep(self.store, "a1")
        before = self.store.list(ListQuery())
        self.store.restart_empty(2)
        after = self.store.list(ListQuery(before.epoch, before.next_sequence))
        self.assertEqual((after.is_whole, after.changes, after.epoch), (True, (), 2))

    def test_pages_strides_and_shards_limit_a_listing(self):
        costs = StoreCosts(memory_slots=64, disk_slots=0, page=10)
        store = StoreModel("s1", costs)
        for number in range(32):
            keep(store, f"{number:02x}", position=number + 1)
        found, start = [], 0
        while True:
            query = ListQuery(stride=4, start_slot=start)
            page = store.list(query)
            found.extend(change.position for change in page.changes)
            start = page.next_slot
            if not start:
                break
        self.assertEqual(found, list(range(4, 33, 4)))
        listing = store.list(ListQuery(shards=frozenset({3})))
        self.assertEqual([change.key for change in listing.changes], ["03"])
