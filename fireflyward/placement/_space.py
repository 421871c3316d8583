"""What a store VM's memory and disk hold, and what gives way."""

import random
from dataclasses import dataclass

from ._keep import KeepOffer
from ._plans import Tier

_SAMPLE = 32
_ACCOUNT_SHARE = 0.35
_LEAST_HALF_LIFE_MS = 6 * 3_600_000.0
_GAPS_TO_HALVE = 2.0
_SAME_WORTH = 1.05


@dataclass(frozen=True, slots=True)
class Admit:
    """Write the piece to memory; ``evicted`` keys are freed and others demoted."""

    evicted: tuple[str, ...] = ()
    demoted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Decline:
    """Everything that would have to give way is worth more."""


@dataclass(slots=True)
class _Entry:
    account: str
    reuses: float
    half_life_ms: float
    touched_ms: float
    tier: Tier
    depth: int

    def worth(self, now_ms: float) -> float:
        """Return the expected reuses that remain, halved with each half-life."""
        idle_ms = max(0.0, now_ms - self.touched_ms)
        return self.reuses * 2 ** (-idle_ms / self.half_life_ms)


class _KeySet:
    """Keys in an order that allows a random sample, and removal, in O(1)."""

    __slots__ = ("_keys", "_place_by_key")

    def __init__(self) -> None:
        self._keys: list[str] = []
        self._place_by_key: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: str) -> None:
        self._place_by_key[key] = len(self._keys)
        self._keys.append(key)

    def remove(self, key: str) -> None:
        place = self._place_by_key.pop(key)
        last = self._keys.pop()
        if last != key:
            self._keys[place] = last
            self._place_by_key[last] = place

    def sample(self, source: random.Random, size: int) -> list[str]:
        if len(self._keys) <= size:
            return list(self._keys)
        count = len(self._keys)
        return [self._keys[int(source.random() * count)] for _ in range(size)]


class StoreSpace:
    """Accounts one store's places, in pieces; decides without I/O.

    New pieces go to memory; the least worth of a sample there moves to disk, and
    the least worth of a sample on disk is evicted, if it is worth less than the
    newcomer. An account that holds more than its share of a full store gives way
    with its own pieces first, so that a large one cannot wash out the rest. A piece
    read from disk comes back to memory when it is worth more than one there.

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
        """Return where a piece lies, or None."""
        entry = self._entry_by_key.get(key)
        return entry.tier if entry else None

    def used(self, tier: Tier) -> int:
        """Return the pieces in a tier."""
        return len(self._keys_by_tier[tier])

    def account_pieces(self, account: str) -> int:
        """Return the pieces that an account has in the store."""
        return len(self._keys_by_account.get(account, ()))

    def offer(self, now_ms: float, offer: KeepOffer) -> Admit | Decline:
        """Make room for a piece and account it, or decline it."""
        key = offer.piece.key
        if key in self._entry_by_key:
            self.touch(now_ms, key, offer.reuses)
            return Admit()
        entry = _Entry(
            offer.account,
            offer.reuses,
            max(_LEAST_HALF_LIFE_MS, _GAPS_TO_HALVE * offer.gap_ms),
            now_ms,
            Tier.MEMORY,
            offer.piece.first,
        )
        evicted: tuple[str, ...] = ()
        if len(self) >= sum(self._pieces_by_tier.values()):
            victim = self._victim(now_ms, offer.account)
            gives_way = self._entry_by_key[victim].worth(now_ms) * _SAME_WORTH
            if gives_way >= offer.reuses:
                return Decline()
            self.remove(victim)
            evicted = (victim,)
        demoted = self._make_memory(now_ms)
        self._insert(key, entry)
        return Admit(evicted, demoted)

    def touch(
        self, now_ms: float, key: str, reuses: float = 0.0, *, is_read: bool = True
    ) -> bool:
        """Take a use of a piece; tell whether it came back to memory by it.

        Only a piece that was read from disk can; of one that an engine still has
        it is enough to know that it is in use.
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
        """Take a piece off the account: evicted, or found to be gone."""
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

    def _victim(self, now_ms: float, account: str) -> str:
        """Return the least worth of a sample, an account's own if it has too much."""
        if self.account_pieces(account) >= self._account_limit:
            keys = self._keys_by_account[account]
        else:
            disk = self._keys_by_tier[Tier.DISK]
            keys = disk if len(disk) else self._keys_by_tier[Tier.MEMORY]
        return self._least(now_ms, keys)

    def _least(self, now_ms: float, keys: _KeySet) -> str:
        entries = self._entry_by_key
        return min(
            keys.sample(self._random, _SAMPLE),
            key=lambda key: (entries[key].worth(now_ms), -entries[key].depth, key),
        )

    def _make_memory(self, now_ms: float) -> tuple[str, ...]:
        """Demote one piece if memory is full and disk is not."""
        memory = self._keys_by_tier[Tier.MEMORY]
        if len(memory) < self._pieces_by_tier[Tier.MEMORY]:
            return ()
        key = self._least(now_ms, memory)
        self._move(key, Tier.DISK)
        return (key,)

    def _promote(self, now_ms: float, key: str, entry: _Entry) -> bool:
        memory = self._keys_by_tier[Tier.MEMORY]
        if len(memory) < self._pieces_by_tier[Tier.MEMORY]:
            self._move(key, Tier.MEMORY)
            return True
        if not len(memory):
            return False
        other = self._least(now_ms, memory)
        if self._entry_by_key[other].worth(now_ms) >= entry.worth(now_ms):
            return False
        self._move(other, Tier.DISK)
        self._move(key, Tier.MEMORY)
        return True

    def _move(self, key: str, tier: Tier) -> None:
        entry = self._entry_by_key[key]
        self._keys_by_tier[entry.tier].remove(key)
        self._keys_by_tier[tier].add(key)
        entry.tier = tier
