"""Frees slots that crashed writers left behind, and evicts from full stores."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fireflyward.steps import Step, StepObserver, ignore_step
from fireflyward.upstreams import BlockRef

from ._eviction import choose_victims
from ._stores import Fenced, SlotState, StoreClient, StoreUnavailable

log = logging.getLogger("fireflyward.kept")

DEFAULT_GARBAGE_AGE_MS = 60_000
_MAX_EVICTION_CANDIDATES = 1_024


class FreeStep(Step):
    """Steps of a sweep, at each of which its node may be paused past its lease."""

    HELD = "free: lease held"
    FENCED = "free: fence raised"
    LISTED = "free: garbage listed"
    FREED = "free: garbage freed"
    COLDEST_LISTED = "free: coldest listed"
    EVICTED = "free: evicted"


class HeldLease(Protocol):
    """A lease that this node currently holds, with its fencing number."""

    @property
    def fencing(self) -> int: ...


@dataclass(frozen=True, slots=True)
class Swept:
    """How many slots with garbage and with evicted blocks were freed."""

    garbage: int
    evicted: int = 0


@dataclass(frozen=True, slots=True)
class NotSwept:
    """Why the sweep was aborted; slots that it has already freed stay free."""

    detail: str


class Sweeper:
    """Sweeps one store under a lease.

    The sweeper raises the fencing number before it lists any slots. From then on the
    store itself rejects an earlier lease holder, however long that holder was paused.
    Every call to free a slot contains the generation and the state from the listing. So
    the current lease holder, too, never frees a slot that a slow writer has published
    in the meantime, or that was used again.
    """

    __slots__ = ("_held_lease", "_garbage_age_ms", "_observe")

    def __init__(
        self,
        held_lease: Callable[[], HeldLease | None],
        *,
        garbage_age_ms: int = DEFAULT_GARBAGE_AGE_MS,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._held_lease = held_lease
        self._garbage_age_ms = garbage_age_ms
        self._observe = observe

    async def sweep(self, store: StoreClient) -> Swept | NotSwept:
        """Free garbage by its age, then evict blocks if the store is nearly full."""
        lease = self._held_lease()
        if lease is None:
            return NotSwept("the lease is not held")
        fencing = lease.fencing
        self._observe(FreeStep.HELD)
        fence = await store.raise_fence(fencing)
        if isinstance(fence, Fenced | StoreUnavailable):
            return _not_swept(store, fence)
        self._observe(FreeStep.FENCED)
        garbage = await self._free_garbage(store, fencing)
        if isinstance(garbage, NotSwept):
            return garbage
        evicted = await self._evict_if_nearly_full(store, fencing)
        if isinstance(evicted, NotSwept):
            return evicted
        return Swept(garbage, evicted)

    async def _free_garbage(self, store: StoreClient, fencing: int) -> int | NotSwept:
        found = await store.unfinished(self._garbage_age_ms)
        if isinstance(found, StoreUnavailable):
            return _not_swept(store, found)
        self._observe(FreeStep.LISTED)
        freed = 0
        for state in (SlotState.RESERVED, SlotState.SEALED):
            refs = tuple(item.ref for item in found if item.state is state)
            count = await _free(store, refs, state, fencing)
            if isinstance(count, NotSwept):
                return count
            freed += count
        self._observe(FreeStep.FREED)
        return freed

    async def _evict_if_nearly_full(
        self, store: StoreClient, fencing: int
    ) -> int | NotSwept:
        usage = await store.usage()
        if isinstance(usage, StoreUnavailable):
            return _not_swept(store, usage)
        if not usage.is_nearly_full():
            return 0
        coldest = await store.coldest(_MAX_EVICTION_CANDIDATES)
        if isinstance(coldest, StoreUnavailable):
            return _not_swept(store, coldest)
        self._observe(FreeStep.COLDEST_LISTED)
        victims = choose_victims(usage, coldest)
        evicted = await _free(store, victims, SlotState.PUBLISHED, fencing)
        self._observe(FreeStep.EVICTED)
        return evicted


async def _free(
    store: StoreClient, refs: tuple[BlockRef, ...], state: SlotState, fencing: int
) -> int | NotSwept:
    if not refs:
        return 0
    done = await store.free(refs, state=state, fencing=fencing)
    if isinstance(done, Fenced | StoreUnavailable):
        return _not_swept(store, done)
    return len(done.refs)


def _not_swept(store: StoreClient, cause: Fenced | StoreUnavailable) -> NotSwept:
    if isinstance(cause, Fenced):
        log.warning(
            "kept: sweep of %s refused, number %d was there", store.name, cause.highest
        )
        return NotSwept(f"{store.name} has received fencing number {cause.highest}")
    return NotSwept(f"{store.name}: {cause.detail}")
