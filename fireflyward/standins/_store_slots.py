"""Slots, sizes and faults of the store stand-in."""

from dataclasses import dataclass

from fireflyward.kept import SlotRequest, SlotState, StoreChange
from fireflyward.upstreams import BlockRef


@dataclass(frozen=True, slots=True)
class StoreCosts:
    """Sizes of the tiers in slots, and rates of the links in bytes per millisecond.

    ``block_bytes`` is the size of a block on a simulated link; the stand-ins' real
    payloads are smaller. ``log_changes`` is how many changes the store keeps for
    readers of its listing, and ``page`` the maximum number of entries per page.
    """

    memory_slots: int = 1_024
    disk_slots: int = 8_192
    block_bytes: int = 8 << 20
    link_bytes_per_ms: float = 1_250_000.0
    disk_bytes_per_ms: float = 500_000.0
    log_changes: int = 65_536
    page: int = 4_096


@dataclass(slots=True)
class StoreFaults:
    """Switches for the faults of a store.

    With ``full`` the store reserves no slots, and with ``unavailable`` all calls
    fail. ``wrong_bytes`` answers a read with another block's bytes,
    ``damaged_bytes`` with one bit flipped. ``lose_answers`` is how many of the next
    calls take effect although their answer is lost.
    """

    full: bool = False
    unavailable: bool = False
    delay_ms: float = 0.0
    wrong_bytes: bool = False
    damaged_bytes: bool = False
    lose_answers: int = 0


@dataclass(slots=True)
class Slot:
    """One slot; it gets a new ``generation`` each time it is reserved or freed."""

    number: int
    generation: int
    state: SlotState = SlotState.FREE
    key: str = ""
    position: int = 0
    payload: bytes | None = None
    checksum: str = ""
    shard: int = 0
    owner: str = ""
    reserved_at_ms: float = 0.0
    read_at_ms: float = 0.0
    reads: int = 0

    def fill(self, now_ms: float, generation: int, wanted: SlotRequest) -> None:
        """Reserve the slot for a block, with a new generation."""
        self.generation = generation
        self.state = SlotState.RESERVED
        self.key, self.position = wanted.key, wanted.position
        self.shard, self.owner = wanted.shard, wanted.owner
        self.reserved_at_ms = self.read_at_ms = now_ms
        self.reads = 0

    def clear(self, generation: int) -> None:
        """Free the slot; ``generation`` is the new generation of the free slot."""
        self.generation = generation
        self.state = SlotState.FREE
        self.key, self.position, self.checksum = "", 0, ""
        self.payload = None

    def change(self, *, is_kept: bool) -> StoreChange:
        """Return the listing entry for this slot's block."""
        return StoreChange(self.key, self.position, is_kept, self.shard)

    def ref(self, store: str) -> BlockRef:
        """Return the slot's current descriptor."""
        length = len(self.payload) if self.checksum and self.payload else 0
        return BlockRef(
            self.key,
            store,
            self.number,
            self.generation,
            length,
            self.checksum,
            self.position,
        )
