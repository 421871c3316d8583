"""A store client without sockets, over a ``StoreModel`` and a clock."""

from fireflyward.clock import Clock
from fireflyward.kept import (
    AppliedRefs,
    BlockRef,
    ColdBlock,
    Fenced,
    Listing,
    ListQuery,
    Reserved,
    SlotRequest,
    SlotState,
    StoreUnavailable,
    StoreUsage,
    Unfinished,
)
from fireflyward.upstreams import Miss

from ._store_model import StoreModel

_UNAVAILABLE = StoreUnavailable(
    "the store stand-in is unavailable", may_have_acted=False
)
_LOST = StoreUnavailable("answer lost")


class MemoryStore:
    """Calls a model directly, and simulates its faults and transfer times."""

    def __init__(self, model: StoreModel, clock: Clock) -> None:
        self.name = model.name
        self.model = model
        self._clock = clock

    async def reserve(
        self, wanted: tuple[SlotRequest, ...]
    ) -> Reserved | StoreUnavailable:
        return await self._call_with_faults(
            lambda: self.model.reserve(self._clock.now_ms(), wanted)
        )

    async def write(
        self, ref: BlockRef, payload: bytes
    ) -> AppliedRefs | StoreUnavailable:
        result = await self._call_with_faults(lambda: self.model.write(ref, payload))
        return await self._after_transfer(ref, result)

    async def seal(self, refs: tuple[BlockRef, ...]) -> AppliedRefs | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.seal(refs))

    async def publish(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.publish(refs))

    async def describe(self, keys: tuple[str, ...]) -> AppliedRefs | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.describe(keys))

    async def read(self, ref: BlockRef) -> bytes | Miss | StoreUnavailable:
        transfer_ms = self.model.transfer_ms(self._clock.now_ms(), ref)
        result = await self._call_with_faults(lambda: self.model.read(ref))
        if isinstance(result, bytes):
            self.model.record_read(self._clock.now_ms(), ref)
            await self._clock.sleep_ms(transfer_ms)
        return result

    async def abandon(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.abandon(refs))

    async def raise_fence(
        self, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.raise_fence(fencing))

    async def free(
        self, refs: tuple[BlockRef, ...], *, state: SlotState, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        return await self._call_with_faults(
            lambda: self.model.free(refs, state=state, fencing=fencing)
        )

    async def unfinished(
        self, min_age_ms: int
    ) -> tuple[Unfinished, ...] | StoreUnavailable:
        return await self._call_with_faults(
            lambda: self.model.unfinished(self._clock.now_ms(), min_age_ms)
        )

    async def list(self, query: ListQuery) -> Listing | StoreUnavailable:
        return await self._call_with_faults(lambda: self.model.list(query))

    async def usage(self) -> StoreUsage | StoreUnavailable:
        return await self._call_with_faults(self.model.usage)

    async def coldest(self, limit: int) -> tuple[ColdBlock, ...] | StoreUnavailable:
        return await self._call_with_faults(
            lambda: self.model.coldest(self._clock.now_ms(), limit)
        )

    async def _call_with_faults(self, call):
        faults = self.model.faults
        if faults.delay_ms:
            await self._clock.sleep_ms(faults.delay_ms)
        if faults.unavailable:
            return _UNAVAILABLE
        result = call()
        if faults.lose_answers:
            faults.lose_answers -= 1
            return _LOST
        return result

    async def _after_transfer(self, ref: BlockRef, result):
        if isinstance(result, AppliedRefs) and result.refs:
            await self._clock.sleep_ms(
                self.model.transfer_ms(self._clock.now_ms(), ref)
            )
        return result
