"""Types shared by the index, placement, routing and the execution of plans."""

import enum
from dataclasses import dataclass, field


class Tier(enum.StrEnum):
    """The storage of a store VM in which a block is kept."""

    MEMORY = "memory"
    DISK = "disk"


@dataclass(frozen=True, slots=True)
class StoredRun:
    """Consecutive blocks of one prompt in one store.

    The run covers ``block_keys[first : first + blocks]`` of the prompt.
    """

    store: str
    first: int
    blocks: int
    tier: Tier = Tier.MEMORY

    @property
    def end(self) -> int:
        """Return the index of the first block after the run."""
        return self.first + self.blocks


@dataclass(frozen=True, slots=True)
class PrefixLocations:
    """The locations of a prompt's blocks; a hint, which may be outdated or wrong.

    ``cached_blocks_by_replica`` contains the length in blocks of the longest prefix
    in each replica's own cache. A replica that is not listed has no cached prefix.

    >>> PrefixLocations({"calc-1": 12}).cached_blocks("calc-2")
    0
    """

    cached_blocks_by_replica: dict[str, int] = field(default_factory=dict)
    stored: tuple[StoredRun, ...] = ()

    def cached_blocks(self, replica: str) -> int:
        """Return the number of leading blocks that a replica has cached."""
        return self.cached_blocks_by_replica.get(replica, 0)


@dataclass(frozen=True, slots=True)
class Reuse:
    """Send the prompt as it is; the replica has ``blocks`` leading blocks cached."""

    blocks: int


@dataclass(frozen=True, slots=True)
class Import:
    """Import ``block_keys[first : first + blocks]`` in order, then send the prompt.

    The replica has or computes all blocks before ``first`` and computes all blocks
    after the imported ones. Its cached blocks in ``block_keys[:first]`` are touched
    before loading. Otherwise the import could evict the beginning of the same prompt
    and save nothing.

    The executor aborts the import at the time that ``ImportWatch`` determines, uses
    the blocks that have arrived and sends the prompt. ``block_ms`` is the time that
    the replica needs to compute one block. ``allowance_ms`` is how much later the
    first token may arrive because of the import than by recomputing.
    """

    store: str
    first: int
    blocks: int
    block_ms: float
    allowance_ms: float


@dataclass(frozen=True, slots=True)
class Recompute:
    """Send the prompt as it is; none of its blocks are cached or worth importing."""


Plan = Reuse | Import | Recompute


@dataclass(frozen=True, slots=True)
class Estimate:
    """A plan for serving a prompt, with its estimated times.

    ``first_token_ms`` is the sum of ``queue_ms``, the loading time beyond that, and
    ``compute_ms``. ``reused_blocks`` is the number of blocks that are not computed.
    """

    replica: str
    first_token_ms: float
    plan: Plan
    reused_blocks: int
    compute_ms: float
    queue_ms: float
