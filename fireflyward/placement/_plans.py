"""What passes between the index, placement, routing and what executes a plan."""

import enum
from dataclasses import dataclass, field


class Tier(enum.StrEnum):
    """Where on a store VM a block lies."""

    MEMORY = "memory"
    DISK = "disk"


@dataclass(frozen=True, slots=True)
class StoredRun:
    """Consecutive blocks of one prompt on one store.

    ``first`` counts from 0 in the prompt's ``block_keys``; the run covers
    ``block_keys[first : first + blocks]``.
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
    """What the index says of one prompt: a hint, which may be late or wrong.

    ``cached_blocks_by_replica`` gives the length in blocks of the longest prefix that each
    replica's own cache has; a replica that is missing there has none.

    >>> PrefixLocations({"calc-1": 12}).held("calc-2")
    0
    """

    cached_blocks_by_replica: dict[str, int] = field(default_factory=dict)
    stored: tuple[StoredRun, ...] = ()

    def held(self, replica: str) -> int:
        """Return how many leading blocks a replica has."""
        return self.cached_blocks_by_replica.get(replica, 0)


@dataclass(frozen=True, slots=True)
class Reuse:
    """Send the prompt as it is: the replica has ``blocks`` leading blocks."""

    blocks: int


@dataclass(frozen=True, slots=True)
class Import:
    """Import ``block_keys[first : first + blocks]`` in that order, then send.

    The replica has or computes everything before ``first`` and computes everything
    after the run. What it has of ``block_keys[:first]`` is touched before loading:
    loading would else evict the prompt's own beginning, and nothing be gained.

    The executor gives the import up as soon as its ``ImportWatch`` says so, keeps
    what has arrived and sends the prompt: ``block_ms`` is what the replica needs to
    compute one block and ``allowance_ms`` how much later than recomputing the
    prompt may become through the import.
    """

    store: str
    first: int
    blocks: int
    block_ms: float
    allowance_ms: float


@dataclass(frozen=True, slots=True)
class Recompute:
    """Send the prompt as it is: nothing of it is kept anywhere of use."""


Plan = Reuse | Import | Recompute


@dataclass(frozen=True, slots=True)
class Estimate:
    """A way of serving a prompt and what it is expected to take.

    ``first_token_ms`` is made of ``queue_ms``, loading beyond that, and
    ``compute_ms``; ``reused_blocks`` are the prompt's blocks that are not computed.
    """

    replica: str
    first_token_ms: float
    plan: Plan
    reused_blocks: int
    compute_ms: float
    queue_ms: float
