"""HTTP client of an engine's KV cache; docs/platform/engine-kv.md describes it."""

from typing import Any

import aiohttp
import msgspec

from fireflyward.connections import MAX_BODY_BYTES, read_body
from fireflyward.decoding import decode_json

from ._kv import CacheEvents, ExportOrder, ExportReport, ImportOrder, ImportReport
from ._messages import Broken

_CONNECT_TIMEOUT_S = 1.0
_EVENTS_TIMEOUT_MS = 2_000
_EXPORT_TIMEOUT_MS = 10_000
_REPLY_MARGIN_MS = 250
_MS_PER_SECOND = 1_000
_UNREADABLE = "the answer cannot be decoded"


class HttpKvEngine:
    """Calls the KV cache of one replica behind a base URL."""

    __slots__ = ("_base_url", "_session")

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url

    def __repr__(self) -> str:
        return f"HttpKvEngine({self._base_url!r})"

    async def export_blocks(self, order: ExportOrder) -> ExportReport | Broken:
        body = msgspec.json.encode(order)
        return await self._call(
            "POST", "/kv/export", body, ExportReport, _EXPORT_TIMEOUT_MS
        )

    async def import_blocks(self, order: ImportOrder) -> ImportReport | Broken:
        body = msgspec.json.encode(order)
        extension_ms = int(order.block_ms * len(order.refs))
        limit_ms = order.limit_ms + extension_ms + _REPLY_MARGIN_MS
        return await self._call("POST", "/kv/import", body, ImportReport, limit_ms)

    async def cache_events(
        self, after: int, *, stride: int = 1
    ) -> CacheEvents | Broken:
        path = f"/kv/events?after={after}&stride={stride}"
        return await self._call("GET", path, b"", CacheEvents, _EVENTS_TIMEOUT_MS)

    async def _call(
        self, method: str, path: str, body: bytes, reply_type: Any, limit_ms: int
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=limit_ms / _MS_PER_SECOND, sock_connect=_CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, self._base_url + path, data=body, timeout=timeout
            ) as response:
                reply = await read_body(response, max_bytes=MAX_BODY_BYTES)
            if response.status != 200:
                return Broken(True, f"status {response.status}")
            found = decode_json(reply, reply_type)
            return Broken(True, _UNREADABLE) if found is None else found
        except aiohttp.ClientConnectorError as error:
            return Broken(False, f"{type(error).__name__}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")
