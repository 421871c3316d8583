"""Decides which pieces a store VM keeps in memory, keeps on disk or evicts."""

import random
from dataclasses import dataclass

from ._keep import KeepOffer
from ._plans import Tier

_SAMPLE_SIZE = 32
_ACCOUNT_SHARE = 0.35
_MIN_HALF_LIFE_MS = 6 * 3_600_000.0
_GAPS_TO_HALVE = 2.0
_MIN_VALUE_RATIO = 1.05


@dataclass(frozen=True, slots=True)
class Admit:
    """Write the piece to memory, delete ``evicted`` and move ``demoted`` to disk."""

    evicted: tuple[str, ...] = ()
    demoted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Decline:
    """Do not store the piece; the piece that it would replace is worth more."""


@dataclass(slots=True)
class _Entry:
    account: str
    reuses: float
    half_life_ms: float
    touched_ms: float
    tier: Tier
    depth: int

    def value(self, now_ms: float) -> float:
        """Return the estimated remaining reuses, which halve with each half-life."""
        idle_ms = max(0.0, now_ms - self.touched_ms)
        return self.reuses * 2 ** (-idle_ms / self.half_life_ms)


class _KeySet:
    """A set of keys with random sampling and removal in constant time."""

    __slots__ = ("_keys", "_index_by_key")

    def __init__(self) -> None:
        self._keys: list[str] = []
        self._index_by_key: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: str) -> None:
        self._index_by_key[key] = len(self._keys)
        self._keys.append(key)

    def remove(self, key: str) -> None:
        index = self._index_by_key.pop(key)
        last = self._keys.pop()
        if last != key:
            self._keys[index] = last
            self._index_by_key[last] = index

    def sample(self, source: random.Random, size: int) -> list[str]:
        if len(self._keys) <= size:
            return list(self._keys)
        count = len(self._keys)
        return [self._keys[int(source.random() * count)] for _ in range(size)]


