"""Readers that update the index from the listings of stores and engines."""

from collections.abc import Iterable, Iterator

from fireflyward.upstreams import CacheChange, CacheEvent, CacheEvents

from ._index import INDEX_STRIDE, PrefixIndex
from ._stores import Listing, ListQuery, StoreChange, is_block_key, shard_of

_MIN_SNAPSHOT_INTERVAL_MS = 10_000
ALL_EVENTS = -1


class StoreReader:
    """Follows one store's listing for the shards that this node holds.

    A full listing consists of several pages, and the store's content changes while they
    are read. After the last page the reader reads all changes since the first page, so
    that no change between pages is lost. The reader starts again with a full listing
    when this node gets new shards, when the epoch changes, or when the store no longer
    has the requested changes.
    """

    __slots__ = (
        "_last_sequence",
        "_epoch",
        "_first_sequence",
        "_shards",
        "_start_slot",
        "name",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self._shards: frozenset[int] = frozenset()
        self._restart()

    def query(self, shards: frozenset[int]) -> ListQuery:
        """Return the next query to the store."""
        if shards - self._shards:
            self._restart()
        self._shards = shards
        return ListQuery(
            self._epoch, self._last_sequence, INDEX_STRIDE, shards, self._start_slot
        )

    def apply(self, listing: Listing, index: PrefixIndex) -> bool:
        """Apply a listing to the index; return whether to query again immediately."""
        if not listing.is_whole:
            index.apply(self.name, listing.changes)
            self._last_sequence = listing.next_sequence
            return listing.has_more
        if self._start_slot and listing.epoch != self._epoch:
            self._restart()
            return True
        if not self._start_slot:
            index.remove_holder(self.name)
            self._epoch = listing.epoch
            self._last_sequence = listing.next_sequence
        index.apply(self.name, listing.changes)
        self._start_slot = listing.next_slot
        return bool(listing.next_slot)

    def _restart(self) -> None:
        self._epoch = self._last_sequence = self._start_slot = 0


class EngineReader:
    """Follows one engine's cache events, which may be late, duplicated or missing.

    An event that was already received is recognized by its sequence number and dropped.
    A gap may hide evictions, after which routing would send prompts to a replica that
    no longer has their blocks. Therefore the reader requests the full content of the
    cache after a gap, after a change of the epoch and for new shards, at most every ten
    seconds.
    """

    __slots__ = (
        "_last_sequence",
        "_epoch",
        "_needs_snapshot",
        "_shards",
        "_snapshot_requested_ms",
        "gaps",
        "name",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.gaps = 0
        self._last_sequence = ALL_EVENTS
        self._epoch = ""
        self._needs_snapshot = True
        self._snapshot_requested_ms = -_MIN_SNAPSHOT_INTERVAL_MS
        self._shards: frozenset[int] = frozenset()

    def start_after(self, now_ms: int, shards: frozenset[int]) -> int:
        """Return the sequence after which to request events, or ``ALL_EVENTS``."""
        self._needs_snapshot = self._needs_snapshot or bool(shards - self._shards)
        self._shards = shards
        if (
            self._needs_snapshot
            and now_ms - self._snapshot_requested_ms >= _MIN_SNAPSHOT_INTERVAL_MS
        ):
            self._snapshot_requested_ms = now_ms
            return ALL_EVENTS
        return max(0, self._last_sequence)

    def apply(self, events: CacheEvents, index: PrefixIndex) -> None:
        """Apply events to the index."""
        if events.is_whole:
            index.remove_holder(self.name)
            index.apply(self.name, self._changes(events.events))
            self._epoch, self._last_sequence = events.epoch, events.last
            self._needs_snapshot = False
            return
        if events.epoch != self._epoch:
            index.remove_holder(self.name)
            self._epoch, self._last_sequence = events.epoch, 0
            self._needs_snapshot = True
        index.apply(self.name, self._changes(self._new_events(events)))

    def _new_events(self, events: CacheEvents) -> list[CacheEvent]:
        """Return the events that are new, in order; record a gap if there is one."""
        event_by_sequence = {
            event.sequence: event
            for event in events.events
            if event.sequence > self._last_sequence
        }
        if len(event_by_sequence) + events.skipped < events.last - self._last_sequence:
            self.gaps += 1
            self._needs_snapshot = True
        self._last_sequence = max(self._last_sequence, events.last)
        return [event_by_sequence[number] for number in sorted(event_by_sequence)]

    def _changes(self, events: Iterable[CacheEvent]) -> Iterator[StoreChange]:
        for event in events:
            if event.position % INDEX_STRIDE or not is_block_key(event.first_key):
                continue
            shard = shard_of(event.first_key)
            if shard in self._shards:
                is_kept = event.change is CacheChange.STORED
                yield StoreChange(event.key, event.position, is_kept, shard)
