"""Estimates which replicas have the first blocks of a prompt in their cache."""

from fireflyward.rendezvous import rendezvous_rank
from fireflyward.upstreams import BLOCK_TOKENS

from ._candidate import RunShape

_KEY_STRIDE = 4
_SESSION_KEY_INDEX = 7
_MAX_RECORD_ENTRIES = 65_536
_MAX_REPLICAS_PER_KEY = 4
_PREFERRED_REPLICAS = 2
_CACHED_SHARE_SMOOTHING = 0.05
_INITIAL_CACHED_SHARE = 0.5
_MAX_CACHED_PREFERENCES = 4_096


class PrefixRecord:
    """Records which prefixes this node recently sent to which replicas.

    Block keys form a chain, so an entry for one key of a replica covers every
    block before it. Only every fourth key and the last key of a prompt are stored.
    This is exact to 256 tokens and needs 375 entries for a prompt of 1,500 blocks.

    Entries are stored in two generations. An entry that is added again moves to the
    recent generation. When the recent generation holds half of the allowed entries,
    it replaces the previous one, whose entries are dropped. The more recently used
    half of the entries is always retained, and the memory needed is a third of that
    of an ordered dictionary; a node has only 64 MB for control data.

    Keys are stored as hashes. If two keys have the same hash, the estimate of the
    cached tokens is wrong until the replica reports the actual number.

    >>> record = PrefixRecord()
    >>> record.add("a", ("k0", "k1", "k2"))
    >>> record.cached_tokens(("k0", "k1", "k2", "k3"))
    {'a': 192}
    """

    __slots__ = ("_generation_limit", "_interned_names", "_recent", "_previous")

    def __init__(self, *, max_entries: int = _MAX_RECORD_ENTRIES) -> None:
        self._generation_limit = max(1, max_entries // 2)
        self._recent: dict[int, tuple[str, ...]] = {}
        self._previous: dict[int, tuple[str, ...]] = {}
        self._interned_names: dict[tuple[str, ...], tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._recent) + sum(
            key not in self._recent for key in self._previous
        )

    def add(self, replica: str, block_keys: tuple[str, ...]) -> None:
        """Record that a prompt with these blocks was sent to a replica."""
        last = len(block_keys) - 1
        for depth in range(last, -1, -1):
            if depth % _KEY_STRIDE == _KEY_STRIDE - 1 or depth == last:
                self._record_key(replica, hash(block_keys[depth]))

    def cached_tokens(self, block_keys: tuple[str, ...]) -> dict[str, int]:
        """Return for each replica the tokens of the longest recorded prefix."""
        tokens_by_replica: dict[str, int] = {}
        for depth in range(len(block_keys) - 1, -1, -1):
            for replica in self._replicas(hash(block_keys[depth])):
                tokens_by_replica.setdefault(replica, (depth + 1) * BLOCK_TOKENS)
        return tokens_by_replica

    def remove_replica(self, replica: str) -> None:
        """Remove a replica whose cache was lost, for example in a restart."""
        for generation in (self._recent, self._previous):
            for key, replicas in list(generation.items()):
                if replica in replicas:
                    remaining = tuple(name for name in replicas if name != replica)
                    generation[key] = self._intern(remaining)

    def _replicas(self, key: int) -> tuple[str, ...]:
        found = self._recent.get(key)
        return self._previous.get(key, ()) if found is None else found

    def _record_key(self, replica: str, key: int) -> None:
        recorded = self._replicas(key)
        others = tuple(name for name in recorded if name != replica)
        names = (replica, *others[: _MAX_REPLICAS_PER_KEY - 1])
        self._recent[key] = self._intern(names)
        if len(self._recent) >= self._generation_limit:
            self._previous, self._recent = self._recent, {}
            self._interned_names.clear()

    def _intern(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the one tuple object that all entries with these names share."""
        return self._interned_names.setdefault(names, names)


def session_key(block_keys: tuple[str, ...]) -> str | None:
    """Return the key that prompts with the same first 512 tokens have in common.

    A shared prefix shorter than that is not worth sending a prompt to another
    replica for. A shorter prompt is identified by the key of its last full block.
    """
    if not block_keys:
        return None
    return block_keys[min(_SESSION_KEY_INDEX, len(block_keys) - 1)]


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Return names ordered by their rank for a key, the preferred one first."""
    return sorted(names, key=lambda name: rendezvous_rank(key, name), reverse=True)


class PrefixAffinity:
    """Estimates how much of a prompt each replica has cached.

    For a prefix that this node sent before, the estimate comes from its own record.
    For other prefixes, the replicas that rendezvous hashing prefers are assumed to
    have the average share cached that preferred replicas reported so far
    (``preferred_cached_share``), because all nodes prefer the same replicas.
    """

    __slots__ = (
        "_estimate_by_replica",
        "_preferred_by_key",
        "_names_by_model",
        "_shape",
        "preferred_cached_share",
        "record",
    )

    def __init__(self, record: PrefixRecord | None = None) -> None:
        self.record = record or PrefixRecord()
        self.preferred_cached_share = _INITIAL_CACHED_SHARE
        self._names_by_model: dict[str, list[str]] = {}
        self._preferred_by_key: dict[tuple[str, str], list[str]] = {}
        self._shape: RunShape | None = None
        self._estimate_by_replica: dict[str, float] = {}

    def set_replicas(self, names_by_model: dict[str, list[str]]) -> None:
        """Set the replicas from which the preferred ones of a prefix are chosen."""
        self._names_by_model = names_by_model
        self._preferred_by_key.clear()
        self._shape = None

    def estimate_cached_tokens(self, shape: RunShape) -> dict[str, float]:
        """Return for each replica the estimated number of cached prompt tokens."""
        if shape is not self._shape:
            self._shape = shape
            self._estimate_by_replica = self._compute_estimate(shape)
        return self._estimate_by_replica

    def on_cached_tokens(self, name: str, shape: RunShape, cached_tokens: int) -> None:
        """Update the average cached share if the preferred replica reported it."""
        preferred = self._preferred_replicas(shape)
        if not preferred or preferred[0] != name or not shape.prompt_tokens:
            return
        sample = min(1.0, cached_tokens / shape.prompt_tokens)
        self.preferred_cached_share += _CACHED_SHARE_SMOOTHING * (
            sample - self.preferred_cached_share
        )

    def _compute_estimate(self, shape: RunShape) -> dict[str, float]:
        by_replica: dict[str, float] = dict(self.record.cached_tokens(shape.block_keys))
        estimated = shape.prompt_tokens * self.preferred_cached_share
        for rank, name in enumerate(self._preferred_replicas(shape), start=1):
            by_replica.setdefault(name, estimated / rank)
        return by_replica

    def _preferred_replicas(self, shape: RunShape) -> list[str]:
        key = session_key(shape.block_keys)
        if key is None:
            return []
        preferred = self._preferred_by_key.get((shape.model, key))
        if preferred is None:
            names = self._names_by_model.get(shape.model, [])
            preferred = rendezvous_order(key, names)[:_PREFERRED_REPLICAS]
            if len(self._preferred_by_key) >= _MAX_CACHED_PREFERENCES:
                self._preferred_by_key.clear()
            self._preferred_by_key[shape.model, key] = preferred
        return preferred