class StoreSpace:
    """Manages the pieces of one store; does no I/O.

    New pieces are written to memory. If memory is full, the least valuable piece of a
    random sample in memory is moved to disk. If the store is full, the least valuable
    piece of a sample on disk is evicted, unless it is more valuable than the new
    piece. If the new piece's account already uses its share of the store, one of the
    account's own pieces is evicted instead, so that a large account cannot displace
    the others. A piece read from disk is moved back to memory if it is more valuable
    than a piece there.

    >>> space = StoreSpace(memory_pieces=100, disk_pieces=1_000)
    >>> len(space)
    0
    """

    __slots__ = (
        "_account_limit",
        "_entry_by_key",
        "_keys_by_account",
        "_keys_by_tier",
        "_pieces_by_tier",
        "_random",
    )

    def __init__(
        self,
        *,
        memory_pieces: int,
        disk_pieces: int,
        account_share: float = _ACCOUNT_SHARE,
        seed: int = 0,
    ) -> None:
        self._pieces_by_tier = {Tier.MEMORY: memory_pieces, Tier.DISK: disk_pieces}
        self._account_limit = max(1, int(account_share * (memory_pieces + disk_pieces)))
        self._entry_by_key: dict[str, _Entry] = {}
        self._keys_by_tier = {tier: _KeySet() for tier in Tier}
        self._keys_by_account: dict[str, _KeySet] = {}
        self._random = random.Random(seed)

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def __repr__(self) -> str:
        memory, disk = (len(self._keys_by_tier[tier]) for tier in Tier)
        return f"StoreSpace({memory} in memory, {disk} on disk)"

    def tier(self, key: str) -> Tier | None:
        """Return the tier of a piece, or None if the store does not have it."""
        entry = self._entry_by_key.get(key)
        return entry.tier if entry else None

    def used(self, tier: Tier) -> int:
        """Return the number of pieces in a tier."""
        return len(self._keys_by_tier[tier])

    def account_pieces(self, account: str) -> int:
        """Return the number of an account's pieces in the store."""
        return len(self._keys_by_account.get(account, ()))

    def offer(self, now_ms: float, offer: KeepOffer) -> Admit | Decline:
        """Make room for a piece and add it, or decline it."""
        key = offer.piece.key
        if key in self._entry_by_key:
            self.touch(now_ms, key, offer.reuses)
            return Admit()
        entry = _Entry(
            offer.account,
            offer.reuses,
            max(_MIN_HALF_LIFE_MS, _GAPS_TO_HALVE * offer.gap_ms),
            now_ms,
            Tier.MEMORY,
            offer.piece.first,
        )
        evicted: tuple[str, ...] = ()
        if len(self) >= sum(self._pieces_by_tier.values()):
            victim = self._choose_victim(now_ms, offer.account)
            victim_value = self._entry_by_key[victim].value(now_ms) * _MIN_VALUE_RATIO
            if victim_value >= offer.reuses:
                return Decline()
            self.remove(victim)
            evicted = (victim,)
        demoted = self._make_room_in_memory(now_ms)
        self._insert(key, entry)
        return Admit(evicted, demoted)

    def touch(
        self, now_ms: float, key: str, reuses: float = 0.0, *, is_read: bool = True
    ) -> bool:
        """Record the use of a piece; return whether it was moved back to memory.

        Only a piece that was read from the store is moved. If an engine still has the
        piece cached (``is_read`` is false), only its use is recorded.
        """
        entry = self._entry_by_key.get(key)
        if entry is None:
            return False
        entry.touched_ms = now_ms
        entry.reuses = max(entry.reuses, reuses)
        if entry.tier is Tier.MEMORY or not is_read:
            return False
        return self._promote(now_ms, key, entry)

    def remove(self, key: str) -> None:
        """Remove a piece that was evicted or found to be missing."""
        entry = self._entry_by_key.pop(key, None)
        if entry is None:
            return
        self._keys_by_tier[entry.tier].remove(key)
        keys = self._keys_by_account[entry.account]
        keys.remove(key)
        if not keys:
            del self._keys_by_account[entry.account]

    def _insert(self, key: str, entry: _Entry) -> None:
        self._entry_by_key[key] = entry
        self._keys_by_tier[entry.tier].add(key)
        self._keys_by_account.setdefault(entry.account, _KeySet()).add(key)

    def _choose_victim(self, now_ms: float, account: str) -> str:
        """Return the piece to evict for a new piece of an account."""
        if self.account_pieces(account) >= self._account_limit:
            keys = self._keys_by_account[account]
        else:
            disk = self._keys_by_tier[Tier.DISK]
            keys = disk if len(disk) else self._keys_by_tier[Tier.MEMORY]
        return self._least_valuable(now_ms, keys)

    def _least_valuable(self, now_ms: float, keys: _KeySet) -> str:
        entries = self._entry_by_key
        return min(
            keys.sample(self._random, _SAMPLE_SIZE),
            key=lambda key: (entries[key].value(now_ms), -entries[key].depth, key),
        )

    def _make_room_in_memory(self, now_ms: float) -> tuple[str, ...]:
        """Move one piece to disk if memory is full; return the moved keys."""
        memory = self._keys_by_tier[Tier.MEMORY]
        if len(memory) < self._pieces_by_tier[Tier.MEMORY]:
            return ()
        key = self._least_valuable(now_ms, memory)
        self._move(key, Tier.DISK)
        return (key,)

    def _promote(self, now_ms: float, key: str, entry: _Entry) -> bool:
        memory = self._keys_by_tier[Tier.MEMORY]
        if len(memory) < self._pieces_by_tier[Tier.MEMORY]:
            self._move(key, Tier.MEMORY)
            return True
        if not len(memory):
            return False
        other = self._least_valuable(now_ms, memory)
        if self._entry_by_key[other].value(now_ms) >= entry.value(now_ms):
            return False
        self._move(other, Tier.DISK)
        self._move(key, Tier.MEMORY)
        return True

    def _move(self, key: str, tier: Tier) -> None:
        entry = self._entry_by_key[key]
        self._keys_by_tier[entry.tier].remove(key)
        self._keys_by_tier[tier].add(key)
        entry.tier = tier
