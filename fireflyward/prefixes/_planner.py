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

    Every node works out the same store for a part, in proportion to the stores'
    room, so that a part is kept once and each node knows where to look.
    """

    __slots__ = ("_capacity_by_address", "_index_by_address")

    def __init__(self) -> None:
        self._index_by_address: dict[str, StoreIndex] = {}
        self._capacity_by_address: dict[str, int] = {}

    def set_stores(self, stores: Iterable[KvStore]) -> None:
        """Take the stores of a configuration, keeping what is known of old ones."""
        known = self._index_by_address
        self._capacity_by_address = {
            store.address: store.kv_tokens for store in stores if store.drops_nothing
        }
        self._index_by_address = {
            address: known.get(address) or StoreIndex(address, capacity)
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
            index = self._store_of(key)
            has = index is not None and index.has(key)
            sources.append(index.address if has else elsewhere)
            stored_tokens += tokens if has else 0
            may_save = (
                index is not None
                and tokens >= _LEAST_TOKENS
                and index.may_save(now_ms, key, tokens)
            )
            saves.append(index.address if may_save else None)
        return KvPlan((*sources, None), (*saves, None), stored_tokens)

    def stored_tokens(self, salt: str, parts: Iterable[tuple[str, int]]) -> int:
        """Return how much of a prompt the stores have."""
        total = 0
        for part_id, tokens in parts:
            key = PartKey(salt, part_id)
            index = self._store_of(key)
            total += tokens if index is not None and index.has(key) else 0
        return total

    def _store_of(self, key: PartKey) -> StoreIndex | None:
        """Return the store for a part: rendezvous hashing weighted by room."""
        if not self._index_by_address:
            return None
        address = max(
            self._index_by_address,
            key=lambda item: _weighted(key, item, self._capacity_by_address[item]),
        )
        return self._index_by_address[address]


def _weighted(key: PartKey, address: str, weight: int) -> float:
    rank = rendezvous_rank(key.part_id, address)
    return -weight / math.log((rank + 0.5) / _RANKS)
