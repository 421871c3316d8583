"""Client of a store VM over HTTP, as specified in docs/platform/store.md."""

from typing import Any

import aiohttp
import msgspec

from fireflyward.connections import MAX_BODY_BYTES, read_body
from fireflyward.decoding import DECODE_ERRORS
from fireflyward.observe import hop
from fireflyward.upstreams import BlockRef, Miss, MissReason

from ._stores import (
    AppliedRefs,
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

_CONNECT_TIMEOUT_S = 1.0
_CALL_TIMEOUT_MS = 2_000
_MS_PER_SECOND = 1_000
FENCED_STATUS = 412
MISS_STATUS = 409


class RefsBody(msgspec.Struct):
    """Descriptors in a request, or those for which the call took effect."""

    refs: tuple[BlockRef, ...]


class ReserveBody(msgspec.Struct):
    """Blocks for which slots are requested."""

    wanted: tuple[SlotRequest, ...]


class DescribeBody(msgspec.Struct):
    """Keys of a prompt's blocks, in order."""

    keys: tuple[str, ...]


class FreeBody(msgspec.Struct):
    """A conditional delete."""

    refs: tuple[BlockRef, ...]
    state: SlotState
    fencing: int


class FenceBody(msgspec.Struct):
    """A fencing number: the new one in a request, or the highest one in an answer."""

    fencing: int


class MissBody(msgspec.Struct):
    """Why a read did not find its block."""

    reason: MissReason


class HttpStore:
    """One store VM behind a base URL.

    A call without a complete answer within ``limit_ms`` returns ``StoreUnavailable``.
    A write may have taken effect then, and a sweep frees any slots that it left.
    """

    __slots__ = ("_base", "_session", "_timeout", "name")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        base_url: str,
        *,
        limit_ms: int = _CALL_TIMEOUT_MS,
    ) -> None:
        self.name = name
        self._session = session
        self._base = base_url
        self._timeout = aiohttp.ClientTimeout(
            total=limit_ms / _MS_PER_SECOND, sock_connect=_CONNECT_TIMEOUT_S
        )

    def __repr__(self) -> str:
        return f"HttpStore({self.name!r}, {self._base!r})"

    async def reserve(
        self, wanted: tuple[SlotRequest, ...]
    ) -> Reserved | StoreUnavailable:
        return await self._post("/reserve", ReserveBody(wanted), Reserved)

    async def write(
        self, ref: BlockRef, payload: bytes
    ) -> AppliedRefs | StoreUnavailable:
        return await self._call("PUT", _block_path(ref), payload, AppliedRefs)

    async def seal(self, refs: tuple[BlockRef, ...]) -> AppliedRefs | StoreUnavailable:
        return await self._post("/seal", RefsBody(refs), AppliedRefs)

    async def publish(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        return await self._post("/publish", RefsBody(refs), AppliedRefs)

    async def describe(self, keys: tuple[str, ...]) -> AppliedRefs | StoreUnavailable:
        return await self._post("/describe", DescribeBody(keys), AppliedRefs)

    async def read(self, ref: BlockRef) -> bytes | Miss | StoreUnavailable:
        result = await self._exchange("GET", _block_path(ref), b"")
        if isinstance(result, StoreUnavailable):
            return result
        status, body = result
        if status != MISS_STATUS:
            return body
        try:
            return Miss(ref.key, msgspec.json.decode(body, type=MissBody).reason)
        except DECODE_ERRORS as error:
            return StoreUnavailable(f"answer could not be read: {error}")

    async def abandon(
        self, refs: tuple[BlockRef, ...]
    ) -> AppliedRefs | StoreUnavailable:
        return await self._post("/abandon", RefsBody(refs), AppliedRefs)

    async def raise_fence(
        self, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        return await self._post("/fence", FenceBody(fencing), AppliedRefs)

    async def free(
        self, refs: tuple[BlockRef, ...], *, state: SlotState, fencing: int
    ) -> AppliedRefs | Fenced | StoreUnavailable:
        return await self._post("/free", FreeBody(refs, state, fencing), AppliedRefs)

    async def unfinished(
        self, min_age_ms: int
    ) -> tuple[Unfinished, ...] | StoreUnavailable:
        path = f"/unfinished?min_age_ms={min_age_ms}"
        return await self._call("GET", path, b"", tuple[Unfinished, ...])

    async def list(self, query: ListQuery) -> Listing | StoreUnavailable:
        return await self._post("/list", query, Listing)

    async def usage(self) -> StoreUsage | StoreUnavailable:
        return await self._call("GET", "/room", b"", StoreUsage)

    async def coldest(self, limit: int) -> tuple[ColdBlock, ...] | StoreUnavailable:
        path = f"/coldest?limit={limit}"
        return await self._call("GET", path, b"", tuple[ColdBlock, ...])

    async def _post(self, path: str, body: object, answer_type: Any) -> Any:
        return await self._call("POST", path, msgspec.json.encode(body), answer_type)

    async def _call(self, method: str, path: str, body: bytes, answer_type: Any) -> Any:
        result = await self._exchange(method, path, body)
        if isinstance(result, StoreUnavailable):
            return result
        status, answer = result
        try:
            if status == FENCED_STATUS:
                return Fenced(msgspec.json.decode(answer, type=FenceBody).fencing)
            return msgspec.json.decode(answer, type=answer_type)
        except DECODE_ERRORS as error:
            return StoreUnavailable(f"answer could not be read: {error}")

    async def _exchange(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | StoreUnavailable:
        try:
            with hop("store", store=self.name):
                async with self._session.request(
                    method, self._base + path, data=body, timeout=self._timeout
                ) as response:
                    answer = await read_body(response, max_bytes=MAX_BODY_BYTES)
        except aiohttp.ClientConnectorError as error:
            return StoreUnavailable(f"{type(error).__name__}: {error}", False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return StoreUnavailable(f"{type(error).__name__}: {error}")
        if response.status in (200, FENCED_STATUS, MISS_STATUS):
            return response.status, answer
        return StoreUnavailable(f"status {response.status}")


def _block_path(ref: BlockRef) -> str:
    return f"/blocks/{ref.slot}/{ref.generation}/{ref.key}"
