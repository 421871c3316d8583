"""Freeing what dead writers left, and making room in a store that fills."""

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
_COLDEST = 1_024


class FreeStep(Step):
    """Points of a sweep; its holder may be paused past its lease at each."""

    HELD = "free: lease held"
    FENCED = "free: fence raised"
    LISTED = "free: garbage listed"
    FREED = "free: garbage freed"
    COLDEST_LISTED = "free: coldest listed"
    EVICTED = "free: evicted"


class HeldLease(Protocol):
    """A lease that is held now, with its fencing number."""

    @property
    def fencing(self) -> int: ...


@dataclass(frozen=True, slots=True)
class Swept:
    """How many slots were freed of garbage and of blocks that gave way."""

    garbage: int
    evicted: int = 0


@dataclass(frozen=True, slots=True)
class NotSwept:
    """Why the sweep ended early; what it freed by then stays freed."""

    detail: str


class Sweeper:
    """Sweeps one store under a lease.

    The fence is raised before anything is listed, so that from then on an earlier
    holder, however long it was paused, is refused by the store itself. Every free
    names generation and state as listed: a slot that its slow writer published
    meanwhile, or that was used again, is left alone even by the rightful holder.
    """

    __slots__ = ("_claim", "_garbage_age_ms", "_observe")

    def __init__(
        self,
        claim: Callable[[], HeldLease | None],
        *,
        garbage_age_ms: int = DEFAULT_GARBAGE_AGE_MS,
        observe: StepObserver = ignore_step,
    ) -> None:
        self._claim = claim
        self._garbage_age_ms = garbage_age_ms
        self._observe = observe

    async def sweep(self, store: StoreClient) -> Swept | NotSwept:
        """Free garbage by its age, then make room if the store is nearly full."""
        held = self._claim()
        if held is None:
            return NotSwept("the lease is not held")
        fencing = held.fencing
        self._observe(FreeStep.HELD)
        fence = await store.raise_fence(fencing)
        if isinstance(fence, Fenced | StoreUnavailable):
            return _not_swept(store, fence)
        self._observe(FreeStep.FENCED)
        garbage = await self._free_garbage(store, fencing)
        if isinstance(garbage, NotSwept):
            return garbage
        evicted = await self._make_room(store, fencing)
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

    async def _make_room(self, store: StoreClient, fencing: int) -> int | NotSwept:
        room = await store.room()
        if isinstance(room, StoreUnavailable):
            return _not_swept(store, room)
        if not room.is_nearly_full():
            return 0
        coldest = await store.coldest(_COLDEST)
        if isinstance(coldest, StoreUnavailable):
            return _not_swept(store, coldest)
        self._observe(FreeStep.COLDEST_LISTED)
        victims = choose_victims(room, coldest)
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


def _not_swept(store: StoreClient, why: Fenced | StoreUnavailable) -> NotSwept:
    if isinstance(why, Fenced):
        log.warning(
            "kept: sweep of %s refused, number %d was there", store.name, why.highest
        )
        return NotSwept(f"{store.name} has seen fencing number {why.highest}")
    return NotSwept(f"{store.name}: {why.detail}")
