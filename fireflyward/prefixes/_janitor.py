"""Frees the parts of replaced weights, which stores keep until they are told."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from fireflyward.clock import Clock

from ._index import PartKey
from ._planner import PartPlanner
from ._salt import salt_version

log = logging.getLogger("fireflyward.prefixes")

_PERIOD_MS = 1_000
# A version must have been gone from every replica for this long: runs on it, and
# what they fetch, have then ended.
_SETTLED_MS = 2_000
_KEYS_PER_CALL = 200
_LIMIT_MS = 800


class KvFreer(Protocol):
    """What the janitor needs of a store."""

    async def kv_free(
        self, address: str, *, epoch: int, keys: list[PartKey], limit_ms: float
    ) -> bool: ...


class Garbage:
    """Decides which parts nobody can use any more; no I/O.

    A part may be fetched only by a request that names its version, and a replica
    runs such a request only while it has that version. Once no replica has had it
    for a while, nothing reads the part, and freeing it breaks no fetch.
    """

    __slots__ = ("_gone_since_ms",)

    def __init__(self) -> None:
        self._gone_since_ms: dict[tuple[str, int], int] = {}

    def of(
        self,
        now_ms: int,
        keys: tuple[PartKey, ...],
        *,
        used: set[tuple[str, int]],
        newest_by_model: Mapping[str, int],
    ) -> list[PartKey]:
        """Return the keys whose version is replaced and on no replica.

        ``used`` holds the (model, version) pairs that some replica may have.
        """
        for version in used:
            self._gone_since_ms.pop(version, None)
        return [
            key for key in keys if self._is_gone(now_ms, key, used, newest_by_model)
        ]

    def _is_gone(
        self,
        now_ms: int,
        key: PartKey,
        used: set[tuple[str, int]],
        newest_by_model: Mapping[str, int],
    ) -> bool:
        version = salt_version(key.salt)
        if version is None or version in used:
            return False
        if version[1] >= newest_by_model.get(version[0], 0):
            return False
        since_ms = self._gone_since_ms.setdefault(version, now_ms)
        return now_ms - since_ms >= _SETTLED_MS


class Janitor:
    """Frees garbage from every store while ``may_act`` says so."""

    def __init__(
        self,
        *,
        clock: Clock,
        planner: PartPlanner,
        freer: KvFreer,
        used: Callable[[], set[tuple[str, int]]],
        newest_by_model: Callable[[], Mapping[str, int]],
        may_act: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._planner = planner
        self._freer = freer
        self._used = used
        self._newest_by_model = newest_by_model
        self._may_act = may_act
        self._garbage = Garbage()

    async def run(self) -> None:
        """Free what is garbage, until cancelled."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            if self._may_act():
                await self.step()

    async def step(self) -> None:
        """Look through every store once."""
        for index in self._planner.indexes():
            keys = self._garbage.of(
                self._clock.now_ms(),
                index.keys(),
                used=self._used(),
                newest_by_model=self._newest_by_model(),
            )
            if not index.is_up or index.epoch is None:
                continue
            for first in range(0, len(keys), _KEYS_PER_CALL):
                part = keys[first : first + _KEYS_PER_CALL]
                await self._free(index.address, index.epoch, part)

    async def _free(self, address: str, epoch: int, keys: list[PartKey]) -> None:
        freed = await self._freer.kv_free(
            address, epoch=epoch, keys=keys, limit_ms=_LIMIT_MS
        )
        log.info("prefixes: freeing %d parts at %s: %s", len(keys), address, freed)
