"""Finding a prompt in a shard of the index that another node holds."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from fireflyward.membership import Member
from fireflyward.peers import CallFailed, PeerLink

from ._index import INDEX_STRIDE, HeldRun, PrefixIndex, entries_of, runs_at
from ._kept_structs import Found, LookUp
from ._owners import SMALL_DOMAIN, holders_of
from ._stores import shard_of

KIND = "kept.look_up"
_LIMIT_S = 0.02
_REMEMBERED = 4_096
_MAX_ENTRIES = 4_096


class ShardLookUp:
    """Asks the holders of a shard, and answers others about the shards held here.

    In a failure domain of up to four nodes every node holds every shard and nothing
    is asked. No answer within ``timeout_s`` is an empty one: the prompt is computed as
    if nothing had been kept. The second holder is not asked after that, since the
    caller has waited long enough.
    """

    def __init__(
        self,
        link: PeerLink,
        index: PrefixIndex,
        domain_members: Callable[[], tuple[Member, ...]],
        *,
        timeout_s: float = _LIMIT_S,
    ) -> None:
        self._link = link
        self._limit_s = timeout_s
        self._index = index
        self._domain_members = domain_members
        self._runs_by_last_key: OrderedDict[str, tuple[HeldRun, ...]] = OrderedDict()
        self._turn = 0
        self.failed = 0
        link.register(KIND, LookUp, self._answer)

    async def ask(self, block_keys: tuple[str, ...]) -> None:
        """Look a prompt up at a holder of its shard, unless this node is one."""
        members = self._domain_members()
        if len(members) <= SMALL_DOMAIN or len(block_keys) < INDEX_STRIDE:
            return
        shard = shard_of(block_keys[0])
        holders = holders_of(shard, members)
        if any(holder.name == self._link.node_name for holder in holders):
            return
        self._turn += 1
        holder = holders[self._turn % len(holders)]
        entries = entries_of(block_keys)[:_MAX_ENTRIES]
        message = LookUp(shard=shard, entries=entries)
        found = await self._link.call(
            holder.address, KIND, message, Found, timeout_s=self._limit_s
        )
        if isinstance(found, CallFailed):
            self.failed += 1
            return
        self._remember(block_keys[-1], _runs_of(found, len(entries)))

    def find(self, block_keys: tuple[str, ...]) -> tuple[HeldRun, ...]:
        """Return what this node's shards or the last answer say of a prompt."""
        if not block_keys:
            return ()
        asked = self._runs_by_last_key.get(block_keys[-1], ())
        return self._index.find(block_keys) or asked

    def _remember(self, last_key: str, runs: tuple[HeldRun, ...]) -> None:
        self._runs_by_last_key[last_key] = runs
        self._runs_by_last_key.move_to_end(last_key)
        while len(self._runs_by_last_key) > _REMEMBERED:
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
