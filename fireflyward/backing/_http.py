"""Clients of the platform's services over HTTP, as docs/PLATFORM.md describes them.

Each call has a deadline. If a write may have reached the service and no answer
arrives, it returns ``Uncertain``: the service may have applied it, and only reading
the value back can show this. A refused connection or a 503 response returns
``Unavailable``: nothing was written.
"""

from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from fireflyward.connections import read_body
from fireflyward.decoding import DECODE_ERRORS
from fireflyward.observe import hop

from ._messages import (
    Committed,
    Conflict,
    Missing,
    Row,
    Stored,
    Unavailable,
    Uncertain,
    VmEntry,
    VmList,
)

_CALL_DEADLINE_S = 2.0
# The largest object is a snapshot of the bundles, with 5.5 MB at 19,000 accounts.
_MAX_BODY_BYTES = 64 << 20


class RowBody(msgspec.Struct):
    """A row as JSON; ``value`` is encoded in base64."""

    key: str
    value: bytes
    version: int


class CommitBody(msgspec.Struct):
    """A transaction as JSON."""

    expected: dict[str, int]
    puts: dict[str, bytes]
    deletes: list[str] = []


class VersionsBody(msgspec.Struct):
    """Row versions as JSON, after a commit or in a conflict."""

    versions: dict[str, int]


class VmBody(msgspec.Struct):
    """One VM as JSON."""

    name: str
    state: str
    failure_domain: str = ""
    address: str = ""


class VmListBody(msgspec.Struct):
    """The list of VMs as JSON."""

    entries: list[VmBody]
    as_of_ms: int


class _HttpService:
    """The base URL of a service and the HTTP session for calls to it."""

    __slots__ = ("_base", "_deadline", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        deadline_s: float = _CALL_DEADLINE_S,
    ) -> None:
        self._session = session
        self._base = base_url
        self._deadline = aiohttp.ClientTimeout(total=deadline_s)

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._base!r})"

    async def _read(self, path: str, **query: str) -> tuple[int, bytes] | Unavailable:
        """GET ``path``; a read has no side effects, so every failure is Unavailable.

        Only responses with status 200 and 404 come from the service. Any other response
        may come from a proxy in front of it, and its body is no row and no object.
        """
        url = self._base + path
        try:
            with hop("platform", path=path):
                async with self._session.get(
                    url, params=query, timeout=self._deadline
                ) as response:
                    body = await read_body(response, max_bytes=_MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unavailable(_describe(error))
        if response.status not in (200, 404):
            return Unavailable(f"status {response.status}")
        return response.status, body

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | Unavailable | Uncertain:
        url = self._base + path
        try:
            with hop("platform", path=path):
                async with self._session.request(
                    method, url, data=body, timeout=self._deadline
                ) as response:
                    answer = await read_body(response, max_bytes=_MAX_BODY_BYTES)
        except aiohttp.ClientConnectorError as error:
            return Unavailable(_describe(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Uncertain(_describe(error))
        if response.status == 503:
            return Unavailable("status 503")
        if response.status not in (200, 409):
            return Uncertain(f"status {response.status}")
        return response.status, answer


class HttpTable(_HttpService):
    """The table service over HTTP."""

    __slots__ = ()

    async def get(self, key: str) -> Row | Missing | Unavailable:
        result = await self._read("/rows", key=key)
        if isinstance(result, Unavailable):
            return result
        status, body = result
        if status == 404:
            return Missing(key)
        row = _decode(body, RowBody, Unavailable)
        if isinstance(row, Unavailable):
            return row
        return Row(row.key, row.value, row.version)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        result = await self._read("/scan", prefix=prefix)
        if isinstance(result, Unavailable):
            return result
        rows = _decode(result[1], list[RowBody], Unavailable)
        if isinstance(rows, Unavailable):
            return rows
        return tuple(Row(row.key, row.value, row.version) for row in rows)

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] = (),
        era: int = 0,
    ) -> Committed | Conflict | Unavailable | Uncertain:
        body = CommitBody(dict(expected), dict(puts), list(deletes))
        result = await self._write("POST", "/commit", msgspec.json.encode(body))
        if isinstance(result, Unavailable | Uncertain):
            return result
        status, answer = result
        decoded = _decode(answer, VersionsBody, Uncertain)
        if isinstance(decoded, Uncertain):
            return decoded
        result_type = Conflict if status == 409 else Committed
        return result_type(decoded.versions)


class HttpObjects(_HttpService):
    """The object store over HTTP."""

    __slots__ = ()

    async def get(self, name: str) -> bytes | Missing | Unavailable:
        result = await self._read(f"/objects/{name}")
        if isinstance(result, Unavailable):
            return result
        return Missing(name) if result[0] == 404 else result[1]

    async def put(self, name: str, body: bytes) -> Stored | Unavailable | Uncertain:
        result = await self._write("PUT", f"/objects/{name}", body)
        if isinstance(result, Unavailable | Uncertain):
            return result
        if result[0] != 200:
            return Uncertain(f"status {result[0]}")
        return Stored(name)


class HttpWeights(_HttpService):
    """The weight store's list of versions over HTTP."""

    __slots__ = ()

    async def versions(self) -> dict[str, tuple[str, ...]] | Unavailable:
        result = await self._read("/weights")
        if isinstance(result, Unavailable):
            return result
        return _decode(result[1], dict[str, tuple[str, ...]], Unavailable)


class HttpVms(_HttpService):
    """The platform's list of VMs over HTTP."""

    __slots__ = ()

    async def list(self) -> VmList | Unavailable:
        result = await self._read("/vms")
        if isinstance(result, Unavailable):
            return result
        body = _decode(result[1], VmListBody, Unavailable)
        if isinstance(body, Unavailable):
            return body
        entries = tuple(
            VmEntry(entry.name, entry.state, entry.failure_domain, entry.address)
            for entry in body.entries
        )
        return VmList(entries, body.as_of_ms)


def _decode(
    body: bytes, body_type: Any, failure: type[Unavailable] | type[Uncertain]
) -> Any:
    """Decode an answer; return a failure, not an exception, if that is impossible."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as error:
        return failure(f"the answer could not be decoded: {error}")


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
