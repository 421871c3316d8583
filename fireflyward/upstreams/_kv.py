"""Messages about KV blocks between a node, an engine and a store.

The blocks themselves never pass through a node: the KV of one prompt is far
larger than what an entry VM should hold in memory. A node sends orders with block
descriptors, and the engine and the store transfer the bytes directly;
docs/platform/engine-kv.md describes the protocol.
"""

import enum
import hashlib
from dataclasses import dataclass

from fireflyward.decoding import Count, Int64

_CHECKSUM_BYTES = 16
_NUMBER_BYTES = 8


@dataclass(frozen=True, slots=True)
class BlockRef:
    """The place of one block: the descriptor of a slot in one of its generations.

    ``length`` and ``checksum`` are empty until the block is sealed; ``position``
    is 1 for the first block of a prompt. Reading with a descriptor of an earlier
    generation of the slot is a miss.
    """

    key: str
    store: str
    slot: Count
    generation: Count
    length: Count = 0
    checksum: str = ""
    position: Count = 0


class MissReason(enum.StrEnum):
    """Why a block was not used."""

    NOT_KEPT = "not_kept"
    OLD_GENERATION = "old_generation"
    WRONG_KEY = "wrong_key"
    WRONG_LENGTH = "wrong_length"
    WRONG_CHECKSUM = "wrong_checksum"
    WRONG_VERSION = "wrong_version"
    STORE_AWAY = "store_away"
    ENGINE_AWAY = "engine_away"
    DEADLINE = "deadline"
    NO_MEMORY = "no_memory"


@dataclass(frozen=True, slots=True)
class Miss:
    """A block that must be recomputed, and why."""

    key: str
    reason: MissReason


@dataclass(frozen=True, slots=True)
class ExportOrder:
    """An order to write cached blocks into slots that the node has reserved.

    ``url_by_store`` has the URL of each store in ``refs``. The engine writes and
    seals each block and reports the descriptors of the sealed blocks.
    """

    order_id: str
    model: str
    version: str
    refs: tuple[BlockRef, ...]
    url_by_store: dict[str, str]


@dataclass(frozen=True, slots=True)
class ExportReport:
    """The descriptors of the sealed blocks, and the blocks that were not sealed."""

    sealed: tuple[BlockRef, ...]
    missing: tuple[Miss, ...] = ()


@dataclass(frozen=True, slots=True)
class ImportOrder:
    """An order to load blocks, first to last, up to the first miss.

    ``limit_ms`` limits the duration of the order. Each loaded block, which then
    need not be computed, extends it by ``block_ms``. Blocks that were loaded within
    the limit stay usable. ``first_key`` is the key of the prompt's first block, for
    cache events.
    """

    order_id: str
    model: str
    version: str
    refs: tuple[BlockRef, ...]
    url_by_store: dict[str, str]
    limit_ms: int
    first_key: str = ""
    block_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ImportReport:
    """How many blocks, counted from the first, the engine has in its cache now."""

    blocks: Count
    bytes_read: Count = 0
    misses: tuple[Miss, ...] = ()


class CacheChange(enum.StrEnum):
    """What happened to a block in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's cache; ``sequence`` increases by one with each event.

    ``first_key`` is the key of the first block of the same prompt.
    """

    sequence: Int64
    change: CacheChange
    key: str
    position: Count = 0
    first_key: str = ""


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events after the requested sequence; ``epoch`` changes when the cache is lost.

    Events may be late, duplicated or lost. ``newest`` is the sequence of the
    engine's last event, ``last`` that of the last event which this response covers.
    The response has only events whose position is a multiple of the requested
    stride; ``skipped`` counts the others up to ``last``, so that a reader detects
    lost events. A request for the events after -1 returns the complete content of
    the cache, and ``is_whole`` is true.
    """

    epoch: str
    newest: Int64
    events: tuple[CacheEvent, ...] = ()
    last: Int64 = 0
    skipped: Int64 = 0
    is_whole: bool = False


def block_checksum(key: str, generation: int, payload: bytes) -> str:
    """Return the checksum that seals ``payload`` to its key and generation.

    The checksum covers the key and the generation, so the complete bytes of another
    block, or of an earlier block in the slot, do not match it.
    """
    digest = hashlib.blake2b(digest_size=_CHECKSUM_BYTES)
    name = key.encode()
    digest.update(len(name).to_bytes(_NUMBER_BYTES, "big") + name)
    digest.update(generation.to_bytes(_NUMBER_BYTES, "big"))
    digest.update(payload)
    return digest.hexdigest()
