"""An index of the stores and replicas that probably have the prefix of a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ._stores import SHARDS, StoreChange, shard_of

INDEX_STRIDE = 8
_ENTRY_DIGITS = 15
DEFAULT_MAX_ENTRIES = 200_000


@dataclass(frozen=True, slots=True)
class HeldRun:
    """Consecutive blocks of one prompt that a holder probably has.

    ``first`` counts from 0; the run covers ``block_keys[first : first + blocks]``.
    """

    holder: str
    first: int
    blocks: int


class PrefixIndex:
    """An in-memory index of prompt prefixes, whose results are only hints.

    Every eighth block of a prompt has an entry with its holders, both stores and
    replicas, as the bits of one number. Since a block's key covers all tokens before
    it, the entry of the eighth block also represents the seven blocks before it. All
    entries of a prompt are in the shard of its first block, so a single request to one
    node finds them. An entry is wrong from the loss of a block until the holder reports
    the loss; therefore the store's descriptors and the engine's check of the bytes are
    authoritative.

    >>> index = PrefixIndex()
    >>> keys = tuple(f"{number:032x}" for number in range(8))
    >>> index.apply("store-1", [StoreChange(keys[7], 8, True, shard_of(keys[0]))])
    >>> index.find(keys)
    (HeldRun(holder='store-1', first=0, blocks=8),)
    """

    __slots__ = ("_bit_by_holder", "_entries", "_entries_by_shard", "_max_entries")

    def __init__(self, *, max_entries: int = DEFAULT_MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries = 0
        self._bit_by_holder: dict[str, int] = {}
        self._entries_by_shard: dict[int, dict[int, int]] = {}

    def __len__(self) -> int:
        return self._entries

    def __repr__(self) -> str:
        return f"PrefixIndex({self._entries} entries)"

    def apply(self, holder: str, changes: Iterable[StoreChange]) -> None:
        """Apply a holder's added and removed blocks; repeated changes have no effect.

        Invalid lines are skipped: a store with invalid answers must not stop the
        reading of all other stores.

        At its limit the index accepts no new entries. A prompt without an entry is
        recomputed, whereas a node that runs out of memory would serve no requests.
        """
        bit = self._bit_of(holder)
        for change in changes:
            try:
                entry = _entry_of(change.key)
            except ValueError:
                continue
            if not 0 <= change.shard < SHARDS:
                continue
            entries = self._entries_by_shard.setdefault(change.shard, {})
            bits = entries.get(entry, 0)
            if change.is_kept:
                if not bits and self._entries >= self._max_entries:
                    continue
                entries[entry] = bits | bit
                self._entries += not bits
            elif bits & bit:
                self._set(entries, entry, bits & ~bit)

    def remove_holder(self, holder: str) -> None:
        """Remove a holder that has lost its content from every entry."""
        bit = self._bit_by_holder.get(holder)
        if bit is None:
            return
        for entries in self._entries_by_shard.values():
            for entry in [key for key, bits in entries.items() if bits & bit]:
                self._set(entries, entry, entries[entry] & ~bit)

    def retain_shards(self, shards: frozenset[int]) -> None:
        """Keep only these shards; other nodes now hold the others."""
        for shard in self._entries_by_shard.keys() - shards:
            self._entries -= len(self._entries_by_shard.pop(shard))

    def find(self, block_keys: tuple[str, ...]) -> tuple[HeldRun, ...]:
        """Return each holder's runs of a prompt's blocks, in order."""
        if len(block_keys) < INDEX_STRIDE:
            return ()
        entries = entries_of(block_keys)
        places_by_holder = self.places(shard_of(block_keys[0]), entries)
        return tuple(
            run
            for holder, places in places_by_holder.items()
            for run in runs_at(holder, places, len(entries))
        )

    def places(self, shard: int, entries: Sequence[int]) -> dict[str, int]:
        """Return for each holder a bit set of the positions of its entries."""
        entry_bits = self._entries_by_shard.get(shard)
        if not entry_bits:
            return {}
        bits_at = [entry_bits.get(entry, 0) for entry in entries]
        all_bits = 0
        for bits in bits_at:
            all_bits |= bits
        return {
            holder: sum(1 << place for place, bits in enumerate(bits_at) if bits & bit)
            for holder, bit in self._bit_by_holder.items()
            if bit & all_bits
        }

    def _bit_of(self, holder: str) -> int:
        bit = self._bit_by_holder.get(holder)
        if bit is None:
            bit = self._bit_by_holder[holder] = 1 << len(self._bit_by_holder)
        return bit

    def _set(self, entries: dict[int, int], entry: int, bits: int) -> None:
        if bits:
            entries[entry] = bits
        else:
            del entries[entry]
            self._entries -= 1


def entries_of(block_keys: tuple[str, ...]) -> list[int]:
    """Return the entries of a prompt, one for every eighth block."""
    return [_entry_of(key) for key in block_keys[INDEX_STRIDE - 1 :: INDEX_STRIDE]]


def runs_at(holder: str, places: int, entries: int) -> list[HeldRun]:
    """Return the runs of a holder that has the entries at these positions."""
    runs: list[HeldRun] = []
    first = None
    for place in range(entries + 1):
        if places >> place & 1 and place < entries:
            first = place if first is None else first
        elif first is not None:
            blocks = (place - first) * INDEX_STRIDE
            runs.append(HeldRun(holder, first * INDEX_STRIDE, blocks))
            first = None
    return runs


def _entry_of(key: str) -> int:
    """Return 60 bits of a key; a collision of two keys only causes a wrong hint."""
    return int(key[:_ENTRY_DIGITS], 16)
