"""HTTP client of a plain service."""

from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp

from fireflyward.attribution import Origin, origin_of, proves_not_run
from fireflyward.connections import MAX_BODY_BYTES, GuardedBody, SendOnce, read_body
from fireflyward.observe import hop
from fireflyward.outcomes import Reason

from ._messages import Broken, Refused, ServiceCall, ServiceReply

_CONNECT_TIMEOUT_S = 2.0
_NOT_RUN_HEADER = "X-Not-Run"
_RUN_HEADER = "X-Run-Id"


class HttpService:
    """One replica of a plain service behind a base URL.

    A call with ``may_send`` or ``needs_new_connection`` uses a new connection. A device
    on the path can lose the state of a pooled connection; a non-idempotent call on it
    would get no reply, and the node could not determine whether the call arrived.
    """

    __slots__ = ("_base_url", "_deadline_s", "_session", "_unpooled_session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        fresh: aiohttp.ClientSession | None = None,
        deadline_ms: int = 30_000,
    ) -> None:
        self._session = session
        self._unpooled_session = fresh or session
        self._base_url = base_url
        self._deadline_s = deadline_ms / 1_000

    def __repr__(self) -> str:
        return f"HttpService({self._base_url!r})"

    async def call(self, call: ServiceCall) -> ServiceReply | Refused | Broken:
        if call.may_send is None:
            session = (
                self._unpooled_session if call.needs_new_connection else self._session
            )
            return await self._send(session, call, call.body, {})
        guarded = GuardedBody(call.body, call.may_send)
        result = await self._send(
            self._unpooled_session, call, guarded.chunks(), guarded.headers()
        )
        if guarded.was_withheld and isinstance(result, Broken):
            return Broken(False, "its permit expired before it was sent")
        return result

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: ServiceCall,
        body: bytes | AsyncIterator[bytes],
        headers: dict[str, str],
    ) -> ServiceReply | Refused | Broken:
        timeout = aiohttp.ClientTimeout(
            total=self._deadline_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        try:
            with hop("attempt", upstream=self._base_url) as trace_parent:
                if trace_parent:
                    call = replace(call, trace_parent=trace_parent)
                async with session.request(
                    call.method,
                    self._base_url + call.path,
                    data=body,
                    headers=headers | _make_headers(call),
                    timeout=timeout,
                    allow_redirects=False,
                    middlewares=(SendOnce(),),
                ) as response:
                    body = await read_body(response, max_bytes=MAX_BODY_BYTES)
                    return _decode_reply(call, response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Broken(False, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Broken(True, f"{type(error).__name__}: {error}")


def _make_headers(call: ServiceCall) -> dict[str, str]:
    headers = {_RUN_HEADER: call.run_id}
    if call.content_type:
        headers["Content-Type"] = call.content_type
    if call.trace_parent:
        headers["traceparent"] = call.trace_parent
    return headers


def _decode_reply(
    call: ServiceCall, response: aiohttp.ClientResponse, body: bytes
) -> ServiceReply | Refused | Broken:
    """Decode a reply; a reply with another run id does not belong to this call.

    A service need not name the run in its answers, but a refusal without it proves
    nothing: it may be a late one of an earlier call on the same connection.
    """
    named_id = response.headers.get(_RUN_HEADER)
    if origin_of(call.run_id, named_id) is Origin.OTHER:
        return Broken(True, f"received a reply to run {named_id!r} instead")
    if response.status == 503 and _NOT_RUN_HEADER in response.headers:
        if proves_not_run(call.run_id, named_id):
            return Refused(Reason.OVERLOADED, "the service did not run it")
        return Broken(True, "received a refusal that names no run")
    content_type = response.headers.get("Content-Type", "")
    return ServiceReply(response.status, body, content_type)
