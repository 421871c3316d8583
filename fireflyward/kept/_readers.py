"""Readers that keep the index near what stores and engines say of themselves."""

from collections.abc import Iterable, Iterator

from fireflyward.upstreams import CacheChange, CacheEvent, CacheEvents

from ._index import INDEX_STRIDE, PrefixIndex
from ._stores import Listing, ListQuery, StoreChange, is_block_key, shard_of

_WHOLE_EVERY_MS = 10_000
ALL_EVENTS = -1


class StoreReader:
    """Follows one store's listing for the shards that this node holds.

    A whole listing comes in pages while the store goes on changing. The changes
    since its first page are read again afterwards, so nothing falls between pages.
    New shards, another epoch or a store that remembers too little start it anew.
    """

    __slots__ = (
        "_after",
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
        """Return what to ask the store next."""
        if shards - self._shards:
            self._restart()
        self._shards = shards
        return ListQuery(
            self._epoch, self._after, INDEX_STRIDE, shards, self._start_slot
        )

    def apply(self, listing: Listing, index: PrefixIndex) -> bool:
        """Put a listing into the index; return whether to ask again at once."""
        if not listing.is_whole:
            index.apply(self.name, listing.changes)
            self._after = listing.next_sequence
            return listing.has_more
        if self._start_slot and listing.epoch != self._epoch:
            self._restart()
            return True
        if not self._start_slot:
            index.remove_holder(self.name)
            self._epoch = listing.epoch
            self._after = listing.next_sequence
        index.apply(self.name, listing.changes)
        self._start_slot = listing.next_slot
        return bool(listing.next_slot)

    def _restart(self) -> None:
        self._epoch = self._after = self._start_slot = 0


class EngineReader:
    """Follows one engine's cache events, which come late, twice and with gaps.

    An event that was seen before is dropped by its sequence. A gap hides evictions:
    routing would send prompts to a replica that has nothing of them. So a gap, a
    new epoch or new shards make the reader ask for everything that is held, at
    most once in ten seconds.
    """

    __slots__ = (
        "_after",
        "_epoch",
        "_needs_whole",
        "_shards",
        "_whole_at_ms",
        "gaps",
        "name",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.gaps = 0
        self._after = ALL_EVENTS
        self._epoch = ""
        self._needs_whole = True
        self._whole_at_ms = -_WHOLE_EVERY_MS
        self._shards: frozenset[int] = frozenset()

    def after(self, now_ms: int, shards: frozenset[int]) -> int:
        """Return the sequence after which to ask, or ``ALL_EVENTS``."""
        self._needs_whole = self._needs_whole or bool(shards - self._shards)
        self._shards = shards
        if self._needs_whole and now_ms - self._whole_at_ms >= _WHOLE_EVERY_MS:
            self._whole_at_ms = now_ms
            return ALL_EVENTS
        return max(0, self._after)

    def apply(self, events: CacheEvents, index: PrefixIndex) -> None:
        """Put events into the index."""
        if events.is_whole:
            index.remove_holder(self.name)
            index.apply(self.name, self._changes(events.events))
            self._epoch, self._after = events.epoch, events.last
            self._needs_whole = False
            return
        if events.epoch != self._epoch:
            index.remove_holder(self.name)
            self._epoch, self._after = events.epoch, 0
            self._needs_whole = True
        index.apply(self.name, self._changes(self._new(events)))

    def _new(self, events: CacheEvents) -> list[CacheEvent]:
        """Return the events that were not seen before, in order; note a gap."""
        event_by_sequence = {
            event.sequence: event
            for event in events.events
            if event.sequence > self._after
        }
        if len(event_by_sequence) + events.skipped < events.last - self._after:
            self.gaps += 1
            self._needs_whole = True
        self._after = max(self._after, events.last)
        return [event_by_sequence[number] for number in sorted(event_by_sequence)]

    def _changes(self, events: Iterable[CacheEvent]) -> Iterator[StoreChange]:
        for event in events:
            if event.position % INDEX_STRIDE or not is_block_key(event.first_key):
                continue
            shard = shard_of(event.first_key)
            if shard in self._shards:
                is_kept = event.change is CacheChange.STORED
                yield StoreChange(event.key, event.position, is_kept, shard)
