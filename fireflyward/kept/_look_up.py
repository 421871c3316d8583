"""Looks up prompts in index shards that other nodes hold."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from fireflyward.membership import Member
from fireflyward.peers import CallFailed, PeerLink

from ._index import INDEX_STRIDE, HeldRun, PrefixIndex, entries_of, runs_at
from ._kept_structs import Found, LookUp
from ._shard_holders import MAX_NODES_WITH_ALL_SHARDS, holders_of
from ._stores import shard_of

KIND = "kept.look_up"
_TIMEOUT_S = 0.02
_MAX_CACHED_PROMPTS = 4_096
_MAX_ENTRIES = 4_096


class ShardLookUp:
    """Queries the holders of a shard, and answers queries for local shards.

    In a failure domain of up to four nodes every node holds every shard, so no queries
    are sent. If no answer arrives within ``timeout_s``, the prompt is computed as if no
    blocks had been stored. In that case the second holder is not queried, since the
    caller has already waited for the first one.
    """

    def __init__(
        self,
        link: PeerLink,
        index: PrefixIndex,
        domain_members: Callable[[], tuple[Member, ...]],
        *,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        self._link = link
        self._timeout_s = timeout_s
        self._index = index
        self._domain_members = domain_members
        self._runs_by_last_key: OrderedDict[str, tuple[HeldRun, ...]] = OrderedDict()
        self._fetches = 0
        self.failed = 0
        link.register(KIND, LookUp, self._answer)

    async def fetch(self, block_keys: tuple[str, ...]) -> None:
        """Query a holder of the prompt's shard, unless this node is a holder."""
        members = self._domain_members()
        if len(members) <= MAX_NODES_WITH_ALL_SHARDS or len(block_keys) < INDEX_STRIDE:
            return
        shard = shard_of(block_keys[0])
        holders = holders_of(shard, members)
        if any(holder.name == self._link.node_name for holder in holders):
            return
        self._fetches += 1
        holder = holders[self._fetches % len(holders)]
        entries = entries_of(block_keys)[:_MAX_ENTRIES]
        message = LookUp(shard=shard, entries=entries)
        found = await self._link.call(
            holder.address, KIND, message, Found, timeout_s=self._timeout_s
        )
        if isinstance(found, CallFailed):
            self.failed += 1
            return
        self._cache_runs(block_keys[-1], _runs_of(found, len(entries)))

    def find(self, block_keys: tuple[str, ...]) -> tuple[HeldRun, ...]:
        """Return a prompt's runs from the local shards or from the last answer."""
        if not block_keys:
            return ()
        cached = self._runs_by_last_key.get(block_keys[-1], ())
        return self._index.find(block_keys) or cached

    def _cache_runs(self, last_key: str, runs: tuple[HeldRun, ...]) -> None:
        self._runs_by_last_key[last_key] = runs
        self._runs_by_last_key.move_to_end(last_key)
        while len(self._runs_by_last_key) > _MAX_CACHED_PROMPTS:
            self._runs_by_last_key.popitem(last=False)

    async def _answer(self, sender: str, message: Any) -> Any:
        places = self._index.places(message.shard, message.entries[:_MAX_ENTRIES])
        size = -(-len(message.entries) // 8)
        return Found(
            holders=list(places),
            places=[bits.to_bytes(size, "little") for bits in places.values()],
        )


def _runs_of(found: Any, entries: int) -> tuple[HeldRun, ...]:
    runs: list[HeldRun] = []
    for holder, data in zip(found.holders, found.places, strict=False):
        bits = int.from_bytes(data, "little")
        runs.extend(runs_at(holder, bits, entries))
    return tuple(runs)
