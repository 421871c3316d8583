"""Which replica most likely holds a prompt's first blocks in its cache."""

from fireflyward.rendezvous import rendezvous_rank
from fireflyward.upstreams import BLOCK_TOKENS

from ._candidate import RunShape

_STRIDE = 4
_SESSION_BLOCK = 7
_KEPT_ENTRIES = 65_536
_REPLICAS_AT_ONCE = 4
_HOMES = 2
_LEARNING_RATE = 0.05
_FIRST_HOME_SHARE = 0.5
_REMEMBERED_HOMES = 4_096


class PrefixRecord:
    """Remembers which replicas were recently given which prefixes.

    Block keys form a chain, so a key that is known for a replica stands for every
    block before it. Every fourth key and the last are kept, which is exact to 256
    tokens and keeps a prompt of 1,500 blocks at 375 entries.

    Entries live in two generations: what is used moves to the new one, and when
    that holds half of the entries the old one is dropped. It keeps the recently
    used half exactly and costs a third of an ordered dictionary's memory, which
    counts on a node that has 64 MB for control. A key is kept as its hash; two
    keys with one hash would make a wrong guess of what a replica has cached, which
    the replica's own answer corrects.

    >>> record = PrefixRecord()
    >>> record.add("a", ("k0", "k1", "k2"))
    >>> record.cached_tokens(("k0", "k1", "k2", "k3"))
    {'a': 192}
    """

    __slots__ = ("_half", "_known_names", "_new", "_old")

    def __init__(self, *, kept_entries: int = _KEPT_ENTRIES) -> None:
        self._half = max(1, kept_entries // 2)
        self._new: dict[int, tuple[str, ...]] = {}
        self._old: dict[int, tuple[str, ...]] = {}
        self._known_names: dict[tuple[str, ...], tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._new) + sum(key not in self._new for key in self._old)

    def add(self, replica: str, block_keys: tuple[str, ...]) -> None:
        """Note that a replica has been given a prompt of these blocks."""
        last = len(block_keys) - 1
        for depth in range(last, -1, -1):
            if depth % _STRIDE == _STRIDE - 1 or depth == last:
                self._note(replica, hash(block_keys[depth]))

    def cached_tokens(self, block_keys: tuple[str, ...]) -> dict[str, int]:
        """Return by replica the tokens of the longest known prefix."""
        tokens_by_replica: dict[str, int] = {}
        for depth in range(len(block_keys) - 1, -1, -1):
            for replica in self._replicas(hash(block_keys[depth])):
                tokens_by_replica.setdefault(replica, (depth + 1) * BLOCK_TOKENS)
        return tokens_by_replica

    def forget(self, replica: str) -> None:
        """Forget a replica whose cache is gone, for example after its restart."""
        for generation in (self._new, self._old):
            for key, replicas in list(generation.items()):
                if replica in replicas:
                    left = tuple(name for name in replicas if name != replica)
                    generation[key] = self._shared(left)

    def _replicas(self, key: int) -> tuple[str, ...]:
        found = self._new.get(key)
        return self._old.get(key, ()) if found is None else found

    def _note(self, replica: str, key: int) -> None:
        known = self._replicas(key)
        others = tuple(name for name in known if name != replica)
        names = (replica, *others[: _REPLICAS_AT_ONCE - 1])
        self._new[key] = self._shared(names)
        if len(self._new) >= self._half:
            self._old, self._new = self._new, {}
            self._known_names.clear()

    def _shared(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return one tuple for all entries with the same names."""
        return self._known_names.setdefault(names, names)


def session_key(block_keys: tuple[str, ...]) -> str | None:
    """Return the key by which prompts with one long beginning are recognised.

    Prompts that share fewer than 512 tokens share too little to travel for.
    """
    if not block_keys:
        return None
    return block_keys[min(_SESSION_BLOCK, len(block_keys) - 1)]


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Return names by their rank for a key, the home first."""
    return sorted(names, key=lambda name: rendezvous_rank(key, name), reverse=True)


class PrefixAffinity:
    """Expects how much of a prompt each replica has cached.

    For a prefix that this node sent before, its own record says where. Of one
    that it never sent, the rendezvous homes hold as much as such homes turned out
    to hold on average (``home_share``), since every other node prefers them too.
    """

    __slots__ = (
        "_expected_by_replica",
        "_homes_by_key",
        "_names_by_model",
        "_shape",
        "home_share",
        "record",
    )

    def __init__(self, record: PrefixRecord | None = None) -> None:
        self.record = record or PrefixRecord()
        self.home_share = _FIRST_HOME_SHARE
        self._names_by_model: dict[str, list[str]] = {}
        self._homes_by_key: dict[tuple[str, str], list[str]] = {}
        self._shape: RunShape | None = None
        self._expected_by_replica: dict[str, float] = {}

    def set_names(self, names_by_model: dict[str, list[str]]) -> None:
        """Take the replicas among which prefixes have their homes."""
        self._names_by_model = names_by_model
        self._homes_by_key.clear()
        self._shape = None

    def expected_tokens(self, shape: RunShape) -> dict[str, float]:
        """Return by replica the tokens that it likely need not compute."""
        if shape is not self._shape:
            self._shape = shape
            self._expected_by_replica = self._look_up(shape)
        return self._expected_by_replica

    def on_cached(self, name: str, shape: RunShape, cached_tokens: int) -> None:
        """Learn from a replica's own word what a home holds on average."""
        homes = self._homes(shape)
        if not homes or homes[0] != name or not shape.prompt_tokens:
            return
        seen = min(1.0, cached_tokens / shape.prompt_tokens)
        self.home_share += _LEARNING_RATE * (seen - self.home_share)

    def _look_up(self, shape: RunShape) -> dict[str, float]:
        expected: dict[str, float] = dict(self.record.cached_tokens(shape.block_keys))
        guessed = shape.prompt_tokens * self.home_share
        for place, name in enumerate(self._homes(shape), start=1):
            expected.setdefault(name, guessed / place)
        return expected

    def _homes(self, shape: RunShape) -> list[str]:
        key = session_key(shape.block_keys)
        if key is None:
            return []
        known = self._homes_by_key.get((shape.model, key))
        if known is None:
            names = self._names_by_model.get(shape.model, [])
            known = rendezvous_order(key, names)[:_HOMES]
            if len(self._homes_by_key) >= _REMEMBERED_HOMES:
                self._homes_by_key.clear()
            self._homes_by_key[shape.model, key] = known
        return known
