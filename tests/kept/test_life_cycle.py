"""The life cycle of a block under writers, readers, sweepers and crashes.

The state machine records by slot and generation which blocks were sealed, published
and freed. In any interleaving, a read returns exactly the bytes of its own generation
while that is published, and an engine uses no other bytes even if the store returns
wrong ones.
"""

import unittest

from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    precondition,
    rule,
)
from hypothesis.strategies import booleans, integers, sampled_from

from fireflyward.kept import BlockRef, Fenced, SlotRequest, SlotState
from fireflyward.standins import StoreCosts, StoreModel, check_block, kv_payload
from fireflyward.upstreams import block_checksum

KEYS = tuple(f"{number:02x}" * 16 for number in range(2))
_MAX_RECENT_REFS = 12
COSTS = StoreCosts(memory_slots=2, disk_slots=2, block_bytes=10)


class LifeCycle(RuleBasedStateMachine):
    reserved = Bundle("reserved")
    written = Bundle("written")
    sealed = Bundle("sealed")
    described = Bundle("described")

    @initialize()
    def begin(self):
        self.store = StoreModel("s1", COSTS)
        self.fencing = 1
        self.now_ms = 0
        self.published: dict[tuple[int, int], BlockRef] = {}
        self.recent_refs: list[BlockRef] = []
        self.reserved_places: set[tuple[int, int]] = set()
        self.listings: list[tuple[int, tuple]] = []

    # Writers. A writer crashes if Hypothesis never draws its next rule.

    @rule(target=reserved, key=sampled_from(KEYS))
    def reserve(self, key):
        return multiple(*self.reserve_slot(key))

    def reserve_slot(self, key):
        self.now_ms += 10
        refs = self.store.reserve(self.now_ms, (SlotRequest(key, 1),)).refs
        for ref in refs:
            assert (ref.slot, ref.generation) not in self.reserved_places, (
                "generation repeated"
            )
            self.reserved_places.add((ref.slot, ref.generation))
        return refs

    @rule(target=written, ref=consumes(reserved), is_torn=booleans())
    def write(self, ref, is_torn):
        self.write_bytes(ref, is_torn)
        return ref

    def write_bytes(self, ref, is_torn):
        payload = kv_payload(ref.key)
        self.store.write(ref, payload[:-3] if is_torn else payload)

    @rule(target=sealed, ref=consumes(written))
    def seal_written(self, ref):
        return self.seal(ref)

    def seal(self, ref):
        payload = kv_payload(ref.key)
        checksum = block_checksum(ref.key, ref.generation, payload)
        sealed_ref = BlockRef(
            ref.key, "s1", ref.slot, ref.generation, len(payload), checksum, 1
        )
        self.store.seal((sealed_ref,))
        return sealed_ref

    @rule(ref=consumes(sealed))
    def publish_sealed(self, ref):
        self.publish(ref)

    def publish(self, ref):
        self.record_published(self.store.publish((ref,)).refs)

    @rule(ref=consumes(written))
    def publish_without_a_seal(self, ref):
        self.record_published(self.store.publish((ref,)).refs)

    @rule(
        target=described, key=sampled_from(KEYS), is_torn=booleans(), listing=booleans()
    )
    def insert_block(self, key, is_torn, listing):
        """Do all steps of a write, so that the other rules often have blocks to use."""
        self.write_and_publish(key, is_torn, listing)
        return self.fetch_descriptors(key)

    def write_and_publish(self, key, is_torn, listing):
        for ref in self.reserve_slot(key):
            if listing:
                self.list_garbage()
            self.write_bytes(ref, is_torn)
            self.publish(self.seal(ref))

    @rule(ref=consumes(reserved))
    def abandon(self, ref):
        self.store.abandon((ref,))

    def record_published(self, refs):
        for ref in refs:
            self.published[ref.slot, ref.generation] = ref

    # Readers may keep descriptors for any length of time.

    @rule(target=described, key=sampled_from(KEYS))
    def describe(self, key):
        return self.fetch_descriptors(key)

    def fetch_descriptors(self, key):
        refs = self.store.describe((key,)).refs
        self.recent_refs = list(dict.fromkeys((*self.recent_refs, *refs)))[
            -_MAX_RECENT_REFS:
        ]
        return multiple(*refs)

    @invariant()
    def every_descriptor_reads_its_own_block_or_misses(self):
        for ref in self.recent_refs:
            found = self.store.read(ref)
            if isinstance(found, bytes):
                place = (ref.slot, ref.generation)
                assert place in self.published, "a freed block was read"
                assert found == kv_payload(ref.key), (
                    "the bytes differ from the sealed ones"
                )

    @invariant()
    def an_engine_uses_no_wrong_bytes_of_a_store(self):
        faults = self.store.faults
        for ref in self.recent_refs:
            for faults.damaged_bytes in (False, True):
                faults.wrong_bytes = not faults.damaged_bytes
                found = self.store.read(ref)
                if isinstance(found, bytes) and check_block(ref, found) is None:
                    assert found == kv_payload(ref.key), "an engine used other bytes"
        faults.damaged_bytes = faults.wrong_bytes = False

    # Sweepers. Each listing is recorded with the fencing number of its lease.

    @rule()
    def list_garbage(self):
        found = self.store.unfinished(self.now_ms, 0)
        items = tuple((item.ref, item.state) for item in found)
        if items:
            self.listings.append((self.fencing, items))

    @rule()
    def next_holder(self):
        self.fencing += 1
        self.store.raise_fence(self.fencing)

    @precondition(lambda self: self.listings)
    @rule(place=integers(0, 7))
    def free_listed(self, place):
        fencing, items = self.listings[place % len(self.listings)]
        for ref, state in items:
            was_published = (ref.slot, ref.generation) in self.published
            done = self.store.free((ref,), state=state, fencing=fencing)
            if fencing < self.fencing:
                was_rejected = isinstance(done, Fenced) or not done.refs
                assert was_rejected, "a call of an earlier lease holder took effect"
            elif was_published:
                assert not done.refs, "a published block was swept as garbage"

    @rule(ref=described)
    def evict_held(self, ref):
        self.evict(ref)

    def evict(self, ref):
        done = self.store.free((ref,), state=SlotState.PUBLISHED, fencing=self.fencing)
        for freed in done.refs:
            place = (freed.slot, freed.generation)
            assert self.published.pop(place, None), "another block was freed"

    @rule(ref=described, key=sampled_from(KEYS))
    def evict_and_fill(self, ref, key):
        """Free a block and write another one, which may reuse its slot."""
        self.evict(ref)
        self.write_and_publish(key, False, False)

    @rule()
    @precondition(lambda self: len(self.published) > 1)
    def crash(self):
        self.store.restart_empty(self.store.epoch + 1)
        self.published.clear()

    @invariant()
    def a_published_block_is_complete(self):
        for key in KEYS:
            for ref in self.store.describe((key,)).refs:
                payload = kv_payload(key)
                checksum = block_checksum(key, ref.generation, payload)
                assert (ref.length, ref.checksum) == (len(payload), checksum)

    @invariant()
    def a_block_is_published_in_a_single_slot(self):
        keys = [ref.key for ref in self.published.values()]
        assert len(keys) == len(set(keys))

    @invariant()
    def every_slot_is_free_published_or_found_by_a_sweep(self):
        unfinished = len(self.store.unfinished(self.now_ms, 0))
        assert self.store.used_slots() == unfinished + len(self.published)


LifeCycle.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)


class LifeCycleTests(LifeCycle.TestCase, unittest.TestCase):
    """Guards against an engine that computes on KV blocks of another prompt.

    Any interleaving of the rules above could cause this, if a read did not compare the
    generation, if a block could be published without a seal or sealed without a check
    of its bytes, or if freeing did not compare state and fencing number.
    """
