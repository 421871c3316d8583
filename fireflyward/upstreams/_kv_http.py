"""The KV calls of an engine over HTTP, as docs/platform/engine-kv.md writes them."""

from typing import Any

import aiohttp
import msgspec

from ._kv import CacheEvents, ExportOrder, ExportReport, ImportOrder, ImportReport
from ._messages import Broken

_CONNECT_LIMIT_S = 1.0
_EVENTS_LIMIT_MS = 2_000
_EXPORT_LIMIT_MS = 10_000
_ANSWER_MARGIN_MS = 250
_MS_PER_SECOND = 1_000


class HttpKvEngine:
    """The KV cache of one replica behind a base URL."""

    __slots__ = ("_base", "_session")

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base = base_url

    def __repr__(self) -> str:
        return f"HttpKvEngine({self._base!r})"

    async def export_blocks(self, order: ExportOrder) -> ExportReport | Broken:
        body = msgspec.json.encode(order)
        return await self._call(
            "POST", "/kv/export", body, ExportReport, _EXPORT_LIMIT_MS
        )

    async def import_blocks(self, order: ImportOrder) -> ImportReport | Broken:
        body = msgspec.json.encode(order)
        growth_ms = int(order.block_ms * len(order.refs))
        limit_ms = order.limit_ms + growth_ms + _ANSWER_MARGIN_MS
        return await self._call("POST", "/kv/import", body, ImportReport, limit_ms)

    async def cache_events(
        self, after: int, *, stride: int = 1
    ) -> CacheEvents | Broken:
        path = f"/kv/events?after={after}&stride={stride}"
        return await self._call("GET", path, b"", CacheEvents, _EVENTS_LIMIT_MS)

    async def _call(
        self, method: str, path: str, body: bytes, answer_type: Any, limit_ms: int
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=limit_ms / _MS_PER_SECOND, sock_connect=_CONNECT_LIMIT_S
        )
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=timeout
            ) as response:
                answer = await response.read()
            if response.status != 200:
                return Broken(True, f"status {response.status}")
            return msgspec.json.decode(answer, type=answer_type)
        except aiohttp.ClientConnectorError as error:
            return Broken(False, f"{type(error).__name__}: {error}")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")
