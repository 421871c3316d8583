"""Frees the parts of replaced weights, which stores keep until a node frees them."""

import logging
from collections.abc import Callable, Mapping, Set
from typing import Protocol

from fireflyward.clock import Clock

from ._index import PartKey
from ._planner import PartPlanner
from ._salt import salt_version

log = logging.getLogger("fireflyward.prefixes")

_PERIOD_MS = 300
# The delay before the parts of a version are freed if a replica that had it is no
# longer listed. Such a replica may still be running, with requests that fetch parts.
_UNLISTED_DELAY_MS = 2_000
# The delay if all replicas that had the version are listed with newer weights. They
# have finished all runs on the older weights, because loading weights waits for these
# runs; the delay covers the fetches that they have just finished.
_REPLACED_DELAY_MS = 200
_KEYS_PER_CALL = 200
# Some events of freed parts never arrive. The node frees such a part once more after
# this time.
_FREE_RETRY_MS = 5_000
_CALL_LIMIT_MS = 800


# The numbers of the replica incarnations that may have a (model, version).
UsedVersions = Mapping[tuple[str, int], Set[int]]


class KvFreer(Protocol):
    """The call that the garbage collector makes to a store."""

    async def kv_free(
        self, address: str, *, epoch: int, keys: list[PartKey], limit_ms: float
    ) -> bool: ...


class GarbageFinder:
    """Decides which parts can no longer be used by any request; no I/O.

    A part is fetched only for requests that name its version of the weights, and a
    replica runs such a request only while it has that version. Once no replica has the
    version, no request reads the part, and freeing it breaks no fetch.

    Freeing these parts matters in a rollout: when a new version is named, the stores
    are full of the old version's parts. Until these are freed, no part of the new
    version can be saved, and every prompt is prefilled completely. In a rollout over
    six replicas the stores accepted new parts 0.4 s after the last order, instead of
    3.1 s (from one log each).
    """

    __slots__ = ("_unused_since_ms", "_last_holders")

    def __init__(self) -> None:
        self._unused_since_ms: dict[tuple[str, int], int] = {}
        self._last_holders: dict[tuple[str, int], Set[int]] = {}

    def find(
        self,
        now_ms: int,
        keys: tuple[PartKey, ...],
        *,
        used: UsedVersions,
        newest_by_model: Mapping[str, int],
    ) -> list[PartKey]:
        """Return the keys whose version was replaced and is on no replica."""
        for version in used:
            self._unused_since_ms.pop(version, None)
        self._last_holders.update(used)
        listed = frozenset().union(*used.values())
        garbage_salts = {
            salt
            for salt in {key.salt for key in keys}
            if self._is_garbage(now_ms, salt, used, listed, newest_by_model)
        }
        return [key for key in keys if key.salt in garbage_salts]

    def _is_garbage(
        self,
        now_ms: int,
        salt: str,
        used: UsedVersions,
        listed: Set[int],
        newest_by_model: Mapping[str, int],
    ) -> bool:
        version = salt_version(salt)
        if version is None or version in used:
            return False
        if version[1] >= newest_by_model.get(version[0], 0):
            return False
        since_ms = self._unused_since_ms.setdefault(version, now_ms)
        # A node that never observed the version in use does not know which replicas had
        # it, and waits for the longer delay.
        holders = self._last_holders.get(version)
        holders_moved_on = holders is not None and holders <= listed
        return now_ms - since_ms >= (
            _REPLACED_DELAY_MS if holders_moved_on else _UNLISTED_DELAY_MS
        )


class GarbageCollector:
    """Frees garbage in every store while ``may_act`` returns true."""

    def __init__(
        self,
        *,
        clock: Clock,
        planner: PartPlanner,
        freer: KvFreer,
        used: Callable[[], UsedVersions],
        newest_by_model: Callable[[], Mapping[str, int]],
        may_act: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._planner = planner
        self._freer = freer
        self._used = used
        self._newest_by_model = newest_by_model
        self._may_act = may_act
        self._finder = GarbageFinder()
        self._freed_at_ms: dict[tuple[str, PartKey], int] = {}

    async def run(self) -> None:
        """Free garbage periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            if self._may_act():
                await self.step()

    async def step(self) -> None:
        """Check every store once, and free the garbage in it."""
        for index in self._planner.indexes():
            now_ms = self._clock.now_ms()
            garbage = self._finder.find(
                now_ms,
                index.keys(),
                used=self._used(),
                newest_by_model=self._newest_by_model(),
            )
            if not index.is_up or index.epoch is None:
                continue
            keys = self._select_unfreed(now_ms, index.address, garbage)
            for first in range(0, len(keys), _KEYS_PER_CALL):
                part = keys[first : first + _KEYS_PER_CALL]
                await self._free(index.address, index.epoch, part)

    def _select_unfreed(
        self, now_ms: int, address: str, garbage: list[PartKey]
    ) -> list[PartKey]:
        """Return the keys that were not freed recently, and record them as freed."""
        self._freed_at_ms = {
            freed: at_ms
            for freed, at_ms in self._freed_at_ms.items()
            if now_ms - at_ms < _FREE_RETRY_MS
        }
        keys = [key for key in garbage if (address, key) not in self._freed_at_ms]
        self._freed_at_ms.update({(address, key): now_ms for key in keys})
        return keys

    async def _free(self, address: str, epoch: int, keys: list[PartKey]) -> None:
        freed = await self._freer.kv_free(
            address, epoch=epoch, keys=keys, limit_ms=_CALL_LIMIT_MS
        )
        log.info("prefixes: freeing %d parts at %s: %s", len(keys), address, freed)
