"""The interface of a store VM, with the values that it exchanges."""

import enum
import re
from dataclasses import dataclass
from typing import Protocol

from fireflyward.decoding import Count
from fireflyward.upstreams import BlockRef, Miss

SHARDS = 256
_SHARD_DIGITS = 2
_BLOCK_KEY = re.compile(r"[0-9a-f]{32}", re.ASCII)
_NEARLY_FULL_RATIO = 0.95
_TARGET_RATIO = 0.90


def is_block_key(text: str) -> bool:
    """Return whether a text from outside has the format of a block key."""
    return _BLOCK_KEY.fullmatch(text) is not None


def shard_of(key: str) -> int:
    """Return the shard of a prompt by the key of its first block, 0 to 255."""
    return int(key[:_SHARD_DIGITS], 16)


class SlotState(enum.StrEnum):
    """The progress of writing a slot; only published blocks can be read."""

    FREE = "free"
    RESERVED = "reserved"
    SEALED = "sealed"
    PUBLISHED = "published"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A block for which a slot is requested.

    ``position`` counts from 1. ``shard`` is that of the prompt's first block, in
    which the index keeps all entries of the prompt. ``owner`` identifies the client
    account without its name, so that a store can count the slots of each account.
    """

    key: str
    position: int
    shard: int = 0
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Reserved:
    """Slots for the blocks that the store lacks; fewer if the store is full."""

    refs: tuple[BlockRef, ...]
    already_kept: tuple[BlockRef, ...] = ()
    is_full: bool = False


@dataclass(frozen=True, slots=True)
class AppliedRefs:
    """The descriptors for which the call took effect; it failed for the others."""

    refs: tuple[BlockRef, ...]


@dataclass(frozen=True, slots=True)
class Fenced:
    """The call had no effect: the store has received a higher fencing number."""

    highest: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """No answer; ``may_have_acted`` is false only if the call never arrived."""

    detail: str
    may_have_acted: bool = True


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One line of a store's listing: a block that was stored or removed."""

    key: str
    position: Count
    is_kept: bool
    shard: Count = 0


@dataclass(frozen=True, slots=True)
class ListQuery:
    """A query for a part of a store's listing.

    Only blocks whose position is a multiple of ``stride`` and whose shard is in
    ``shards`` are listed; an empty set means all shards. ``epoch`` and ``after`` are
    taken from the last listing, and ``start_slot`` from the last page of a full
    listing.
    """

    epoch: int = 0
    after: int = 0
    stride: int = 1
    shards: frozenset[int] = frozenset()
    start_slot: int = 0

    def includes(self, change: StoreChange) -> bool:
        """Return whether a line belongs to the answer."""
        if change.position % self.stride:
            return False
        return not self.shards or change.shard in self.shards


@dataclass(frozen=True, slots=True)
class Listing:
    """The published blocks, or the changes after the requested sequence number.

    ``epoch`` changes when the store has lost its content. ``is_whole`` means that the
    listing is a full one, which replaces all earlier ones, because the requested
    sequence number was too old to list only the changes. A full listing continues at
    ``next_slot``, or is complete if that is 0. The next query starts after
    ``next_sequence``, and ``has_more`` means that more changes are already available.
    """

    epoch: Count
    next_sequence: Count
    changes: tuple[StoreChange, ...]
    is_whole: bool = False
    has_more: bool = False
    next_slot: Count = 0


@dataclass(frozen=True, slots=True)
class Unfinished:
    """A slot whose write was begun but whose block is not published, with its age."""

    ref: BlockRef
    state: SlotState
    age_ms: Count


@dataclass(frozen=True, slots=True)
class StoreUsage:
    """The number of used slots of a store, in total and by owner."""

    used: Count
    capacity: Count
    used_by_owner: dict[str, Count]

    def is_nearly_full(self) -> bool:
        """Return whether blocks should be evicted before the store rejects writes."""
        return self.used > _NEARLY_FULL_RATIO * self.capacity

    def slots_to_free(self) -> int:
        """Return how many slots to free to reach the target."""
        return max(0, self.used - int(_TARGET_RATIO * self.capacity))


@dataclass(frozen=True, slots=True)
class ColdBlock:
    """A published block that has not been read for ``idle_ms``."""

    ref: BlockRef
    owner: str
    reads: Count
    idle_ms: Count


class StoreClient(Protocol):
    """One store VM; docs/platform/store.md specifies the contract."""

    name: str

    async def reserve(
        self, wanted: tuple[SlotRequest, ...]
    ) -> Reserved | StoreUnavailable: ...

    async def write(
        self, ref: BlockRef, payload: bytes
    ) -> AppliedRefs | StoreUnavailable: ...

    async def seal(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable: ...

    async def publish(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable: ...

    async def describe(self, keys: tuple[str, ...]) -> AppliedRefs | StoreUnavailable:
        """Return descriptors of the longest prefix of ``keys`` that is stored."""

    async def read(self, ref: BlockRef) -> bytes | Miss | StoreUnavailable: ...

    async def abandon(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        """Release slots of this generation that were not published."""

    async def raise_fence(
        self, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        """Have the store reject every smaller fencing number from now on."""

    async def free(
        self, refs: tuple[BlockRef, ...], *, state: SlotState, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        """Free slots that still have this generation and this state."""

    async def unfinished(
        self, min_age_ms: int
    ) -> tuple[Unfinished, ...] | StoreUnavailable: ...

    async def list(self, query: ListQuery) -> Listing | StoreUnavailable: ...

    async def usage(self) -> StoreUsage | StoreUnavailable: ...

    async def coldest(self, limit: int) -> tuple[ColdBlock, ...] | StoreUnavailable:
        """Return published blocks, in the order of their last reads, oldest first."""
