"""Decides for each request which parts to fetch, from where, and which to save."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyward.deployment import KvStore
from fireflyward.rendezvous import rendezvous_rank

from ._index import PartKey, StoreIndex

# Prefilling a shorter part again takes less time than the first byte from a store.
_MIN_PART_TOKENS = 200
_RANKS = float(1 << 64)


@dataclass(frozen=True, slots=True)
class KvPlan:
    """For each part of a prompt, where to fetch it from and where to save it.

    ``stored_tokens`` is the number of tokens that come from stores, which report the
    parts as complete.
    """

    sources: tuple[str | None, ...]
    saves: tuple[str | None, ...]
    stored_tokens: int = 0

    @property
    def fetches(self) -> bool:
        """Return whether anything is fetched."""
        return any(self.sources)


class PartPlanner:
    """Plans fetches and saves over all stores; no I/O.

    Every node ranks the stores for a part in the same way, in proportion to their
    capacity, and saves the part to the first store with enough free memory. Parts
    differ in size by a factor of ten, so some stores fill up while others still have a
    tenth of their capacity free; a part that is saved nowhere would be prefilled again
    by every request. The events of the stores show which store holds a part.
    """

    __slots__ = ("_capacity_by_address", "_index_by_address")

    def __init__(self) -> None:
        self._index_by_address: dict[str, StoreIndex] = {}
        self._capacity_by_address: dict[str, int] = {}

    def set_stores(self, stores: Iterable[KvStore]) -> None:
        """Set the stores of a configuration; known stores keep their index."""
        # An empty index is falsy, so the mapping is checked for the address instead.
        previous = self._index_by_address
        self._capacity_by_address = {
            store.address: store.kv_tokens for store in stores if store.never_evicts
        }
        self._index_by_address = {
            address: (
                previous[address]
                if address in previous
                else StoreIndex(address, capacity)
            )
            for address, capacity in self._capacity_by_address.items()
        }

    def indexes(self) -> tuple[StoreIndex, ...]:
        """Return the index of every store."""
        return tuple(self._index_by_address.values())

    def plan(
        self,
        now_ms: int,
        salt: str,
        parts: Iterable[tuple[str, int]],
        *,
        fallback_source: str | None,
    ) -> KvPlan:
        """Return what to fetch and save of a prompt's (id, tokens) parts.

        The last part belongs to this request only and is neither fetched nor saved.
        ``fallback_source`` is a replica that probably has the parts that no store
        holds.
        """
        parts = tuple(parts)
        sources: list[str | None] = []
        saves: list[str | None] = []
        stored_tokens = 0
        for part_id, tokens in parts[:-1]:
            key = PartKey(salt, part_id)
            index = self._find_store(key, now_ms)
            if index is not None:
                sources.append(index.address)
                saves.append(None)
                stored_tokens += tokens
            else:
                sources.append(fallback_source)
                saves.append(self._choose_save_store(now_ms, key, tokens))
        return KvPlan((*sources, None), (*saves, None), stored_tokens)

    def stored_tokens(self, salt: str, parts: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt the stores have."""
        return sum(
            tokens
            for part_id, tokens in parts
            if self._find_store(PartKey(salt, part_id)) is not None
        )

    def _find_store(self, key: PartKey, now_ms: int | None = None) -> StoreIndex | None:
        """Return a store that has the complete part, and may be fetched from now."""
        for index in self._index_by_address.values():
            if now_ms is not None and now_ms >= index.valid_until_ms:
                continue
            if index.has(key):
                return index
        return None

    def _choose_save_store(self, now_ms: int, key: PartKey, tokens: int) -> str | None:
        """Return where to save a part, and record it there as being saved."""
        if tokens < _MIN_PART_TOKENS:
            return None
        indexes = self._index_by_address.values()
        if any(index.is_saving(now_ms, key) for index in indexes):
            return None
        for address in self._rank_stores(key):
            index = self._index_by_address[address]
            if index.reserve_save(now_ms, key, tokens):
                return address
        return None

    def _rank_stores(self, key: PartKey) -> list[str]:
        """Return all stores ranked for a part, by hashing weighted with capacity."""
        return sorted(
            self._index_by_address,
            key=lambda item: _weighted_rank(key, item, self._capacity_by_address[item]),
            reverse=True,
        )


def _weighted_rank(key: PartKey, address: str, weight: int) -> float:
    rank = rendezvous_rank(key.part_id, address)
    return -weight / math.log((rank + 0.5) / _RANKS)
