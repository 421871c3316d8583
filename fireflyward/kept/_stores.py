"""What the product needs of a store VM, and the values that pass."""

import enum
import re
from dataclasses import dataclass
from typing import Protocol

from fireflyward.upstreams import BlockRef, Miss

SHARDS = 256
_SHARD_DIGITS = 2
_BLOCK_KEY = re.compile(r"[0-9a-f]{32}", re.ASCII)
_NEARLY_FULL = 0.95
_TARGET = 0.90


def is_block_key(text: str) -> bool:
    """Tell whether a text that came from outside can be a block key."""
    return _BLOCK_KEY.fullmatch(text) is not None


def shard_of(key: str) -> int:
    """Return the shard of a prompt by the key of its first block, 0 to 255."""
    return int(key[:_SHARD_DIGITS], 16)


class SlotState(enum.StrEnum):
    """How far the write of a slot has come; only published blocks are read."""

    FREE = "free"
    RESERVED = "reserved"
    SEALED = "sealed"
    PUBLISHED = "published"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A block for which a slot is asked.

    ``position`` counts from 1. ``shard`` is that of the prompt's first block, under
    which the index keeps the whole prompt. ``owner`` stands for the client account
    without naming it, so that a store can tell how much each holds.
    """

    key: str
    position: int
    shard: int = 0
    owner: str = ""


@dataclass(frozen=True, slots=True)
class Reserved:
    """Slots for the blocks that are not kept yet; fewer than asked when full."""

    refs: tuple[BlockRef, ...]
    already_kept: tuple[BlockRef, ...] = ()
    is_full: bool = False


@dataclass(frozen=True, slots=True)
class AppliedRefs:
    """The descriptors for which the call took effect; the others were misses."""

    refs: tuple[BlockRef, ...]


@dataclass(frozen=True, slots=True)
class Fenced:
    """Nothing was done: the store has seen a newer fencing number."""

    highest: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """No answer. ``may_have_acted`` is false only if the call never arrived."""

    detail: str
    may_have_acted: bool = True


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One line of a store's listing: a block that is kept, or no longer is."""

    key: str
    position: int
    is_kept: bool
    shard: int = 0


@dataclass(frozen=True, slots=True)
class ListQuery:
    """What of a store's listing is asked.

    Only blocks whose position is a multiple of ``stride`` and whose shard is in
    ``shards`` are listed; an empty set means all. ``epoch`` and ``after`` come
    from the last listing, ``start_slot`` from its page when it was whole.
    """

    epoch: int = 0
    after: int = 0
    stride: int = 1
    shards: frozenset[int] = frozenset()
    start_slot: int = 0

    def wants(self, change: StoreChange) -> bool:
        """Tell whether a line belongs into the answer."""
        if change.position % self.stride:
            return False
        return not self.shards or change.shard in self.shards


@dataclass(frozen=True, slots=True)
class Listing:
    """Published blocks, or what changed after the asked sequence.

    ``epoch`` is new when the store has lost its content. ``is_whole`` means that
    the listing replaces what was known before, because the asked sequence was too
    old for the store to tell only the changes; it then goes on at ``next_slot``
    unless that is 0. ``next_sequence`` is to be asked for next, and ``has_more``
    tells whether anything is there already.
    """

    epoch: int
    next_sequence: int
    changes: tuple[StoreChange, ...]
    is_whole: bool = False
    has_more: bool = False
    next_slot: int = 0


@dataclass(frozen=True, slots=True)
class Unfinished:
    """A slot whose write was begun and not published, and how long ago."""

    ref: BlockRef
    state: SlotState
    age_ms: int


@dataclass(frozen=True, slots=True)
class StoreUsage:
    """How many of a store's slots are used, in all and by each owner."""

    used: int
    capacity: int
    used_by_owner: dict[str, int]

    def is_nearly_full(self) -> bool:
        """Tell whether room should be made before writers are refused."""
        return self.used > _NEARLY_FULL * self.capacity

    def above_target(self) -> int:
        """Return how many slots to free."""
        return max(0, self.used - int(_TARGET * self.capacity))


@dataclass(frozen=True, slots=True)
class ColdBlock:
    """A published block that was not read for ``idle_ms``."""

    ref: BlockRef
    owner: str
    reads: int
    idle_ms: int


class StoreClient(Protocol):
    """One store VM; docs/platform/store.md writes the contract."""

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
        """Return descriptors of the longest prefix of ``keys`` that is kept."""

    async def read(self, ref: BlockRef) -> bytes | Miss | StoreUnavailable: ...

    async def abandon(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        """Give back slots of this generation that were not published."""

    async def raise_fence(
        self, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        """Have the store refuse every smaller fencing number from now on."""

    async def free(
        self, refs: tuple[BlockRef, ...], *, state: SlotState, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        """Free slots that still have this generation and this state."""

    async def unfinished(
        self, min_age_ms: int
    ) -> tuple[Unfinished, ...] | StoreUnavailable: ...

    async def list(self, query: ListQuery) -> Listing | StoreUnavailable: ...

    async def room(self) -> StoreUsage | StoreUnavailable: ...

    async def coldest(self, limit: int) -> tuple[ColdBlock, ...] | StoreUnavailable:
        """Return published blocks, those that were read longest ago first."""
