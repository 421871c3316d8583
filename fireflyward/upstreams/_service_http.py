"""A plain service over HTTP."""

from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp

from fireflyward.connections import GuardedBody
from fireflyward.observe import hop
from fireflyward.outcomes import Reason

from ._messages import Broken, Refused, ServiceCall, ServiceReply

_CONNECT_LIMIT_S = 2.0
_NOT_RUN_HEADER = "X-Not-Run"
_RUN_HEADER = "X-Run-Id"


class HttpService:
    """One replica of a plain service behind a base URL.

    A call with ``may_send`` or ``needs_new_connection`` goes over a new connection: on a
    pooled one that something forgot, a call that may not be repeated would be
    lost without anybody knowing whether it arrived.
    """

    __slots__ = ("_base", "_deadline_s", "_fresh", "_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        fresh: aiohttp.ClientSession | None = None,
        deadline_ms: int = 30_000,
    ) -> None:
        self._session = session
        self._fresh = fresh or session
        self._base = base_url
        self._deadline_s = deadline_ms / 1_000

    def __repr__(self) -> str:
        return f"HttpService({self._base!r})"

    async def call(self, call: ServiceCall) -> ServiceReply | Refused | Broken:
        if call.may_send is None:
            session = self._fresh if call.needs_new_connection else self._session
            return await self._send(session, call, call.body, {})
        guarded = GuardedBody(call.body, call.may_send)
        result = await self._send(
            self._fresh, call, guarded.chunks(), guarded.headers()
        )
        if guarded.was_withheld and isinstance(result, Broken):
            return Broken(False, "its permit ran out before it left")
        return result

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: ServiceCall,
        body: bytes | AsyncIterator[bytes],
        headers: dict[str, str],
    ) -> ServiceReply | Refused | Broken:
        timeout = aiohttp.ClientTimeout(
            total=self._deadline_s, sock_connect=_CONNECT_LIMIT_S
        )
        try:
            with hop("attempt", upstream=self._base) as trace_parent:
                if trace_parent:
                    call = replace(call, trace_parent=trace_parent)
                async with session.request(
                    call.method,
                    self._base + call.path,
                    data=body,
                    headers=headers | _headers_of(call),
                    timeout=timeout,
                    allow_redirects=False,
                ) as response:
                    return _reply_of(call, response, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Broken(False, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")


def _headers_of(call: ServiceCall) -> dict[str, str]:
    headers = {_RUN_HEADER: call.run_id}
    if call.content_type:
        headers["Content-Type"] = call.content_type
    if call.trace_parent:
        headers["traceparent"] = call.trace_parent
    return headers


def _reply_of(
    call: ServiceCall, response: aiohttp.ClientResponse, body: bytes
) -> ServiceReply | Refused | Broken:
    """Read a reply; one that names another run is not this call's."""
    named = response.headers.get(_RUN_HEADER, call.run_id)
    if named != call.run_id:
        return Broken(True, f"a reply to run {named!r} came instead")
    if response.status == 503 and _NOT_RUN_HEADER in response.headers:
        return Refused(Reason.OVERLOADED, "the service did not run it")
    content_type = response.headers.get("Content-Type", "")
    return ServiceReply(response.status, body, content_type)
