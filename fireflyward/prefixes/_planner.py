"""Decides for each request which parts to fetch from where and which to save."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyward.deployment import KvStore
from fireflyward.rendezvous import rendezvous_rank

from ._index import PartKey, StoreIndex

# Reading a shorter part again is quicker than the first byte from a store.
_LEAST_TOKENS = 200
_RANKS = float(1 << 64)


@dataclass(frozen=True, slots=True)
class KvPlan:
    """Per part of the prompt: the address to fetch from and the one to save to.

    ``stored_tokens`` of the prompt come from stores, which surely have them.
    """

    sources: tuple[str | None, ...]
    saves: tuple[str | None, ...]
    stored_tokens: int = 0

    @property
    def fetches(self) -> bool:
        """Tell whether anything is fetched."""
        return any(self.sources)


class PartPlanner:
    """Knows all stores; no I/O.

    Every node ranks the stores for a part alike, in proportion to their room, and
    saves it to the first that has room for it. Parts differ in size by a factor of
    ten, so that some stores fill up while others have room for a tenth more; what
    has no place would be read again at every request. Where a part is the stores'
    own events tell.
    """

    __slots__ = ("_capacity_by_address", "_index_by_address")

    def __init__(self) -> None:
        self._index_by_address: dict[str, StoreIndex] = {}
        self._capacity_by_address: dict[str, int] = {}

    def set_stores(self, stores: Iterable[KvStore]) -> None:
        """Take the stores of a configuration, keeping what is known of old ones."""
        # An empty index is false, so whether one is known is asked of the mapping.
        known = self._index_by_address
        self._capacity_by_address = {
            store.address: store.kv_tokens for store in stores if store.drops_nothing
        }
        self._index_by_address = {
            address: (
                known[address] if address in known else StoreIndex(address, capacity)
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
        elsewhere: str | None,
    ) -> KvPlan:
        """Return what to fetch and save of a prompt's (id, tokens) parts.

        The last part is the request's own and is neither. ``elsewhere`` is a
        replica that probably has the parts which no store holds.
        """
        parts = tuple(parts)
        sources: list[str | None] = []
        saves: list[str | None] = []
        stored_tokens = 0
        for part_id, tokens in parts[:-1]:
            key = PartKey(salt, part_id)
            holder = self._holder(key)
            if holder is not None:
                sources.append(holder.address)
                saves.append(None)
                stored_tokens += tokens
            else:
                sources.append(elsewhere)
                saves.append(self._save_to(now_ms, key, tokens))
        return KvPlan((*sources, None), (*saves, None), stored_tokens)

    def stored_tokens(self, salt: str, parts: Iterable[tuple[str, int]]) -> int:
        """Return how much of a prompt the stores have."""
        return sum(
            tokens
            for part_id, tokens in parts
            if self._holder(PartKey(salt, part_id)) is not None
        )

    def _holder(self, key: PartKey) -> StoreIndex | None:
        """Return a store that has a part whole."""
        for index in self._index_by_address.values():
            if index.has(key):
                return index
        return None

    def _save_to(self, now_ms: int, key: PartKey, tokens: int) -> str | None:
        """Return where to save a part, and note that it will be."""
        if tokens < _LEAST_TOKENS:
            return None
        indexes = self._index_by_address.values()
        if any(index.is_saving(now_ms, key) for index in indexes):
            return None
        for address in self._ranked(key):
            index = self._index_by_address[address]
            if index.may_save(now_ms, key, tokens):
                return address
        return None

    def _ranked(self, key: PartKey) -> list[str]:
        """Return all stores for a part: rendezvous hashing weighted by room."""
        return sorted(
            self._index_by_address,
            key=lambda item: _weighted(key, item, self._capacity_by_address[item]),
            reverse=True,
        )


def _weighted(key: PartKey, address: str, weight: int) -> float:
    rank = rendezvous_rank(key.part_id, address)
    return -weight / math.log((rank + 0.5) / _RANKS)
