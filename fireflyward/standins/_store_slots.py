"""Slots, sizes and faults of the store stand-in."""

from dataclasses import dataclass

from fireflyward.kept import SlotRequest, SlotState, StoreChange
from fireflyward.upstreams import BlockRef


@dataclass(frozen=True, slots=True)
class StoreCosts:
    """Sizes of the tiers in slots, and rates of the links in bytes a millisecond.

    ``block_bytes`` is what a block counts for on a link; the payloads that the
    stand-ins move are smaller. ``log_changes`` is how many changes the store
    remembers for readers of its listing, ``page`` the most that it lists at once.
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
    """Switches: what goes wrong from now on.

    ``wrong_bytes`` answers a read with another block's bytes, ``damaged_bytes``
    with one bit turned; ``lose_answers`` counts the calls to come that take effect
    though their answer is lost.
    """

    full: bool = False
    dead: bool = False
    late_ms: float = 0.0
    wrong_bytes: bool = False
    damaged_bytes: bool = False
    lose_answers: int = 0


@dataclass(slots=True)
class Slot:
    """One slot; ``generation`` is new each time that it is reserved or freed."""

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
        """Begin a new generation for a block."""
        self.generation = generation
        self.state = SlotState.RESERVED
        self.key, self.position = wanted.key, wanted.position
        self.shard, self.owner = wanted.shard, wanted.owner
        self.reserved_at_ms = self.read_at_ms = now_ms
        self.reads = 0

    def clear(self, generation: int) -> None:
        """End the generation; ``generation`` is that of the free slot."""
        self.generation = generation
        self.state = SlotState.FREE
        self.key, self.position, self.checksum = "", 0, ""
        self.payload = None

    def change(self, *, is_kept: bool) -> StoreChange:
        """Return the line of the listing that tells of this slot's block."""
        return StoreChange(self.key, self.position, is_kept, self.shard)

    def ref(self, store: str) -> BlockRef:
        """Return the slot's descriptor as it is now."""
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
