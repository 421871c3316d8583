"""Messages about KV blocks that pass between a node, an engine and a store.

The blocks themselves never pass through a node: the KV of one prompt is far
larger than an entry VM should hold. A node orders with descriptors, and engine and
store move the bytes between them, as docs/platform/engine-kv.md writes it.
"""

import enum
import hashlib
from dataclasses import dataclass

_CHECKSUM_BYTES = 16
_NUMBER_BYTES = 8


@dataclass(frozen=True, slots=True)
class BlockRef:
    """Where one block is kept: descriptor of a slot in one of its generations.

    ``length`` and ``checksum`` are empty until the block is sealed; ``position``
    is 1 for the first block of a prompt. A reader that holds a descriptor of an
    earlier generation gets a miss.
    """

    key: str
    store: str
    slot: int
    generation: int
    length: int = 0
    checksum: str = ""
    position: int = 0


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
    """Write these cached blocks into slots that the node has reserved.

    ``url_by_store`` tells where each store of ``refs`` is reached. The engine
    writes and seals each block and reports the sealed descriptors.
    """

    order_id: str
    model: str
    version: str
    refs: tuple[BlockRef, ...]
    url_by_store: dict[str, str]


@dataclass(frozen=True, slots=True)
class ExportReport:
    """Descriptors of the blocks that are sealed now, and the blocks that are not."""

    sealed: tuple[BlockRef, ...]
    missing: tuple[Miss, ...] = ()


@dataclass(frozen=True, slots=True)
class ImportOrder:
    """Load these blocks, first to last, and stop at the first that is in doubt.

    ``limit_ms`` bounds the order and grows by ``block_ms`` with each block that was
    loaded, which need not be computed; blocks loaded by then stay usable.
    ``first_key`` is the key of the prompt's first block, for cache events.
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
    """How many blocks, counted from the first, the engine holds now."""

    blocks: int
    bytes_read: int = 0
    misses: tuple[Miss, ...] = ()


class CacheChange(enum.StrEnum):
    """What happened to a block in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's cache; ``sequence`` grows by one with each.

    ``first_key`` is the key of the first block of the prompt that the block is of.
    """

    sequence: int
    change: CacheChange
    key: str
    position: int = 0
    first_key: str = ""


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events after the asked sequence; ``epoch`` changes when the cache is lost.

    Events may come late, twice or not at all. ``newest`` is the sequence of the
    engine's last event, ``last`` that of the last which this answer covers. Only
    those whose position is a multiple of the asked stride are told; ``skipped``
    counts the others up to ``last``, so that a reader notices what it did not get.
    Asked after -1 the engine tells all that it holds now, and ``is_whole`` is true.
    """

    epoch: str
    newest: int
    events: tuple[CacheEvent, ...] = ()
    last: int = 0
    skipped: int = 0
    is_whole: bool = False


def block_checksum(key: str, generation: int, payload: bytes) -> str:
    """Return the checksum that seals ``payload`` to its key and generation.

    Key and generation are part of it, so the bytes of another block, or those
    that the slot held before, do not fit even though they are whole.
    """
    digest = hashlib.blake2b(digest_size=_CHECKSUM_BYTES)
    name = key.encode()
    digest.update(len(name).to_bytes(_NUMBER_BYTES, "big") + name)
    digest.update(generation.to_bytes(_NUMBER_BYTES, "big"))
    digest.update(payload)
    return digest.hexdigest()
